#include "Dispatch/service_rooms.h"

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
    }
    for (std::size_t at = 0; at < round.workers.size(); ++at) {
        if (round.contributions[at].exclusion == worker_exclusion::none) {
            const tracked_worker &worker = *round.workers[at];
            service_room &room = state.serviceRooms[worker.record.service];
            room.capacity += worker.record.capacity.milliCores;
            room.longRunning += worker.longRunningMilliCores;
        }
    }
}

void recordShortage(dispatch_state &state, const ready_step &ready)
{
    const steady_time now = state.context.clock.now();
    const auto &since = waitOf(ready).since;
    const bool wantsRoom = !ready.urgency.longRunning && now < ready.urgency.expiresAt
                           && !ready.committedJob->graph.steps[ready.step].bestEffort;
    if (wantsRoom && since && now - *since > shortageThreshold) {
        state.serviceRooms[ready.committedJob->queueParameters.service].shortageAt = now;
    }
}

} // namespace mango
