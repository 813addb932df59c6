#include "Dispatch/room_refusals.h"

#include <algorithm>

#include "Common/event_log.h"
#include "Common/log.h"

namespace mango {

namespace {

bool awaitsAnswer(const tracked_run &run)
{
    return run.phase == run_phase::planned || run.phase == run_phase::starting;
}

// Returns the resources of the runs that are certainly on the worker.
resource_amounts confirmedUse(const tracked_worker &worker)
{
    resource_amounts sum;
    for (const auto &[key, run] : worker.runs) {
        if (awaitsAnswer(run) || run.endPending) {
            continue;
        }
        sum.milliCores += run.bestEffort ? 0 : run.resources.milliCores;
        sum.memoryMb += run.resources.memoryMb;
        sum.accelerators += run.resources.accelerators;
    }
    return sum;
}

} // namespace

void recordRoomRefusal(dispatch_state &state, const tracked_worker_handle &worker,
                       const tracked_run &run)
{
    const steady_time now = state.context.clock.now();
    observed_capacity &observed = worker->observed;
    const bool limited = recordRefusedStart(observed, {run.startSentAt, confirmedUse(*worker)}, now,
                                            state.context.timing.refusalBackoff);
    markOfferChanged(state, worker);
    if (!limited) {
        return;
    }
    ++state.context.metricsRegistry.at("mango_worker_room_limited_total");
    logEvent(log_part::scheduler, "worker-room-limited",
             {{"worker", worker->record.incarnation.id},
              {"run", toText(run.key)},
              {"announced_milli_cores", worker->record.capacity.milliCores},
              {"announced_memory_mb", worker->record.capacity.memoryMb},
              {"certain_milli_cores", observed.limit->milliCores},
              {"certain_memory_mb", observed.limit->memoryMb},
              {"wanted_milli_cores", run.resources.milliCores},
              {"wanted_memory_mb", run.resources.memoryMb},
              {"refusals", observed.refusals},
              {"probe_in_ms",
               std::chrono::duration_cast<std::chrono::milliseconds>(observed.probeAt - now)
                       .count()}});
}

void recordRoomAccepted(dispatch_state &state, const tracked_worker_handle &worker,
                        const tracked_run &run)
{
    if (!worker->observed.limit) {
        return;
    }
    markOfferChanged(state, worker);
    if (recordAcceptedStart(worker->observed, {run.startSentAt, confirmedUse(*worker)},
                            state.context.clock.now())) {
        logEvent(log_part::scheduler, "worker-room-regained",
                 {{"worker", worker->record.incarnation.id}, {"run", toText(run.key)}});
    }
}

void adoptAnnouncedRecord(const dispatch_state &state, tracked_worker &worker,
                          const worker_record &record)
{
    if (record.capacity != worker.record.capacity) {
        recordAnnouncedCapacity(worker.observed, state.context.clock.now());
    }
    worker.record = record;
}

bool awaitsStartAnswer(const tracked_worker &worker)
{
    return worker.observed.limit
           && std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto &item) {
                  return awaitsAnswer(item.second) && !item.second.endPending;
              });
}

bool isLimited(const tracked_worker &worker, steady_time now)
{
    return worker.observed.limit && now < worker.observed.probeAt;
}

resource_amounts usedInOffer(const tracked_worker &worker, steady_time now)
{
    const resource_amounts &announced = worker.record.capacity;
    const resource_amounts offered = offeredCapacity(worker.observed, announced, now);
    return {worker.used.milliCores + announced.milliCores - offered.milliCores,
            worker.used.memoryMb + announced.memoryMb - offered.memoryMb,
            worker.used.accelerators + announced.accelerators - offered.accelerators};
}

} // namespace mango
