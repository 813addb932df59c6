#include "Dispatch/straggler_runs.h"

#include "Common/event_log.h"
#include "Common/log.h"

namespace mango {

namespace {

// How often runs are looked over for those that lag.
constexpr auto helpInterval = std::chrono::milliseconds(200);

run_progress progressOf(const tracked_worker &worker, const live_run &run,
                        std::chrono::milliseconds expected, steady_time now)
{
    const auto since = [now](steady_time at) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - at);
    };
    run_progress progress;
    progress.age = since(run.orderedAt);
    progress.standing = since(run.percentAt);
    progress.progressPercent = run.progressPercent;
    progress.estimate = expected;
    progress.silent = since(worker.heardAt);
    progress.unsure = run.phase == live_phase::unsure;
    // Tasks that fill gaps get what is left, which may be nothing for a while.
    progress.heldBack = run.bestEffort;
    progress.allowsSpeculativeCopies = run.allowsSpeculativeCopies;
    progress.checkpoints = run.checkpoints;
    progress.longRunning = run.longRunning;
    return progress;
}

} // namespace

void helpLaggingRuns(const dispatch_handle &state, round_offers &round, begin_runs &begun)
{
    const steady_time now = state->shared.clock.now();
    if (now - state->helpedAt < helpInterval) {
        return;
    }
    state->helpedAt = now;
    const auto &jobs = state->shared.machine.state().jobs;
    std::vector<std::pair<run_key, live_worker_handle>> runs(state->whereRuns.begin(),
                                                             state->whereRuns.end());
    for (const auto &[key, worker] : runs) {
        live_run &run = worker->runs.at(key);
        const bool atWork = run.phase == live_phase::running || run.phase == live_phase::unsure;
        const auto job = jobs.find(key.task.job);
        const auto live = state->jobs.find(key.task.job);
        if (!atWork || run.ending || run.stopWanted || job == jobs.end()
            || live == state->jobs.end() || job->second.graph.steps[key.task.step].gang) {
            continue;
        }
        live_step &step = live->second.occurrences.at(key.task.occurrence)[key.task.step];
        const auto expected = expectedRunTime(
                state->runTimes[job->second.queueParameters.pathPrefix], run.estimate);
        run_progress progress = progressOf(*worker, run, expected, now);
        const auto tried = step.avoided.find(key.task.index);
        progress.triedElsewhere =
                tried == step.avoided.end() ? 0 : static_cast<std::uint32_t>(tried->second.size());
        const progress_step advice = adviseOnRun(progress);
        if (advice == progress_step::move) {
            step.avoided[key.task.index].insert(worker->record.incarnation);
            logEvent(log_part::scheduler, "run-moved",
                     {{"run", toText(key)},
                      {"worker", worker->record.incarnation.id},
                      {"why", "stands-still"},
                      {"percent", run.progressPercent},
                      {"age_ms", progress.age.count()},
                      {"standing_ms", progress.standing.count()},
                      {"expected_ms", expected.count()}});
            noteHealth(*state, *worker, run, run_outcome::stopped, true);
            requestStop(state, worker, run);
            continue;
        }
        const task_state *task = findTask(job->second, key.task);
        const auto first = state->whereRuns.lower_bound({key.task, 0});
        const bool onlyRun = std::next(first) == state->whereRuns.end()
                             || std::next(first)->first.task != key.task;
        if (advice != progress_step::copy || task == nullptr || task->done || !onlyRun) {
            continue;
        }
        ready_step ready;
        ready.job = key.task.job;
        ready.occurrence = key.task.occurrence;
        ready.step = key.task.step;
        ready.agreed = &job->second;
        ready.live = &step;
        ready.live->avoided[key.task.index].insert(worker->record.incarnation);
        if (placeTask(state, round, ready, key.task.index, task->lastRun + 1, begun)) {
            logEvent(log_part::scheduler, "run-copied",
                     {{"run", toText(key)},
                      {"worker", worker->record.incarnation.id},
                      {"percent", run.progressPercent},
                      {"age_ms", progress.age.count()},
                      {"standing_ms", progress.standing.count()},
                      {"silent_ms", progress.silent.count()},
                      {"expected_ms", expected.count()}});
        }
    }
}

} // namespace mango
