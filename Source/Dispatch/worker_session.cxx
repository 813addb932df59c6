#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Common/event_log.h"
#include "Common/log.h"
#include "Dispatch/crash_tracking.h"
#include "Dispatch/report_limits.h"
#include "Dispatch/room_refusals.h"
#include "Dispatch/run_throttling.h"
#include "Dispatch/worker_reports.h"

namespace mango {

namespace asio = boost::asio;

namespace {

// The pause after a failed call.
constexpr auto retryPause = std::chrono::milliseconds(250);
// The pause after a call whose relay failed; the next one uses another relay.
constexpr auto relayRetryPause = std::chrono::milliseconds(20);
constexpr auto trialReportInterval = std::chrono::milliseconds(100);
// The longest wait for reported ends to be committed before the lease is renewed again.
constexpr auto commitWaitLimit = std::chrono::milliseconds(300);
// How often to check whether the leadership is certain again.
constexpr auto leadershipRecheckInterval = std::chrono::milliseconds(50);
// How often a worker that has announced its end is asked for a report, at first and at last, and
// for how long. A worker whose announcement is not acknowledged ends some seconds after it.
constexpr auto shortestDepartureWait = std::chrono::milliseconds(25);
constexpr auto longestDepartureWait = std::chrono::milliseconds(800);
constexpr auto departureTimeout = std::chrono::seconds(15);

worker_call_target targetOf(const dispatch_state &state, const tracked_worker &worker)
{
    return {worker.record.incarnation, worker.record.address, worker.fencingToken, state.term};
}

// Records what a refused or unanswered request says about the worker or this leader.
void handleRefusal(const dispatch_handle &state, const tracked_worker_handle &worker,
                   const worker_response &response)
{
    if (response.relayFailed) {
        return;
    }
    const worker_call_result result = response.result;
    const steady_time now = state->context.clock.now();
    if (response.notListening && worker->departureAnnounced) {
        recordWorkerExit(state, worker, worker_exit_evidence::deregistered);
        return;
    }
    if (result == worker_call_result::staleFencingToken) {
        // A newer incarnation of the worker refuses the requests for earlier ones.
        if (!worker->current || worker->exited) {
            return;
        }
        if (!state->superseded) {
            logEvent(log_part::scheduler, "outranked",
                     {{"worker", worker->record.incarnation.id}, {"term", state->term}});
        }
        state->superseded = true;
    } else if (result == worker_call_result::wrongIncarnation) {
        recordWorkerExit(state, worker, worker_exit_evidence::replacedAtAddress);
    } else if (result == worker_call_result::unhealthy || result == worker_call_result::neverSent
               || result == worker_call_result::unanswered) {
        worker->refusesUntil = now + state->context.timing.refusalBackoff;
        markOfferChanged(*state, worker);
    }
}

// Returns a deadline on the worker's clock that lies `span` ahead, and records that the worker may
// hold a lease until then.
worker_time grantDeadline(dispatch_state &state, tracked_worker &worker,
                          std::chrono::milliseconds span)
{
    const worker_time until = estimateClock(*worker.clock, state.context.clock.now()) + span;
    worker.leasedUntil = std::max(worker.leasedUntil, until);
    return until;
}

// Records how long a job has waited for its first run.
void recordFirstStart(dispatch_state &state, std::uint64_t job)
{
    const auto found = state.jobs.find(job);
    if (found == state.jobs.end() || found->second.firstTaskStarted) {
        return;
    }
    found->second.firstTaskStarted = true;
    state.context.metricsRegistry
            .histogram("mango_first_start_seconds{queue=\"" + found->second.queue + "\"}")
            .observe(state.context.clock.now() - found->second.knownSince);
}

// Returns the cursor up to which the worker may forget ends. A restarted worker that gets a call
// for its earlier incarnation late would forget its own ends, so no cursor is sent without need.
std::uint64_t endsToAcknowledge(const tracked_worker &worker)
{
    return worker.oldestListedEnd != 0 && worker.oldestListedEnd <= worker.lastEndCommitted
                   ? worker.lastEndCommitted
                   : 0;
}

// Logs how a call for a report to a worker that leaves or has left ended: what it lists there
// cannot be asked for again.
void logLastCall(const dispatch_state &state, const tracked_worker &worker, steady_time sentAt,
                 const std::variant<worker_report, worker_response> &response)
{
    const auto *report = std::get_if<worker_report>(&response);
    const auto *failure = std::get_if<worker_response>(&response);
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
            state.context.clock.now() - sentAt);
    logEvent(log_part::scheduler, "last-call",
             {{"worker", worker.record.incarnation.id},
              {"exited", worker.exited ? "yes" : "no"},
              {"answer", failure == nullptr ? "report" : toText(failure->result)},
              {"relay_failed", failure != nullptr && failure->relayFailed ? "yes" : "no"},
              {"ends", report == nullptr ? 0 : report->ended.size()},
              {"took_ms", took.count()},
              {"in_flight", worker.reportCallsInFlight.size()}});
}

// Calls for a report. What became of the runs of a worker that is gone is decided only when no such
// call is in flight.
asio::awaitable<std::variant<worker_report, worker_response>>
callForReport(dispatch_handle state, tracked_worker_handle worker, renew_lease_request request)
{
    const auto sentAt = worker->reportCallsInFlight.insert(state->context.clock.now());
    auto response = co_await state->context.workers.renewLease(targetOf(*state, *worker), request);
    const auto *failure = std::get_if<worker_response>(&response);
    if (failure != nullptr && !failure->relayFailed) {
        worker->failedCallSentAt =
                std::max(worker->failedCallSentAt.value_or(steady_time{}), *sentAt);
    }
    if (worker->departureAnnounced) {
        logLastCall(*state, *worker, *sentAt, response);
    }
    worker->reportCallsInFlight.erase(sentAt);
    if (auto *report = std::get_if<worker_report>(&response)) {
        const std::size_t dropped = dropLargeCheckpoints(*report);
        state->context.metricsRegistry.at("mango_checkpoints_dropped_total") += dropped;
        if (dropped > 0) {
            logEvent(log_part::scheduler, "checkpoints-dropped",
                     {{"worker", worker->record.incarnation.id},
                      {"count", dropped},
                      {"limit_bytes", maximumCheckpointBytes}});
        }
    }
    co_return response;
}

// Processes the answer to a call for a report; false when it holds none of this incarnation.
bool handleReport(const dispatch_handle &state, const tracked_worker_handle &worker,
                  const std::variant<worker_report, worker_response> &response)
{
    if (const auto *refusal = std::get_if<worker_response>(&response)) {
        recordClock(*worker, refusal->clock, state->context.clock.now());
        handleRefusal(state, worker, *refusal);
        return false;
    }
    const auto &report = std::get<worker_report>(response);
    if (report.startTime > worker->record.incarnation.startTime) {
        // A newer incarnation answered under the same id; its own announcement registers it.
        recordWorkerRestart(state, worker);
    }
    if (report.startTime != worker->record.incarnation.startTime) {
        return false;
    }
    processReport(state, worker, report);
    return true;
}

// Renews the lease and processes the report; false when none came.
asio::awaitable<bool> renewLeaseOnce(dispatch_handle state, tracked_worker_handle worker)
{
    const dispatch_timing &timing = state->context.timing;
    renew_lease_request request;
    // The first call only reads the clock and raises the fencing token, without a wait. A silent
    // worker is polled without a new deadline, as each one would postpone the time when its lease
    // has certainly expired.
    const bool heardRecently =
            state->context.clock.now() - worker->heardAt < timing.renewalSilenceLimit;
    if (worker->answered && worker->clock && heardRecently) {
        request.deadline = grantDeadline(*state, *worker, timing.workerLease);
        request.wait = timing.renewalWait;
    }
    request.acknowledgedEnds = endsToAcknowledge(*worker);
    const auto response = co_await callForReport(state, worker, request);
    if (!state->active) {
        co_return false;
    }
    const bool reported = handleReport(state, worker, response);
    settleRunsOfFormerWorker(*state, worker);
    if (const auto *refusal = std::get_if<worker_response>(&response)) {
        co_await state->context.clock.sleepFor(refusal->relayFailed ? relayRetryPause : retryPause);
        co_return false;
    }
    if (!reported) {
        co_await state->context.clock.sleepFor(retryPause);
        co_return false;
    }
    const bool commitPending = worker->lastEndCommitted < worker->lastEndReceived;
    if (commitPending) {
        co_await worker->wake.waitFor(commitWaitLimit);
    }
    co_return true;
}

bool isSessionOver(const dispatch_state &state, const tracked_worker &worker)
{
    return !state.active || worker.exited || !worker.current;
}

} // namespace

