#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Common/event_log.h"
#include "Common/log.h"
#include "Dispatch/dispatch_state.h"
#include "Dispatch/run_pacing.h"

namespace mango {

namespace asio = boost::asio;

namespace {

// The share of its bound below which a task is surely not over it.
constexpr double surelyBelow = 0.93;
// The pause after a call that failed.
constexpr auto retryPause = std::chrono::milliseconds(250);
// The longest wait for listed ends to be agreed on before the lease is renewed again.
constexpr auto agreementWait = std::chrono::milliseconds(300);
// The pause while the leadership is in doubt.
constexpr auto doubtPause = std::chrono::milliseconds(50);
// A worker lists that many ends at most; when it lists so many, more may be hidden.
constexpr std::size_t endsInOneListing = 500;
// An order for an earlier life of an id that has not come by then never will.
constexpr auto latestArrival = std::chrono::seconds(20);

worker_call_target targetOf(const dispatch_state &state, const tracked_worker &worker)
{
    return {worker.record.incarnation, worker.record.address, state.term};
}

void noteClock(tracked_worker &worker, const std::optional<worker_time> &shown, steady_time now)
{
    if (shown) {
        noteReading(worker.clock, *shown, now);
        worker.heardAt = now;
    }
}

// Takes in what every refusal of an order says of the worker or of this leader.
void noteRefusal(const dispatch_handle &state, const live_worker_handle &worker,
                 worker_call_result result)
{
    const steady_time now = state->shared.clock.now();
    if (result == worker_call_result::staleFencingToken) {
        if (!state->outranked) {
            logEvent(log_part::scheduler, "outranked",
                     {{"worker", worker->record.incarnation.id}, {"term", state->term}});
        }
        state->outranked = true;
    } else if (result == worker_call_result::wrongIncarnation) {
        noteGone(state, worker);
    } else if (result == worker_call_result::unhealthy
               || result == worker_call_result::insufficientResources
               || result == worker_call_result::neverSent
               || result == worker_call_result::unanswered) {
        worker->refusesUntil = now + state->shared.timing.restTime;
    }
}

// The deadline that a renewal or start may name now, and notes that it was given.
worker_time grantUntil(dispatch_state &state, tracked_worker &worker,
                       std::chrono::milliseconds span)
{
    const worker_time until = estimateClock(*worker.clock, state.shared.clock.now()) + span;
    worker.leasedUntil = std::max(worker.leasedUntil, until);
    return until;
}

// Counts how long a job has waited for its first task.
void noteBegin(dispatch_state &state, std::uint64_t job)
{
    const auto found = state.jobs.find(job);
    if (found == state.jobs.end() || found->second.begun) {
        return;
    }
    found->second.begun = true;
    state.shared.counted
            .durations("mango_first_start_seconds{queue=\"" + found->second.queue + "\"}")
            .observe(state.shared.clock.now() - found->second.since);
}

// Keeps since when a lasting run has been over its bound. Reports are rough: one just below the
// bound does not end such a time.
void noteTail(live_run &run, steady_time now)
{
    if (run.tailLatencyTarget.count() == 0) {
        return;
    }
    const double tail = run.recentLoad / static_cast<double>(run.tailLatencyTarget.count());
    if (tail >= 1 && !run.overSince) {
        run.overSince = now;
    } else if (tail < surelyBelow) {
        run.overSince.reset();
    }
}

void takeRunning(const dispatch_handle &state, const live_worker_handle &worker,
                 const worker_report &listing, const reported_run &row)
{
    const auto found = worker->runs.find(row.key);
    if (found == worker->runs.end()) {
        // Nobody waits for it: a run of a job that is over, or one that was given up.
        logEvent(log_part::scheduler, "stray-run",
                 {{"run", toText(row.key)}, {"worker", worker->record.incarnation.id}});
        asio::co_spawn(state->shared.executor, sendStop(state, worker, row.key), asio::detached);
        return;
    }
    live_run &run = found->second;
    if (run.phase == live_phase::unsure || run.phase == live_phase::ordered) {
        run.phase = live_phase::running;
    }
    run.seenAt = std::max(run.seenAt, listing.clock);
    if (row.progressPercent != run.progressPercent) {
        run.percentAt = state->shared.clock.now();
    }
    run.progressPercent = row.progressPercent;
    run.recentLoad = row.recentLoad;
    noteTail(run, state->shared.clock.now());
    if (!row.checkpoint.empty()) {
        run.checkpoint = row.checkpoint;
    }
}

void takeEnd(dispatch_state &state, const live_worker_handle &worker, const reported_end &end)
{
    if (end.number <= worker->endsSeen) {
        return;
    }
    worker->endsSeen = end.number;
    const auto found = worker->runs.find(end.key);
    if (found != worker->runs.end()) {
        if (end.outcome == run_outcome::done || end.outcome == run_outcome::failed) {
            noteHealth(state, *worker, found->second, end.outcome, false);
        }
        queueEnd(state, *worker, found->second, end.outcome,
                 end.checkpoint.empty() ? found->second.checkpoint : end.checkpoint);
    }
    state.pendingReceipts.push_back({worker, end.number});
}

// Runs that the worker should know of and does not list are over or were never there.
void settleMissing(const dispatch_handle &state, const live_worker_handle &worker,
                   const worker_report &listing)
{
    std::set<run_key> listed;
    for (const reported_run &row : listing.running) {
        listed.insert(row.key);
    }
    for (auto &[key, run] : worker->runs) {
        if (run.ending || run.phase == live_phase::planned || listed.contains(key)) {
            continue;
        }
        const bool newerThanRun = listing.clock > run.seenAt;
        const bool orderIsVoid = listing.clock > run.startDeadline;
        if (run.phase == live_phase::running && newerThanRun) {
            queueEnd(*state, *worker, run, run_outcome::lost, run.checkpoint);
        } else if (run.phase == live_phase::stopping && newerThanRun) {
            queueEnd(*state, *worker, run, run_outcome::stopped, run.checkpoint);
        } else if ((run.phase == live_phase::unsure || run.phase == live_phase::ordered)
                   && orderIsVoid && newerThanRun) {
            queueEnd(*state, *worker, run, run_outcome::neverStarted, "");
        }
    }
}

void takeListing(const dispatch_handle &state, const live_worker_handle &worker,
                 const worker_report &listing)
{
    const steady_time now = state->shared.clock.now();
    noteClock(*worker, listing.clock, now);
    if (!worker->answered) {
        worker->answered = true;
        // An earlier leader may have given it a lease as long as ours.
        worker->leasedUntil =
                std::max(worker->leasedUntil, listing.clock + state->shared.timing.workerLease);
        // Orders of earlier leaders are void from here on.
        for (auto &[key, run] : worker->runs) {
            if (run.phase == live_phase::unsure) {
                run.startDeadline = listing.clock - worker_time(1);
            }
        }
    }
    for (const reported_end &end : listing.ended) {
        takeEnd(*state, worker, end);
    }
    for (const reported_run &row : listing.running) {
        takeRunning(state, worker, listing, row);
    }
    const bool whole = listing.malformedRows == 0 && listing.ended.size() < endsInOneListing;
    if (whole) {
        settleMissing(state, worker, listing);
    }
    wakeScheduler(*state);
}

// Bars the orders of an earlier life that may still arrive at this one.
asio::awaitable<void> barEarlierOrders(dispatch_handle state, live_worker_handle worker)
{
    const std::set<run_key> keys = std::exchange(worker->toBar, {});
    for (const run_key &key : keys) {
        if (!mayAct(*state)) {
            co_return;
        }
        const auto answer = co_await state->shared.workers.stop(targetOf(*state, *worker), key);
        const auto where = state->whereRuns.find(key);
        if (where == state->whereRuns.end()) {
            continue;
        }
        live_run &run = where->second->runs.at(key);
        if (answer.result == worker_call_result::done) {
            queueEnd(*state, *where->second, run, run_outcome::lost, run.checkpoint);
        } else if (!run.ending) {
            worker->toBar.insert(key);
        }
    }
}

// Renews the lease and takes in the listing; false when none came.
asio::awaitable<bool> renewOnce(dispatch_handle state, live_worker_handle worker)
{
    const dispatch_timing &timing = state->shared.timing;
    renew_lease_request order;
    // The first call reads the clock and raises the fence at once. A worker that has fallen silent
    // is only asked: each further deadline would put off the moment when its runs are surely over.
    const bool heardLately =
            state->shared.clock.now() - worker->heardAt < timing.renewUntilSilentFor;
    if (worker->answered && worker->clock && heardLately) {
        order.deadline = grantUntil(*state, *worker, timing.workerLease);
        order.wait = timing.renewalWait;
    }
    order.acknowledgedEnds = worker->endsAgreed;
    const auto answer = co_await state->shared.workers.renewLease(targetOf(*state, *worker), order);
    if (!state->active) {
        co_return false;
    }
    if (const auto *refusal = std::get_if<worker_response>(&answer)) {
        noteClock(*worker, refusal->clock, state->shared.clock.now());
        noteRefusal(state, worker, refusal->result);
        co_await state->shared.clock.sleepFor(retryPause);
        co_return false;
    }
    const auto &listing = std::get<worker_report>(answer);
    if (listing.startTime > worker->record.incarnation.startTime) {
        // A newer life answered under the same id; its own announcement tells the rest.
        noteGone(state, worker);
        co_return false;
    }
    takeListing(state, worker, listing);
    const bool waitsForAgreement = worker->endsAgreed < worker->endsSeen;
    if (waitsForAgreement) {
        co_await worker->wake.waitFor(agreementWait);
    }
    co_return true;
}

bool isForgotten(const dispatch_state &state, const tracked_worker &worker)
{
    return !state.active || worker.gone || !worker.current;
}

} // namespace

asio::awaitable<void> runWorker(dispatch_handle state, live_worker_handle worker)
{
    while (!isForgotten(*state, *worker)) {
        if (!mayAct(*state)) {
            co_await state->shared.clock.sleepFor(doubtPause);
            continue;
        }
        if (!worker->toBar.empty()) {
            co_await barEarlierOrders(state, worker);
        }
        const bool listed = co_await renewOnce(state, worker);
        if (listed && !isForgotten(*state, *worker)) {
            co_await adjustPaces(state, worker);
        }
    }
    state->shared.workers.closeConnections(worker->record.incarnation);
}

asio::awaitable<void> settleUnanswered(dispatch_handle state, live_worker_handle worker,
                                       run_key key)
{
    const auto found = worker->runs.find(key);
    if (found == worker->runs.end() || !worker->clock) {
        co_return;
    }
    const steady_time now = state->shared.clock.now();
    const steady_time isVoid = certainlyPast(*worker->clock, found->second.startDeadline);
    co_await state->shared.clock.sleepFor(std::max(isVoid - now, steady_span(0)));
    if (isForgotten(*state, *worker) || !mayAct(*state) || !worker->runs.contains(key)) {
        co_return;
    }
    renew_lease_request order;
    order.acknowledgedEnds = worker->endsAgreed;
    const auto answer = co_await state->shared.workers.renewLease(targetOf(*state, *worker), order);
    const auto *listing = std::get_if<worker_report>(&answer);
    if (listing != nullptr && state->active
        && listing->startTime == worker->record.incarnation.startTime) {
        takeListing(state, worker, *listing);
    }
}

asio::awaitable<void> sendStart(dispatch_handle state, live_worker_handle worker, run_key key)
{
    const auto found = worker->runs.find(key);
    const auto &jobs = state->shared.machine.state().jobs;
    const auto job = jobs.find(key.task.job);
    if (found == worker->runs.end() || job == jobs.end()) {
        co_return;
    }
    if (found->second.stopWanted || !worker->clock || !mayAct(*state)) {
        queueEnd(*state, *worker, found->second, run_outcome::neverStarted, "");
        co_return;
    }
    const task_state *task = findTask(job->second, key.task);
    start_run_request order;
    order.key = key;
    order.specification = job->second.graph.specification;
    order.checkpoint = task == nullptr ? "" : task->checkpoint;
    order.deadline = grantUntil(*state, *worker, state->shared.timing.startValidity);
    found->second.startDeadline = order.deadline;
    found->second.resumed = !order.checkpoint.empty();
    found->second.orderedAt = state->shared.clock.now();
    const steady_time ordered = state->shared.clock.now();
    const auto answer =
            co_await state->shared.workers.start(targetOf(*state, *worker), std::move(order));
    state->shared.counted.durations("mango_start_call_seconds")
            .observe(state->shared.clock.now() - ordered);
    if (!state->active) {
        co_return;
    }
    noteClock(*worker, answer.clock, state->shared.clock.now());
    noteRefusal(state, worker, answer.result);
    const auto again = worker->runs.find(key);
    if (again == worker->runs.end()) {
        co_return;
    }
    live_run &run = again->second;
    if (answer.result == worker_call_result::done) {
        if (run.phase == live_phase::ordered) {
            run.phase = live_phase::running;
        }
        run.seenAt = std::max(run.seenAt, answer.clock.value_or(worker_time(0)));
        ++state->shared.counted.at("mango_runs_started_total");
        noteBegin(*state, key.task.job);
        const auto seenAgo = std::chrono::duration_cast<std::chrono::milliseconds>(
                run.orderedAt - run.placed.heardAt);
        logEvent(log_part::scheduler, "run-started",
                 {{"run", toText(key)},
                  {"worker", worker->record.incarnation.id},
                  {"why", run.placed.why},
                  {"candidates", run.placed.candidates},
                  {"free_milli_cores", run.placed.freeMilliCores},
                  {"seen_ms_ago", seenAgo.count()},
                  {"resumed", run.resumed ? "yes" : "no"}});
        co_return;
    }
    logEvent(log_part::scheduler, "start-not-confirmed",
             {{"run", toText(key)},
              {"worker", worker->record.incarnation.id},
              {"answer", toText(answer.result)}});
    ++state->shared.counted.at("mango_starts_not_confirmed_total{answer=\"" + toText(answer.result)
                               + "\"}");
    if (answer.result == worker_call_result::unanswered) {
        run.phase = run.phase == live_phase::ordered ? live_phase::unsure : run.phase;
        co_await settleUnanswered(state, worker, key);
        co_return;
    }
    queueEnd(*state, *worker, run, run_outcome::neverStarted, "");
}

asio::awaitable<void> sendStop(dispatch_handle state, live_worker_handle worker, run_key key)
{
    while (!isForgotten(*state, *worker)) {
        if (!mayAct(*state)) {
            co_await state->shared.clock.sleepFor(doubtPause);
            continue;
        }
        const auto answer = co_await state->shared.workers.stop(targetOf(*state, *worker), key);
        if (!state->active) {
            co_return;
        }
        noteClock(*worker, answer.clock, state->shared.clock.now());
        noteRefusal(state, worker, answer.result);
        const auto found = worker->runs.find(key);
        if (found == worker->runs.end()) {
            co_return;
        }
        if (answer.result == worker_call_result::done) {
            // From here on the run is barred: when it is not listed, it never ran or has ended.
            found->second.phase = live_phase::stopping;
            found->second.seenAt =
                    std::max(found->second.seenAt, answer.clock.value_or(worker_time(0)));
            co_return;
        }
        if (answer.result == worker_call_result::staleRun) {
            co_return;
        }
        co_await state->shared.clock.sleepFor(retryPause);
    }
}

} // namespace mango
