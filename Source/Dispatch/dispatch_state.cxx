#include "Dispatch/dispatch_state.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Common/event_log.h"
#include "Common/log.h"
#include "Dispatch/crash_tracking.h"

namespace mango {

namespace asio = boost::asio;

namespace {

// All runs of a worker stall together, so stalls within this time count as one.
constexpr auto stallWindow = std::chrono::milliseconds(2000);

std::int64_t toMilliseconds(steady_span span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

template<class Counts>
void decrement(Counts &counts, const typename Counts::key_type &key)
{
    const auto found = counts.find(key);
    if (found != counts.end() && --found->second == 0) {
        counts.erase(found);
    }
}

void countRun(dispatch_state &state, const tracked_worker &worker, const run_key &key)
{
    if (tracked_step *step = findStep(state, key.task)) {
        ++step->runsPerWorker[worker.record.incarnation];
        ++step->runsPerDomain[worker.record.failureDomain];
    }
}

void reportRunEnd(const dispatch_state &state, const tracked_worker &worker, const tracked_run &run,
                  run_outcome outcome)
{
    if (outcome == run_outcome::done) {
        return;
    }
    const bool vanished = outcome == run_outcome::workerCrashed
                          || outcome == run_outcome::workerSilent || outcome == run_outcome::lost;
    if (!vanished) {
        logEvent(log_part::scheduler, "run-over",
                 {{"run", toText(run.key)},
                  {"outcome", toText(outcome)},
                  {"worker", worker.record.incarnation.id}});
        return;
    }
    ++state.context.metricsRegistry.at("mango_runs_lost_total{cause=\"" + toText(outcome) + "\"}");
    // A worker that was last heard soon after the start may have crashed because of it.
    logEvent(log_part::scheduler, "run-over",
             {{"run", toText(run.key)},
              {"outcome", toText(outcome)},
              {"worker", worker.record.incarnation.id},
              {"age_ms", toMilliseconds(state.context.clock.now() - run.startSentAt)},
              {"last_heard_ms_after_start", toMilliseconds(worker.heardAt - run.startSentAt)},
              {"lasted_ms", survivalOf(run).count()},
              {"blame", run.crash ? toText(*run.crash) : "none"},
              {"weight", run.crash ? run.crash->weight : 0}});
}

bool isLatencyCritical(const tracked_run &run)
{
    return run.longRunning && run.tailLatencyTarget.count() > 0;
}

void addToUsage(tracked_worker &worker, const tracked_run &run)
{
    worker.latencyCriticalRuns += isLatencyCritical(run) ? 1 : 0;
    worker.used.memoryMb += run.resources.memoryMb;
    worker.used.accelerators += run.resources.accelerators;
    if (run.bestEffort) {
        worker.bestEffortMilliCores += run.resources.milliCores;
        return;
    }
    worker.used.milliCores += run.resources.milliCores;
    if (run.longRunning) {
        worker.longRunningMilliCores += run.resources.milliCores;
        ++worker.longRunningImages[run.image];
    }
}

void removeFromUsage(tracked_worker &worker, const tracked_run &run)
{
    worker.latencyCriticalRuns -= isLatencyCritical(run) ? 1 : 0;
    worker.used.memoryMb -= run.resources.memoryMb;
    worker.used.accelerators -= run.resources.accelerators;
    if (run.bestEffort) {
        worker.bestEffortMilliCores -= run.resources.milliCores;
        return;
    }
    worker.used.milliCores -= run.resources.milliCores;
    if (run.longRunning) {
        worker.longRunningMilliCores -= run.resources.milliCores;
        decrement(worker.longRunningImages, run.image);
    }
}

} // namespace

tracked_step *findStep(dispatch_state &state, const task_key &key)
{
    const auto job = state.jobs.find(key.job);
    if (job == state.jobs.end()) {
        return nullptr;
    }
    const auto occurrence = job->second.occurrences.find(key.occurrence);
    return occurrence == job->second.occurrences.end() ? nullptr : &occurrence->second[key.step];
}

void removeRun(dispatch_state &state, const run_key &key)
{
    const auto where = state.workerByRun.find(key);
    if (where == state.workerByRun.end()) {
        return;
    }
    const tracked_worker_handle worker = where->second;
    state.workerByRun.erase(where);
    forgetCustomerRun(state, key);
    const auto run = worker->runs.find(key);
    if (run != worker->runs.end()) {
        removeFromUsage(*worker, run->second);
        endTrial(state, worker, run->second);
        worker->runs.erase(run);
        markOfferChanged(state, worker);
    }
    if (tracked_step *step = findStep(state, key.task)) {
        decrement(step->runsPerWorker, worker->record.incarnation);
        decrement(step->runsPerDomain, worker->record.failureDomain);
    }
}

tracked_run *takeOverRun(dispatch_state &state, const tracked_worker_handle &worker,
                         const run_key &key)
{
    const auto where = state.workerByRun.find(key);
    if (where == state.workerByRun.end()) {
        return nullptr;
    }
    const tracked_worker_handle earlier = where->second;
    const auto found = earlier->runs.find(key);
    const bool isEarlier = earlier->record.incarnation.id == worker->record.incarnation.id
                           && earlier->record.incarnation < worker->record.incarnation;
    if (!isEarlier || found == earlier->runs.end() || found->second.endPending) {
        return nullptr;
    }
    tracked_run run = found->second;
    removeRun(state, key);
    run.onTrial = false;
    run.firstConfirmedAt.reset();
    run.lastConfirmedAt = worker_time(0);
    run.crash.reset();
    run.throttlePercent = 100;
    run.phase = run.phase == run_phase::stopping ? run_phase::stopping : run_phase::unconfirmed;
    logEvent(log_part::scheduler, "run-taken-over",
             {{"run", toText(key)},
              {"worker", worker->record.incarnation.id},
              {"from", earlier->record.incarnation.startTime.count()},
              {"to", worker->record.incarnation.startTime.count()}});
    ++state.context.metricsRegistry.at("mango_runs_taken_over_total");
    addToUsage(*worker, run);
    markOfferChanged(state, worker);
    state.workerByRun[key] = worker;
    countCustomerRun(state, key, run.resources);
    countRun(state, *worker, key);
    return &(worker->runs[key] = std::move(run));
}

bool holdsLeadership(const dispatch_state &state)
{
    return state.active && !state.superseded && state.context.consensus.hasLeaderLease()
           && state.context.consensus.term() == state.term;
}

std::chrono::milliseconds completionObjective(const queue_parameters &queue,
                                              std::chrono::milliseconds criticalPath)
{
    // Any stretch and target are valid; the objective is added to times of the monotonic clock.
    constexpr auto longest = std::chrono::milliseconds(std::chrono::hours(24 * 365));
    const double stretched = static_cast<double>(criticalPath.count()) * queue.stretch;
    const double limit = static_cast<double>(longest.count());
    const std::chrono::milliseconds target = std::min(queue.targetLatency, longest);
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::min(stretched, limit)))
           + target;
}

