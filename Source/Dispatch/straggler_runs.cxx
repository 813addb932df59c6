#include "Dispatch/straggler_runs.h"

#include <algorithm>

#include "Common/event_log.h"
#include "Common/log.h"
#include "Dispatch/trial_runs.h"

namespace mango {

namespace {

// How often runs are checked for stragglers.
constexpr auto stragglerCheckInterval = std::chrono::milliseconds(200);
// A check looks for other workers for at most this many runs; the next one goes on from there. When
// many workers are silent, all of their runs are suspects.
constexpr std::size_t suspectsPerCheck = 100;

bool isActive(const tracked_run &run)
{
    return (run.phase == run_phase::running || run.phase == run_phase::unconfirmed)
           && !run.endPending && !run.stopRequested;
}

// Returns false when decideRunAction() keeps all runs of the step, or they are left alone as
// members of a gang.
bool mayBeStragglers(const job_step &step)
{
    return !step.longRunning && !step.gang && (step.allowsSpeculativeCopies || !step.bestEffort);
}

using suspected_run = std::pair<run_key, tracked_worker_handle>;

// Adds the runs of one step that may have to be copied or moved, in the order of their keys. Most
// runs are told apart without a look at their jobs.
void addSuspects(dispatch_state &state, const task_key &first, steady_time now,
                 std::vector<suspected_run> &suspects)
{
    for (auto at = state.workerByRun.lower_bound({first, 0}); at != state.workerByRun.end(); ++at) {
        const auto &[key, worker] = *at;
        if (key.task.job != first.job || key.task.occurrence != first.occurrence
            || key.task.step != first.step) {
            break;
        }
        ++state.roundSummary.work.runsChecked;
        const auto run = worker->runs.find(key);
        if (run != worker->runs.end() && isActive(run->second)
            && !isCertainlyKept(progressOf(*worker, run->second, run->second.estimate, now))) {
            suspects.emplace_back(key, worker);
        }
    }
}

// Returns the runs that may have to be copied or moved, in the order of their keys. Goes through
// the steps, since on a service that is shared most runs are long-running or best-effort.
std::vector<suspected_run> findSuspects(dispatch_state &state, steady_time now)
{
    std::vector<suspected_run> suspects;
    const auto &jobs = state.context.machine.state().jobs;
    for (const auto &[number, job] : state.jobs) {
        const auto committed = jobs.find(number);
        if (committed == jobs.end()) {
            continue;
        }
        const std::vector<job_step> &graph = committed->second.graph.steps;
        for (const auto &[occurrence, steps] : job.occurrences) {
            for (std::uint32_t step = 0; step < steps.size(); ++step) {
                if (!steps[step].runsPerWorker.empty() && mayBeStragglers(graph[step])) {
                    addSuspects(state, {number, occurrence, step, 0}, now, suspects);
                }
            }
        }
    }
    if (suspects.size() > suspectsPerCheck) {
        const auto next = std::upper_bound(suspects.begin(), suspects.end(), state.lastSuspect,
                                           [](const run_key &key, const auto &suspect) {
                                               return key < suspect.first;
                                           });
        std::rotate(suspects.begin(), next, suspects.end());
        suspects.resize(suspectsPerCheck);
    }
    return suspects;
}

} // namespace

run_progress progressOf(const tracked_worker &worker, const tracked_run &run,
                        std::chrono::milliseconds expected, steady_time now)
{
    const auto since = [now](steady_time at) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - at);
    };
    run_progress progress;
    progress.age = since(run.startSentAt);
    // Time in which the worker has reported nothing tells nothing about the progress.
    progress.stalledFor = std::chrono::duration_cast<std::chrono::milliseconds>(run.reportedAt
                                                                                - run.progressedAt);
    progress.progressPercent = run.progressPercent;
    progress.estimate = expected;
    progress.workerSilentFor = since(worker.heardAt);
    progress.unconfirmed = run.phase == run_phase::unconfirmed;
    // Best-effort tasks get the cores that are left over, which may be none for a while.
    progress.throttledByScheduler = run.bestEffort;
    progress.allowsSpeculativeCopies = run.allowsSpeculativeCopies;
    progress.checkpoints = run.checkpoints;
    progress.longRunning = run.longRunning;
    progress.survivedStart = hasSurvivedStart(run);
    return progress;
}

