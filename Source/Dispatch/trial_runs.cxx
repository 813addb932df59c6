#include "Dispatch/trial_runs.h"

#include "Dispatch/crash_tracking.h"

namespace mango {

namespace {

// How long a task waits for a trial. After several crashes it waits for longer, since it is either
// likely to crash a worker again or has already lost much to others.
constexpr auto trialWait = std::chrono::milliseconds(500);
constexpr auto repeatedTrialWait = std::chrono::milliseconds(5000);
// A worker with runs is heard more often than this.
constexpr auto unheardAfter = std::chrono::milliseconds(400);
// With so many crashes, known or possible, a task waits for the possible ones to be explained, for
// a while.
constexpr std::size_t maximumPossibleCrashes = 4;
constexpr auto explanationWait = std::chrono::milliseconds(3000);

bool awaitsExplanations(const task_state &task)
{
    const crash_record &record = task.crashRecord;
    return !task.unexplained.empty()
           && record.crashes + record.possibleCrashes + task.unexplained.size()
                      >= maximumPossibleCrashes;
}

} // namespace

trial_candidate trialCandidateOf(const dispatch_state &state, const tracked_worker &worker)
{
    trial_candidate candidate;
    candidate.unheard = state.context.clock.now() - worker.heardAt > unheardAfter;
    candidate.recentCrashes = countRecentCrashes(state, worker.record.address);
    for (const auto &[key, run] : worker.runs) {
        if (run.endPending) {
            continue;
        }
        ++candidate.runs;
        candidate.suspectRuns += run.suspect ? 1 : 0;
        candidate.longRunningRuns += run.longRunning ? 1 : 0;
        candidate.hasUnsettledRuns = candidate.hasUnsettledRuns || !hasSurvivedStart(run);
    }
    return candidate;
}

bool hasTrialSlot(const dispatch_state &state)
{
    return state.trialSlots < maximumTrials(state.workers.size());
}

void beginTrial(dispatch_state &state, const tracked_worker_handle &worker, tracked_run &run)
{
    run.onTrial = true;
    ++worker->runsOnTrial;
    ++worker->trialSlots;
    ++state.trialSlots;
    markOfferChanged(state, worker);
    ++state.context.metricsRegistry.at("mango_trials_total");
}

void releaseTrialSlots(dispatch_state &state, tracked_worker &worker)
{
    state.trialSlots -= std::exchange(worker.trialSlots, 0);
}

trial_outcome tryIfSuspect(const dispatch_handle &state, round_offers &round,
                           const ready_step &ready, std::uint32_t index, std::uint32_t run,
                           begin_runs &started)
{
    const task_state &task =
            ready.committedJob->occurrences.at(ready.occurrence).steps[ready.step][index];
    const steady_time now = state->context.clock.now();
    if (awaitsExplanations(task)
        && now - ready.tracked->explanationWaitSince.try_emplace(index, now).first->second
                   < explanationWait) {
        return trial_outcome::waits;
    }
    if (!isSuspect(task.crashRecord)) {
        return trial_outcome::notNeeded;
    }
    const steady_time since = ready.tracked->trialWaitSince.try_emplace(index, now).first->second;
    const bool repeated = isStrongSuspect(task.crashRecord);
    const bool waitedLong = now - since >= (repeated ? repeatedTrialWait : trialWait);
    const trial_company company = waitedLong ? trial_company::anyRuns : trial_company::settledRuns;
    const bool mayTry = hasTrialSlot(*state) || (repeated && waitedLong);
    if (mayTry && tryTask(state, round, ready, index, run, company, started)) {
        return trial_outcome::placed;
    }
    return waitedLong ? trial_outcome::notNeeded : trial_outcome::waits;
}

} // namespace mango