tracked_worker_handle findWorker(const dispatch_state &state, const worker_incarnation &incarnation)
{
    const auto found = state.workers.find(incarnation);
    return found == state.workers.end() ? nullptr : found->second;
}

void markOfferChanged(dispatch_state &state, const tracked_worker_handle &worker)
{
    if (!worker->offerChanged) {
        worker->offerChanged = true;
        state.changedWorkers.push_back(worker);
    }
}

void confirmRun(tracked_run &run, worker_time at)
{
    if (!run.firstConfirmedAt) {
        run.firstConfirmedAt = at;
    }
    run.lastConfirmedAt = std::max(run.lastConfirmedAt, at);
}

std::chrono::milliseconds survivalOf(const tracked_run &run)
{
    return run.survivedBefore
           + (run.firstConfirmedAt ? run.lastConfirmedAt - *run.firstConfirmedAt : worker_time(0));
}

bool hasSurvivedStart(const tracked_run &run)
{
    return survivalOf(run) >= startSurvivedAfter;
}

void endTrial(dispatch_state &state, const tracked_worker_handle &worker, tracked_run &run)
{
    if (!std::exchange(run.onTrial, false)) {
        return;
    }
    --worker->runsOnTrial;
    if (worker->trialSlots > 0) {
        --worker->trialSlots;
        --state.trialSlots;
    }
    markOfferChanged(state, worker);
}

