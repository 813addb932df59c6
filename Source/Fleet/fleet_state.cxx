#include "Fleet/fleet_state.h"

#include "Common/result.h"
#include "Jobs/occurrence_window.h"

namespace mango {

namespace {

// Finished jobs are kept so that a late retry of a submission is still recognised as a duplicate.
// This covers more than two weeks at 4,800 jobs a day.
constexpr std::size_t maximumFinishedJobs = 80'000;
// More than any deployment has, with those of names that were misspelt.
constexpr std::size_t maximumDomainChanges = 1000;
// Covers two days at 4,800 jobs a day, if each is cancelled before it arrives.
constexpr std::size_t maximumEarlyCancels = 10'000;

// Moves a job that is no longer open and has no active runs to the finished jobs.
void retireIfFinished(fleet_state &state, std::uint64_t number)
{
    const auto found = state.jobs.find(number);
    if (found == state.jobs.end() || isOpen(found->second) || hasActiveRuns(found->second)) {
        return;
    }
    state.finished[number] = found->second.phase;
    state.finishedOrder.push_back(number);
    if (found->second.phase == job_phase::failed) {
        state.failures[number] = found->second.failure;
    }
    if (found->second.queueParameters.customer != 0) {
        state.finishedOwners[number] = found->second.queueParameters.customer;
    }
    state.jobs.erase(found);
    while (state.finishedOrder.size() > maximumFinishedJobs) {
        state.finished.erase(state.finishedOrder.front());
        state.failures.erase(state.finishedOrder.front());
        state.finishedOwners.erase(state.finishedOrder.front());
        state.finishedOrder.pop_front();
    }
}

fleet_command_result applyOne(fleet_state &state, const adopt_configuration &change)
{
    if (change.configuration.version <= state.configuration.version) {
        return fleet_command_result::unchanged;
    }
    state.configuration = change.configuration;
    return fleet_command_result::applied;
}

fleet_command_result applyOne(fleet_state &state, const set_domain_availability &change)
{
    if (state.domainsOutOfService.contains(change.failureDomain) == change.outOfService) {
        return fleet_command_result::unchanged;
    }
    if (isDomainOrderOvertaken(state, change.failureDomain, change.receivedAfter)) {
        return fleet_command_result::overtaken;
    }
    if (change.outOfService) {
        state.domainsOutOfService.insert(change.failureDomain);
    } else {
        state.domainsOutOfService.erase(change.failureDomain);
    }
    recordCommand(state.domainChanges, change.failureDomain, state.commandsApplied,
                  maximumDomainChanges);
    return fleet_command_result::applied;
}

fleet_command_result applyOne(fleet_state &state, const register_worker &change)
{
    const worker_incarnation &incarnation = change.record.incarnation;
    if (isOvertaken(state, incarnation, change.sequence)) {
        return fleet_command_result::unchanged;
    }
    worker_record &known = state.workers[incarnation.id];
    const bool endsDrain =
            incarnation == known.incarnation && known.draining && !change.record.draining;
    if (incarnation.startTime < known.incarnation.startTime || change.record == known
        || endsDrain) {
        return fleet_command_result::unchanged;
    }
    if (incarnation != known.incarnation) {
        state.incarnationNumbers[incarnation.id] = ++state.incarnationsRegistered;
    }
    known = change.record;
    state.heartbeatSequences[incarnation.id] = change.sequence;
    return fleet_command_result::applied;
}

fleet_command_result applyOne(fleet_state &state, const remove_worker &change)
{
    const auto known = state.workers.find(change.incarnation.id);
    if (known == state.workers.end() || known->second.incarnation != change.incarnation) {
        return fleet_command_result::unchanged;
    }
    state.workers.erase(known);
    state.heartbeatSequences.erase(change.incarnation.id);
    state.incarnationNumbers.erase(change.incarnation.id);
    return fleet_command_result::applied;
}

fleet_command_result applyOne(fleet_state &state, const submit_job &change)
{
    if (phaseOf(state, change.job)) {
        return fleet_command_result::unchanged;
    }
    if (isCancelledEarly(state, change.job, change.receivedAfter)) {
        return fleet_command_result::overtaken;
    }
    state.jobs.emplace(change.job, makeJob(change.queueParameters, change.graph));
    return fleet_command_result::applied;
}

fleet_command_result applyOne(fleet_state &state, const cancel_job &change)
{
    const auto found = state.jobs.find(change.job);
    if (found == state.jobs.end()) {
        if (state.finished.contains(change.job)) {
            return fleet_command_result::unchanged;
        }
        recordCommand(state.earlyCancels, change.job, state.commandsApplied, maximumEarlyCancels);
        return fleet_command_result::unknownJob;
    }
    if (!isOpen(found->second)) {
        return fleet_command_result::unchanged;
    }
    found->second.phase = job_phase::cancelled;
    retireIfFinished(state, change.job);
    return fleet_command_result::applied;
}

fleet_command_result applyOne(fleet_state &state, const begin_runs &change)
{
    for (const begin_runs::run_start &run : change.runs) {
        const auto found = state.jobs.find(run.key.task.job);
        if (found != state.jobs.end()) {
            beginRun(found->second, run.key, run.worker);
        }
    }
    return fleet_command_result::applied;
}

fleet_command_result applyOne(fleet_state &state, const end_runs &change)
{
    for (const end_runs::run_end &end : change.ends) {
        const auto found = state.jobs.find(end.key.task.job);
        if (found != state.jobs.end()) {
            endRun(found->second, end.key, end.outcome, end.checkpoint, end.lastedFor, end.crash);
            retireIfFinished(state, end.key.task.job);
        }
    }
    return fleet_command_result::applied;
}

fleet_command_result applyOne(fleet_state &state, const explain_silences &change)
{
    for (const explain_silences::explanation &one : change.explanations) {
        const auto found = state.jobs.find(one.key.task.job);
        if (found != state.jobs.end()) {
            explainSilence(found->second, one.key, one.crash);
            retireIfFinished(state, one.key.task.job);
        }
    }
    return fleet_command_result::applied;
}

fleet_command_result applyOne(fleet_state &state, const open_occurrences &change)
{
    for (const open_occurrences::opening &one : change.openings) {
        const auto found = state.jobs.find(one.job);
        if (found != state.jobs.end()) {
            openOccurrences(found->second, one.count);
        }
    }
    return fleet_command_result::applied;
}

fleet_command_result applyOne(fleet_state &state, const record_pressures &change)
{
    state.pressures = change.pressures;
    return fleet_command_result::applied;
}

} // namespace

fleet_command_result apply(fleet_state &state, const fleet_command &change)
{
    ++state.commandsApplied;
    return std::visit(
            [&](const auto &typed) {
                return applyOne(state, typed);
            },
            change);
}

bool isOvertaken(const fleet_state &state, const worker_incarnation &incarnation,
                 std::uint64_t sequence)
{
    const auto known = state.workers.find(incarnation.id);
    const auto latest = state.heartbeatSequences.find(incarnation.id);
    return known != state.workers.end() && known->second.incarnation == incarnation
           && latest != state.heartbeatSequences.end() && sequence < latest->second;
}

std::uint64_t incarnationNumber(const fleet_state &state, const worker_incarnation &incarnation)
{
    const auto known = state.workers.find(incarnation.id);
    const auto number = state.incarnationNumbers.find(incarnation.id);
    const bool isRecorded = known != state.workers.end() && known->second.incarnation == incarnation
                            && number != state.incarnationNumbers.end();
    return isRecorded ? number->second : 0;
}

bool isDomainOrderOvertaken(const fleet_state &state, const std::string &failureDomain,
                            std::uint64_t receivedAfter)
{
    return receivedAfter < latestCommandOf(state.domainChanges, failureDomain);
}

bool isCancelledEarly(const fleet_state &state, std::uint64_t job, std::uint64_t receivedAfter)
{
    return hasKey(state.earlyCancels, job) || receivedAfter < state.earlyCancels.latestDropped;
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

customer_id ownerOf(const fleet_state &state, std::uint64_t job)
{
    if (const auto open = state.jobs.find(job); open != state.jobs.end()) {
        return open->second.queueParameters.customer;
    }
    const auto over = state.finishedOwners.find(job);
    return over == state.finishedOwners.end() ? 0 : over->second;
}

const job_failure_report *failureOf(const fleet_state &state, std::uint64_t job)
{
    if (const auto open = state.jobs.find(job); open != state.jobs.end()) {
        return open->second.phase == job_phase::failed ? &open->second.failure : nullptr;
    }
    const auto over = state.failures.find(job);
    return over == state.failures.end() ? nullptr : &over->second;
}

std::uint64_t countQueuedJobs(const fleet_state &state, const queue_route &route)
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
