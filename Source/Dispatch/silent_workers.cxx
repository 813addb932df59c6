#include "Dispatch/silent_workers.h"

#include <algorithm>

#include "Common/event_log.h"
#include "Common/log.h"
#include "Dispatch/crash_tracking.h"

namespace mango {

namespace {

// At most one check each 50 ms: 3 s or more.
constexpr std::uint32_t maximumChecks = 60;

silence_evidence evidenceOf(const dispatch_state &state, const tracked_worker_handle &worker)
{
    // What a restarted worker has started on late requests is known once its newest incarnation
    // answers.
    const tracked_worker_handle called =
            worker->current ? worker : findNewestIncarnation(state, worker);
    silence_evidence evidence;
    evidence.isCalled = called->current && !called->exited;
    evidence.heardAt = called->heardAt;
    evidence.failedCallSentAt = called->failedCallSentAt;
    for (const tracked_worker_handle &one : {worker, called}) {
        const auto &calls = one->reportCallsInFlight;
        if (!calls.empty()) {
            evidence.oldestCallSentAt = std::min(
                    evidence.oldestCallSentAt.value_or(steady_time::max()), *calls.begin());
        }
    }
    evidence.checks = worker->expiredChecks;
    return evidence;
}

std::int64_t millisecondsSince(steady_time at, steady_time now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
}

void logDecision(const dispatch_state &state, const tracked_worker_handle &worker,
                 const silence_evidence &evidence, const char *decision, steady_time leaseExpiry)
{
    const steady_time now = state.context.clock.now();
    logEvent(log_part::scheduler, decision,
             {{"worker", worker->record.incarnation.id},
              {"runs", worker->runs.size()},
              {"answered", worker->answered ? "yes" : "no"},
              {"called", evidence.isCalled ? "yes" : "no"},
              {"silent_ms", millisecondsSince(worker->heardAt, now)},
              {"expired_ms", millisecondsSince(leaseExpiry, now)},
              {"checks", evidence.checks},
              {"in_flight", worker->reportCallsInFlight.size()},
              {"oldest_call_ms", millisecondsSince(evidence.oldestCallSentAt.value_or(now), now)},
              {"failed_call_ms", evidence.failedCallSentAt
                                         ? millisecondsSince(*evidence.failedCallSentAt, now)
                                         : -1}});
}

bool hasUndecidedRuns(const tracked_worker &worker)
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto &item) {
        return item.second.phase != run_phase::planned && !item.second.endPending;
    });
}

} // namespace

bool isCutOff(const silence_evidence &evidence)
{
    if (evidence.checks >= maximumChecks) {
        return true;
    }
    const bool earlierCallInFlight =
            evidence.oldestCallSentAt
            && (!evidence.failedCallSentAt
                || *evidence.oldestCallSentAt <= *evidence.failedCallSentAt);
    if (earlierCallInFlight || !evidence.isCalled) {
        return !earlierCallInFlight;
    }
    return evidence.failedCallSentAt && *evidence.failedCallSentAt >= evidence.heardAt;
}

void giveUpSilentWorker(const dispatch_handle &state, const tracked_worker_handle &worker)
{
    const dispatch_timing &timing = state->context.timing;
    const steady_time leaseExpiry =
            worker->answered && worker->clock
                    ? latestExpiry(*worker->clock, worker->leasedUntil)
                    : state->leaderSince + maximumLocalDuration(timing.workerLease);
    if (state->context.clock.now() <= leaseExpiry || worker->exited || !hasUndecidedRuns(*worker)) {
        worker->expiredChecks = 0;
        return;
    }
    ++worker->expiredChecks;
    const silence_evidence evidence = evidenceOf(*state, worker);
    if (isCutOff(evidence)) {
        logDecision(*state, worker, evidence, "worker-given-up", leaseExpiry);
        ++state->context.metricsRegistry.at("mango_workers_given_up_total");
        endRunsOfSilentWorker(*state, worker);
    } else if (worker->expiredChecks == 1) {
        logDecision(*state, worker, evidence, "worker-not-given-up", leaseExpiry);
    }
}

} // namespace mango