void wakeScheduler(dispatch_state &state)
{
    state.changed = true;
    state.wake.notifyAll();
}

tracked_run &addRun(dispatch_state &state, const tracked_worker_handle &worker, const run_key &key,
                    const job_step &step, run_phase phase)
{
    tracked_run run;
    run.key = key;
    run.resources = step.resources;
    run.bestEffort = step.bestEffort;
    run.longRunning = step.longRunning;
    run.tailLatencyTarget = step.tailLatencyTarget;
    run.image = imageId(state.interference, step.image);
    run.checkpoints = step.checkpoints;
    run.phase = phase;
    run.suspect = hasCrashes(recordOf(state, key.task));
    run.startSentAt = state.context.clock.now();
    run.progressedAt = run.startSentAt;
    run.reportedAt = run.startSentAt;
    run.estimate = step.estimate;
    run.allowsSpeculativeCopies = step.allowsSpeculativeCopies;
    addToUsage(*worker, run);
    markOfferChanged(state, worker);
    state.workerByRun[key] = worker;
    countCustomerRun(state, key, run.resources);
    countRun(state, *worker, key);
    return worker->runs[key] = std::move(run);
}

void queueRunEnd(dispatch_state &state, const tracked_worker_handle &worker, tracked_run &run,
                 run_outcome outcome, const std::string &checkpoint)
{
    if (run.endPending) {
        return;
    }
    run.endPending = true;
    markOfferChanged(state, worker);
    const bool crashed = outcome == run_outcome::lost && run.crash;
    outcome = crashed ? run_outcome::workerCrashed : outcome;
    state.pendingEnds.push_back(
            {run.key, outcome, checkpoint, survivalOf(run), run.crash.value_or(crash_evidence{})});
    reportRunEnd(state, *worker, run, outcome);
    wakeScheduler(state);
}

worker_soundness soundnessOf(const tracked_worker &worker)
{
    worker_soundness soundness = worker.soundness;
    if (backoffFor(soundness.streak).count() == 0) {
        return soundness;
    }
    soundness.hasProbe =
            std::any_of(worker.runs.begin(), worker.runs.end(), [&worker](const auto &item) {
                return !item.second.endPending && !item.second.longRunning
                       && item.second.startSentAt >= worker.backoffStartedAt;
            });
    return soundness;
}

void recordLateEnd(dispatch_state &state, const tracked_worker_handle &worker,
                   const reported_end &end)
{
    const auto &jobs = state.context.machine.state().jobs;
    const auto job = jobs.find(end.key.task.job);
    const task_state *task = job == jobs.end() ? nullptr : findTask(job->second, end.key.task);
    const bool isDecisive = end.outcome == run_outcome::done || end.outcome == run_outcome::failed;
    if (!isDecisive || task == nullptr || task->done || !isOpen(job->second)) {
        return;
    }
    // The end tells what became of the run.
    std::erase_if(worker->silencedRuns, [&end](const silenced_run &silenced) {
        return silenced.key == end.key;
    });
    const auto pending = std::find_if(state.pendingEnds.begin(), state.pendingEnds.end(),
                                      [&end](const end_runs::run_end &one) {
                                          return one.key == end.key;
                                      });
    const bool isQueued = pending != state.pendingEnds.end();
    logEvent(log_part::scheduler, "late-end",
             {{"run", toText(end.key)},
              {"worker", worker->record.incarnation.id},
              {"outcome", toText(end.outcome)},
              {"given_up_as", isQueued ? toText(pending->outcome) : "committed"},
              {"last_run", task->lastRun}});
    ++state.context.metricsRegistry.at("mango_late_ends_total");
    if (isQueued) {
        pending->outcome = end.outcome;
        pending->checkpoint = end.checkpoint;
    } else {
        state.pendingEnds.push_back({end.key, end.outcome, end.checkpoint, {}, {}});
    }
    wakeScheduler(state);
}

