#include "Fleet/fleet_state.h"

#include "Common/result.h"

namespace mango {

namespace {

// Finished jobs that are remembered, so that a late repeat of a submission is still recognised. At
// 4,800 jobs a day that is more than two weeks.
constexpr std::size_t rememberedJobs = 80'000;

// Moves a job that is over, and has nothing at work any more, to the finished ones.
void retireIfOver(fleet_state &state, std::uint64_t number)
{
    const auto found = state.jobs.find(number);
    if (found == state.jobs.end() || isOpen(found->second) || hasActiveRuns(found->second)) {
        return;
    }
    state.finished[number] = found->second.phase;
    state.finishedOrder.push_back(number);
    state.jobs.erase(found);
    while (state.finishedOrder.size() > rememberedJobs) {
        state.finished.erase(state.finishedOrder.front());
        state.finishedOrder.pop_front();
    }
}

fleet_verdict applyOne(fleet_state &state, const adopt_configuration &change)
{
    if (change.configuration.version <= state.configuration.version) {
        return fleet_verdict::unchanged;
    }
    state.configuration = change.configuration;
    return fleet_verdict::applied;
}

fleet_verdict applyOne(fleet_state &state, const set_domain &change)
{
    const bool changed = change.out ? state.domainsOut.insert(change.failureDomain).second
                                    : state.domainsOut.erase(change.failureDomain) > 0;
    return changed ? fleet_verdict::applied : fleet_verdict::unchanged;
}

fleet_verdict applyOne(fleet_state &state, const note_worker &change)
{
    worker_record &known = state.workers[change.record.life.id];
    if (change.record.life.startTime < known.life.startTime || change.record == known) {
        return fleet_verdict::unchanged;
    }
    known = change.record;
    return fleet_verdict::applied;
}

fleet_verdict applyOne(fleet_state &state, const forget_worker &change)
{
    const auto known = state.workers.find(change.life.id);
    if (known == state.workers.end() || known->second.life != change.life) {
        return fleet_verdict::unchanged;
    }
    state.workers.erase(known);
    return fleet_verdict::applied;
}

fleet_verdict applyOne(fleet_state &state, const submit_graph &change)
{
    if (phaseOf(state, change.job)) {
        return fleet_verdict::unchanged;
    }
    state.jobs.emplace(change.job, makeJob(change.queueParameters, change.graph));
    return fleet_verdict::applied;
}

fleet_verdict applyOne(fleet_state &state, const cancel_graph &change)
{
    const auto found = state.jobs.find(change.job);
    if (found == state.jobs.end()) {
        return state.finished.contains(change.job) ? fleet_verdict::unchanged
                                                   : fleet_verdict::unknownJob;
    }
    if (!isOpen(found->second)) {
        return fleet_verdict::unchanged;
    }
    found->second.phase = job_phase::cancelled;
    retireIfOver(state, change.job);
    return fleet_verdict::applied;
}

fleet_verdict applyOne(fleet_state &state, const begin_runs &change)
{
    for (const begin_runs::one_run &run : change.runs) {
        const auto found = state.jobs.find(run.key.task.job);
        if (found != state.jobs.end()) {
            beginRun(found->second, run.key, run.where);
        }
    }
    return fleet_verdict::applied;
}

fleet_verdict applyOne(fleet_state &state, const end_runs &change)
{
    for (const end_runs::one_end &end : change.ends) {
        const auto found = state.jobs.find(end.key.task.job);
        if (found != state.jobs.end()) {
            endRun(found->second, end.key, end.outcome, end.checkpoint);
            retireIfOver(state, end.key.task.job);
        }
    }
    return fleet_verdict::applied;
}

fleet_verdict applyOne(fleet_state &state, const note_pressures &change)
{
    state.pressures = change.pressures;
    return fleet_verdict::applied;
}

} // namespace

fleet_verdict apply(fleet_state &state, const fleet_command &change)
{
    return std::visit(
            [&](const auto &typed) {
                return applyOne(state, typed);
            },
            change);
}

std::optional<job_phase> phaseOf(const fleet_state &state, std::uint64_t job)
{
    if (const auto open = state.jobs.find(job); open != state.jobs.end()) {
        return open->second.phase;
    }
    if (const auto over = state.finished.find(job); over != state.finished.end()) {
        return over->second;
    }
    return std::nullopt;
}

std::uint64_t countWaiting(const fleet_state &state, const queue_route &route)
{
    std::uint64_t count = 0;
    for (const auto &[number, job] : state.jobs) {
        const bool ofQueue = job.queueParameters.host == route.host
                             && job.queueParameters.pathPrefix == route.pathPrefix;
        count += ofQueue && job.phase == job_phase::queued ? 1 : 0;
    }
    return count;
}

} // namespace mango