asio::awaitable<void> requestReport(dispatch_handle state, tracked_worker_handle worker)
{
    renew_lease_request request;
    request.acknowledgedEnds = endsToAcknowledge(*worker);
    const auto response = co_await callForReport(state, worker, request);
    if (!state->active) {
        co_return;
    }
    const auto *refusal = std::get_if<worker_response>(&response);
    if (refusal == nullptr || (refusal->notListening && worker->departureAnnounced)) {
        handleReport(state, worker, response);
    }
    settleRunsOfFormerWorker(*state, worker);
}

namespace {

// Asks a worker that has announced its end for reports until it has ended.
asio::awaitable<void> watchDeparture(dispatch_handle state, tracked_worker_handle worker)
{
    const steady_time begin = state->context.clock.now();
    std::chrono::milliseconds wait = shortestDepartureWait;
    while (state->context.clock.now() - begin < departureTimeout) {
        co_await state->context.clock.sleepFor(wait);
        if (isSessionOver(*state, *worker)) {
            co_return;
        }
        if (holdsLeadership(*state)) {
            co_await requestReport(state, worker);
        }
        wait = std::min(wait * 2, longestDepartureWait);
    }
    worker->departureAnnounced = false;
    if (state->context.clock.now() - worker->heardAt > state->context.timing.silentAfter) {
        co_return;
    }
    logEvent(log_part::scheduler, "departure-refuted",
             {{"worker", worker->record.incarnation.id},
              {"born", worker->record.incarnation.startTime.count()},
              {"runs", worker->runs.size()}});
    ++state->context.metricsRegistry.at("mango_departures_refuted_total");
}

} // namespace