void recordRunHealth(dispatch_state &state, const tracked_worker_handle &worker,
                     const tracked_run &run, run_outcome outcome, bool stalled)
{
    markOfferChanged(state, worker);
    const steady_time now = state.context.clock.now();
    worker_soundness &soundness = worker->soundness;
    if (outcome == run_outcome::done) {
        soundness.streak = {};
        soundness.failedAt.reset();
        soundness.doneAt = now;
        return;
    }
    soundness.failedAt = now;
    // Many runs of a worker fail together: those started before the last backoff began are already
    // covered by it.
    if (run.startSentAt < worker->backoffStartedAt) {
        return;
    }
    soundness.streak.consecutiveFailures += outcome == run_outcome::failed ? 1 : 0;
    if (stalled && now - worker->stalledAt > stallWindow) {
        worker->stalledAt = now;
        ++soundness.streak.consecutiveStalls;
    }
    const auto backoff = backoffFor(soundness.streak);
    if (backoff.count() > 0) {
        worker->backoffStartedAt = now;
        soundness.backoffUntil = std::max(soundness.backoffUntil, now + backoff);
        logEvent(log_part::scheduler, "worker-rests",
                 {{"worker", worker->record.incarnation.id},
                  {"failures", soundness.streak.consecutiveFailures},
                  {"stalls", soundness.streak.consecutiveStalls},
                  {"for_ms", backoff.count()}});
    }
}

void requestStop(const dispatch_handle &state, const tracked_worker_handle &worker,
                 tracked_run &run)
{
    if (run.stopRequested || run.endPending) {
        return;
    }
    run.stopRequested = true;
    markOfferChanged(*state, worker);
    if (run.phase == run_phase::planned) {
        return;
    }
    asio::co_spawn(state->context.executor, sendStop(state, worker, run.key), asio::detached);
}

namespace {

// Takes back the ends and the starts of runs that were proposed in vain. The leadership may last,
// as when its transfer fails, and later acknowledgements must not cover ends that are not
// committed.
void restoreProposal(dispatch_state &state, const fleet_command &change)
{
    if (const auto *ended = std::get_if<end_runs>(&change)) {
        state.pendingEnds.insert(state.pendingEnds.begin(), ended->ends.begin(), ended->ends.end());
        const auto found = state.acknowledgements.find(ended->proposalId);
        if (found != state.acknowledgements.end()) {
            state.pendingAcknowledgements.insert(state.pendingAcknowledgements.begin(),
                                                 found->second.begin(), found->second.end());
            state.acknowledgements.erase(found);
        }
    } else if (const auto *started = std::get_if<begin_runs>(&change)) {
        for (const begin_runs::run_start &start : started->runs) {
            const auto where = state.workerByRun.find(start.key);
            if (where != state.workerByRun.end()) {
                queueRunEnd(state, where->second, where->second->runs.at(start.key),
                            run_outcome::neverStarted, "");
            }
        }
    }
}

} // namespace

asio::awaitable<std::optional<fleet_command_result>> commitCommand(dispatch_handle state,
                                                                   fleet_command change)
{
    const steady_time begin = state->context.clock.now();
    auto committed = co_await state->context.consensus.propose(encodeFleetCommand(change));
    state->context.metricsRegistry.histogram("mango_agree_seconds")
            .observe(state->context.clock.now() - begin);
    if (failed(committed)) {
        if (failureOf(committed).reason == propose_failure::kind::notLeader) {
            restoreProposal(*state, change);
        }
        co_return std::nullopt;
    }
    co_return std::any_cast<fleet_command_result>(valueOf(committed));
}

} // namespace mango
