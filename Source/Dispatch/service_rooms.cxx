#include "Dispatch/service_rooms.h"

#include <algorithm>

namespace mango {

namespace {

// How long the sums of cores count as recent.
constexpr auto countInterval = std::chrono::milliseconds(100);
// A short step that has waited for longer shows a shortage of room.
constexpr auto shortageThreshold = std::chrono::milliseconds(500);

} // namespace

void countServiceRooms(dispatch_state &state, const round_offers &round)
{
    const steady_time now = state.context.clock.now();
    if (now - state.roomCountedAt < countInterval) {
        return;
    }
    state.roomCountedAt = now;
    for (auto &[service, room] : state.serviceRooms) {
        room.capacity = 0;
        room.longRunning = 0;
        room.largest = {};
    }
    for (std::size_t at = 0; at < round.workers.size(); ++at) {
        if (round.contributions[at].exclusion == worker_exclusion::none) {
            const tracked_worker &worker = *round.workers[at];
            service_room &room = state.serviceRooms[worker.record.service];
            const resource_amounts &capacity = worker.record.capacity;
            room.largest = {std::max(room.largest.milliCores, capacity.milliCores),
                            std::max(room.largest.memoryMb, capacity.memoryMb),
                            std::max(room.largest.accelerators, capacity.accelerators)};
            room.capacity += capacity.milliCores;
            room.longRunning += worker.longRunningMilliCores;
        }
    }
}

void recordShortage(dispatch_state &state, const ready_step &ready)
{
    const steady_time now = state.context.clock.now();
    const auto &since = waitOf(ready).since;
    const job_step &step = ready.committedJob->graph.steps[ready.step];
    const bool wantsRoom =
            !ready.urgency.longRunning && now < ready.urgency.expiresAt && !step.bestEffort;
    service_room &room = state.serviceRooms[ready.committedJob->queueParameters.service];
    if (wantsRoom && since && now - *since > shortageThreshold && canHold(room, step.resources)) {
        room.shortageAt = now;
    }
}

} // namespace mango