asio::awaitable<void> handleDeparture(dispatch_handle state, tracked_worker_handle worker)
{
    const bool isFirst = !std::exchange(worker->departureAnnounced, true);
    // It ends once it has the response; what has ended there is reported before.
    co_await requestReport(state, worker);
    if (isFirst && !isSessionOver(*state, *worker)) {
        asio::co_spawn(state->context.executor, watchDeparture(state, worker), asio::detached);
    }
}

asio::awaitable<void> runWorkerSession(dispatch_handle state, tracked_worker_handle worker)
{
    while (!isSessionOver(*state, *worker)) {
        if (!holdsLeadership(*state)) {
            co_await state->context.clock.sleepFor(leadershipRecheckInterval);
            continue;
        }
        const bool reported = co_await renewLeaseOnce(state, worker);
        if (reported && !isSessionOver(*state, *worker)) {
            co_await adjustThrottles(state, worker);
        }
    }
    state->context.workers.closeConnections(worker->record.incarnation);
}

asio::awaitable<void> resolveUnansweredStart(dispatch_handle state, tracked_worker_handle worker,
                                             run_key key)
{
    const auto found = worker->runs.find(key);
    if (found == worker->runs.end() || !worker->clock) {
        co_return;
    }
    const steady_time now = state->context.clock.now();
    const steady_time requestExpiry = latestExpiry(*worker->clock, found->second.startDeadline);
    co_await state->context.clock.sleepFor(std::max(requestExpiry - now, steady_span(0)));
    if (isSessionOver(*state, *worker) || !holdsLeadership(*state) || !worker->runs.contains(key)) {
        co_return;
    }
    co_await requestReport(state, worker);
}

namespace {

// Requests reports while a run is on trial, which tell how long it has survived.
asio::awaitable<void> watchTrial(dispatch_handle state, tracked_worker_handle worker, run_key key)
{
    while (true) {
        co_await state->context.clock.sleepFor(trialReportInterval);
        const auto found = worker->runs.find(key);
        if (found == worker->runs.end() || !found->second.onTrial || isSessionOver(*state, *worker)
            || !holdsLeadership(*state)) {
            co_return;
        }
        co_await requestReport(state, worker);
    }
}

} // namespace

