#include "Dispatch/worker_reports.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Common/event_log.h"
#include "Common/log.h"
#include "Dispatch/crash_tracking.h"
#include "Dispatch/report_limits.h"

namespace mango {

namespace asio = boost::asio;

namespace {

// A tail latency below this share of its target is certainly within it.
constexpr double targetClearedRatio = 0.93;
// A worker reports at most this many ends; a report of that size may be incomplete.
constexpr std::size_t maximumReportedEnds = 500;

} // namespace

void recordClock(tracked_worker &worker, const std::optional<worker_time> &workerTime,
                 steady_time now)
{
    if (workerTime) {
        updateReading(worker.clock, *workerTime, now);
        worker.heardAt = now;
    }
}

namespace {

// Tracks since when a long-running run has exceeded its latency target. Reports are imprecise, so
// one just below the target does not reset the time.
void updateOverTarget(tracked_run &run, steady_time now)
{
    if (run.tailLatencyTarget.count() == 0) {
        return;
    }
    const double tail = run.recentLoad / static_cast<double>(run.tailLatencyTarget.count());
    if (tail >= 1 && !run.overTargetSince) {
        run.overTargetSince = now;
    } else if (tail < targetClearedRatio) {
        run.overTargetSince.reset();
    }
}

// The run of a worker that has reported it; null when the run is not tracked. A worker that has
// restarted may have carried out a start request for its earlier incarnation.
tracked_run *findRun(const dispatch_handle &state, const tracked_worker_handle &worker,
                     const run_key &key)
{
    const auto found = worker->runs.find(key);
    if (found != worker->runs.end()) {
        return &found->second;
    }
    tracked_run *takenOver = takeOverRun(*state, worker, key);
    if (takenOver != nullptr && takenOver->stopRequested) {
        asio::co_spawn(state->context.executor, sendStop(state, worker, key), asio::detached);
    }
    return takenOver;
}

// Returns false when the leader does not know the run.
bool processReportedRun(const dispatch_handle &state, const tracked_worker_handle &worker,
                        const worker_report &report, const reported_run &row)
{
    tracked_run *known = findRun(state, worker, row.key);
    if (known == nullptr) {
        return false;
    }
    tracked_run &run = *known;
    if (run.phase == run_phase::unconfirmed || run.phase == run_phase::starting) {
        run.phase = run_phase::running;
        if (run.longRunning || worker->observed.limit) {
            markOfferChanged(*state, worker);
        }
    }
    confirmRun(run, report.clock);
    if (hasSurvivedStart(run)) {
        endTrial(*state, worker, run);
    }
    run.reportedAt = state->context.clock.now();
    if (row.progressPercent != run.progressPercent) {
        run.progressedAt = state->context.clock.now();
    }
    run.progressPercent = row.progressPercent;
    run.recentLoad = row.recentLoad;
    updateOverTarget(run, state->context.clock.now());
    if (!row.checkpoint.empty()) {
        run.checkpoint = row.checkpoint;
    }
    return true;
}

// Stops a run of a finished job, or one that was declared lost before.
void stopStrayRun(const dispatch_handle &state, const tracked_worker_handle &worker,
                  const run_key &key)
{
    logEvent(log_part::scheduler, "stray-run",
             {{"run", toText(key)}, {"worker", worker->record.incarnation.id}});
    asio::co_spawn(state->context.executor, sendStop(state, worker, key), asio::detached);
}

void processReportedEnd(const dispatch_handle &state, const tracked_worker_handle &worker,
                        const reported_end &end)
{
    if (end.number <= worker->lastEndReceived) {
        return;
    }
    worker->lastEndReceived = end.number;
    tracked_run *run = findRun(state, worker, end.key);
    if (run == nullptr || run->endPending) {
        recordLateEnd(*state, worker, end);
    } else {
        if (end.outcome == run_outcome::done || end.outcome == run_outcome::failed) {
            recordRunHealth(*state, worker, *run, end.outcome, false);
        }
        queueRunEnd(*state, worker, *run, end.outcome,
                    end.checkpoint.empty() ? run->checkpoint : end.checkpoint);
    }
    state->pendingAcknowledgements.push_back({worker, end.number});
}

// Ends tracked runs that a complete report does not contain: they have ended or never started.
void resolveUnreportedRuns(const dispatch_handle &state, const tracked_worker_handle &worker,
                           const worker_report &report)
{
    std::vector<run_key> reported;
    reported.reserve(report.running.size());
    for (const reported_run &row : report.running) {
        reported.push_back(row.key);
    }
    std::sort(reported.begin(), reported.end());
    for (auto &[key, run] : worker->runs) {
        if (run.endPending || run.phase == run_phase::planned
            || std::binary_search(reported.begin(), reported.end(), key)) {
            continue;
        }
        const bool reportedLater = report.clock > run.lastConfirmedAt;
        const bool requestExpired = report.clock > run.startDeadline;
        if (run.phase == run_phase::running && reportedLater) {
            queueRunEnd(*state, worker, run, run_outcome::lost, run.checkpoint);
        } else if (run.phase == run_phase::stopping && reportedLater) {
            queueRunEnd(*state, worker, run, run_outcome::stopped, run.checkpoint);
        } else if ((run.phase == run_phase::unconfirmed || run.phase == run_phase::starting)
                   && requestExpired && reportedLater) {
            queueRunEnd(*state, worker, run, run_outcome::neverStarted, "");
        }
    }
}

} // namespace

void processReport(const dispatch_handle &state, const tracked_worker_handle &worker,
                   const worker_report &report)
{
    const metered_work section(&state->context.work, work_kind::reports);
    const steady_time now = state->context.clock.now();
    const std::uint64_t lastEndBefore = worker->lastEndReceived;
    if (!worker->answered || now - worker->heardAt >= state->context.timing.silentAfter) {
        markOfferChanged(*state, worker);
    }
    recordClock(*worker, report.clock, now);
    if (!worker->answered) {
        worker->answered = true;
        // An earlier leader may have granted a lease of the same length just before.
        worker->leasedUntil =
                std::max(worker->leasedUntil, report.clock + state->context.timing.workerLease);
        // The worker refuses requests of earlier leaders from here on, so they count as expired.
        for (auto &[key, run] : worker->runs) {
            if (run.phase == run_phase::unconfirmed) {
                run.startDeadline = report.clock - worker_time(1);
            }
        }
    }
    worker->oldestListedEnd = report.ended.empty() ? 0 : report.ended.front().number;
    for (const reported_end &end : report.ended) {
        processReportedEnd(state, worker, end);
    }
    recordWorkerHeardAgain(state, worker);
    std::size_t strays = 0;
    for (const reported_run &row : report.running) {
        const bool isKnown = processReportedRun(state, worker, report, row);
        if (!isKnown && ++strays <= maximumStrayStops) {
            stopStrayRun(state, worker, row.key);
        }
    }
    const bool complete = report.malformedRows == 0 && report.ended.size() < maximumReportedEnds;
    if (complete) {
        resolveUnreportedRuns(state, worker, report);
        worker->hasReportedAll = true;
        settleRunsOfEarlierIncarnations(*state, worker);
    }
    // What a report changes with time, such as loads, the rounds learn with the offers of workers
    // that have not changed.
    if (worker->offerChanged || worker->lastEndReceived != lastEndBefore) {
        wakeScheduler(*state);
    }
}

} // namespace mango