void handleStragglers(const dispatch_handle &state, round_offers &round, begin_runs &started)
{
    const steady_time now = state->context.clock.now();
    if (now - state->stragglersCheckedAt < stragglerCheckInterval) {
        return;
    }
    state->stragglersCheckedAt = now;
    const auto &jobs = state->context.machine.state().jobs;
    for (const auto &[key, worker] : findSuspects(*state, now)) {
        state->lastSuspect = key;
        ++state->roundSummary.work.suspects;
        tracked_run &run = worker->runs.at(key);
        const auto job = jobs.find(key.task.job);
        const auto tracked = state->jobs.find(key.task.job);
        if (!isActive(run) || job == jobs.end() || tracked == state->jobs.end()
            || job->second.graph.steps[key.task.step].gang) {
            continue;
        }
        tracked_step &step = tracked->second.occurrences.at(key.task.occurrence)[key.task.step];
        const auto expected = expectedRunTime(
                state->runTimes[job->second.queueParameters.pathPrefix], run.estimate);
        run_progress progress = progressOf(*worker, run, expected, now);
        const auto tried = step.avoidedWorkers.find(key.task.index);
        progress.triedWorkerCount = tried == step.avoidedWorkers.end()
                                            ? 0
                                            : static_cast<std::uint32_t>(tried->second.size());
        const task_state *task = findTask(job->second, key.task);
        progress.isSuspect = task != nullptr && isSuspect(task->crashRecord);
        const run_action action = decideRunAction(progress);
        if (action == run_action::move) {
            step.avoidedWorkers[key.task.index].insert(worker->record.incarnation);
            logEvent(log_part::scheduler, "run-moved",
                     {{"run", toText(key)},
                      {"worker", worker->record.incarnation.id},
                      {"why", "stands-still"},
                      {"percent", run.progressPercent},
                      {"age_ms", progress.age.count()},
                      {"standing_ms", progress.stalledFor.count()},
                      {"expected_ms", expected.count()}});
            recordRunHealth(*state, worker, run, run_outcome::stopped, true);
            requestStop(state, worker, run);
            continue;
        }
        const auto first = state->workerByRun.lower_bound({key.task, 0});
        const bool onlyRun = std::next(first) == state->workerByRun.end()
                             || std::next(first)->first.task != key.task;
        if (action == run_action::keep || task == nullptr || task->done || !onlyRun) {
            continue;
        }
        ready_step ready;
        ready.job = key.task.job;
        ready.occurrence = key.task.occurrence;
        ready.step = key.task.step;
        ready.committedJob = &job->second;
        ready.tracked = &step;
        ready.urgency.longRunning = run.longRunning;
        if (!mayStart(*state, ready, 1)) {
            continue;
        }
        ready.tracked->avoidedWorkers[key.task.index].insert(worker->record.incarnation);
        std::optional<offer_ranking> ranking;
        const std::uint32_t nextRun = task->lastRun + 1;
        const bool placed =
                action == run_action::copyOnTrial
                        ? hasTrialSlot(*state)
                                  && tryTask(state, round, ready, key.task.index, nextRun,
                                             trial_company::settledRuns, started)
                        : placeTask(state, round, ready, key.task.index, nextRun, ranking, started);
        if (placed) {
            ++state->context.metricsRegistry.at("mango_speculative_copies_total");
            logEvent(log_part::scheduler, "run-copied",
                     {{"run", toText(key)},
                      {"worker", worker->record.incarnation.id},
                      {"on_trial", action == run_action::copyOnTrial ? "yes" : "no"},
                      {"percent", run.progressPercent},
                      {"age_ms", progress.age.count()},
                      {"standing_ms", progress.stalledFor.count()},
                      {"silent_ms", progress.workerSilentFor.count()},
                      {"expected_ms", expected.count()}});
        }
    }
}

} // namespace mango