asio::awaitable<void> sendStart(dispatch_handle state, tracked_worker_handle worker, run_key key)
{
    const auto found = worker->runs.find(key);
    const auto &jobs = state->context.machine.state().jobs;
    const auto job = jobs.find(key.task.job);
    if (found == worker->runs.end() || job == jobs.end()) {
        co_return;
    }
    const bool mayStart = !found->second.stopRequested && !found->second.endPending
                          && worker->answered && !isSessionOver(*state, *worker)
                          && holdsLeadership(*state);
    if (!mayStart) {
        queueRunEnd(*state, worker, found->second, run_outcome::neverStarted, "");
        co_return;
    }
    const task_state *task = findTask(job->second, key.task);
    start_run_request request;
    request.key = key;
    request.specification = job->second.graph.specification;
    request.checkpoint = task == nullptr ? "" : task->checkpoint;
    request.deadline = grantDeadline(*state, *worker, state->context.timing.startValidity);
    found->second.startDeadline = request.deadline;
    found->second.resumed = !request.checkpoint.empty();
    found->second.startSentAt = state->context.clock.now();
    const steady_time sentAt = state->context.clock.now();
    const auto response =
            co_await state->context.workers.start(targetOf(*state, *worker), std::move(request));
    state->context.metricsRegistry.histogram("mango_start_call_seconds")
            .observe(state->context.clock.now() - sentAt);
    if (!state->active) {
        co_return;
    }
    recordClock(*worker, response.clock, state->context.clock.now());
    handleRefusal(state, worker, response);
    const auto stillTracked = worker->runs.find(key);
    if (stillTracked == worker->runs.end()) {
        co_return;
    }
    tracked_run &run = stillTracked->second;
    if (response.result == worker_call_result::done) {
        if (run.phase == run_phase::starting) {
            run.phase = run_phase::running;
        }
        confirmRun(run, response.clock.value_or(run.startDeadline));
        recordRoomAccepted(*state, worker, run);
        if (run.onTrial) {
            asio::co_spawn(state->context.executor, watchTrial(state, worker, key), asio::detached);
        }
        ++state->context.metricsRegistry.at("mango_runs_started_total");
        recordFirstStart(*state, key.task.job);
        const auto heardAgo = std::chrono::duration_cast<std::chrono::milliseconds>(
                run.startSentAt - run.placement.heardAt);
        logEvent(log_part::scheduler, "run-started",
                 {{"run", toText(key)},
                  {"worker", worker->record.incarnation.id},
                  {"why", run.placement.reason},
                  {"candidates", run.placement.candidates},
                  {"free_milli_cores", run.placement.freeMilliCores},
                  {"seen_ms_ago", heardAgo.count()},
                  {"resumed", run.resumed ? "yes" : "no"},
                  {"earlier_crashes", run.placement.earlierCrashes}});
        co_return;
    }
    logEvent(log_part::scheduler, "start-not-confirmed",
             {{"run", toText(key)},
              {"worker", worker->record.incarnation.id},
              {"answer", toText(response.result)}});
    ++state->context.metricsRegistry.at("mango_starts_not_confirmed_total{answer=\""
                                        + toText(response.result) + "\"}");
    if (response.result == worker_call_result::insufficientResources) {
        recordRoomRefusal(*state, worker, run);
    }
    if (response.result == worker_call_result::staleRun && response.clock) {
        // A repeated request: the run has ended or was stopped there, which a report tells.
        run.startDeadline = *response.clock;
    }
    if (response.result == worker_call_result::unanswered
        || response.result == worker_call_result::staleRun) {
        run.phase = run.phase == run_phase::starting ? run_phase::unconfirmed : run.phase;
        co_await resolveUnansweredStart(state, worker, key);
        co_return;
    }
    queueRunEnd(*state, worker, run, run_outcome::neverStarted, "");
}

asio::awaitable<void> sendStop(dispatch_handle state, tracked_worker_handle worker, run_key key)
{
    while (!isSessionOver(*state, *worker)) {
        if (!holdsLeadership(*state)) {
            co_await state->context.clock.sleepFor(leadershipRecheckInterval);
            continue;
        }
        const auto response = co_await state->context.workers.stop(targetOf(*state, *worker), key);
        if (!state->active) {
            co_return;
        }
        recordClock(*worker, response.clock, state->context.clock.now());
        handleRefusal(state, worker, response);
        const auto found = worker->runs.find(key);
        if (found == worker->runs.end()) {
            co_return;
        }
        if (response.result == worker_call_result::done) {
            // The worker refuses the run from here on; when it is not reported, it never started or
            // has ended.
            found->second.phase = run_phase::stopping;
            found->second.lastConfirmedAt = std::max(found->second.lastConfirmedAt,
                                                     response.clock.value_or(worker_time(0)));
            co_return;
        }
        if (response.result == worker_call_result::staleRun) {
            co_return;
        }
        co_await state->context.clock.sleepFor(retryPause);
    }
}

} // namespace mango
