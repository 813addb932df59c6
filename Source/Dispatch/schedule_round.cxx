#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Common/event_log.h"
#include "Common/log.h"
#include "Dispatch/crash_tracking.h"
#include "Dispatch/round_report.h"
#include "Dispatch/silent_workers.h"
#include "Dispatch/straggler_runs.h"
#include "Dispatch/task_placement.h"
#include "Dispatch/trial_runs.h"
#include "Jobs/job_memory.h"
#include "Jobs/occurrence_window.h"

namespace mango {

namespace asio = boost::asio;

namespace {

// Collects the changes of this time in one scheduling round and one command of the replicated log.
constexpr auto batchingDelay = std::chrono::milliseconds(4);
// A timer that fires at most this late shows that the process has no other work to do.
constexpr auto idleLoopLag = std::chrono::milliseconds(2);
// The longest time between rounds, for deadlines and schedules that no event announces.
constexpr auto maximumRoundInterval = std::chrono::milliseconds(100);
// How often the learned interference is committed for the next leader.
constexpr auto pressureSaveInterval = std::chrono::seconds(3);
// A job that takes longer than its objective times this factor has no value any more.
constexpr int noValueFactor = 3;
// Restarts of a long-running step of which one has waited for longer go before all priorities.
constexpr auto restartOverdueAfter = std::chrono::milliseconds(1500);
// First runs of a long-running step of which one has waited for longer go before short tasks.
constexpr auto firstRunOverdueAfter = std::chrono::milliseconds(2500);
constexpr std::uint32_t highestPriority = 0;
// How long expected times, which change with each run that ends, count as recent.
constexpr auto estimateLifetime = std::chrono::milliseconds(100);
// How often leases and silence of all workers are checked.
constexpr auto workerCheckInterval = std::chrono::milliseconds(50);

bool dependenciesMet(const job_step &step, const std::vector<tracked_step> &steps)
{
    return std::all_of(step.dependsOn.begin(), step.dependsOn.end(), [&](std::uint32_t earlier) {
        return steps[earlier].unfinishedTasks == 0;
    });
}

bool isDue(const dispatch_state &state, const job_graph &graph, std::uint32_t occurrence)
{
    return !graph.schedule
           || state.context.clock.wallTime().time_since_epoch()
                      >= dueTimeOf(*graph.schedule, occurrence);
}

// Adds a long-running step, with its restarts apart from the tasks that have not run yet. A gang
// stays together.
void appendLongRunning(std::vector<ready_step> &ready, ready_step step, steady_time now)
{
    const auto &tasks = step.committedJob->occurrences.at(step.occurrence).steps[step.step];
    const std::vector<std::uint32_t> &waiting = step.tracked->waiting;
    const auto restarts = std::count_if(waiting.begin(), waiting.end(), [&](std::uint32_t index) {
        return isRestart(tasks[index]);
    });
    const bool isGang = step.committedJob->graph.steps[step.step].gang;
    const bool hasFirstRuns = restarts < static_cast<std::ptrdiff_t>(waiting.size());
    if (hasFirstRuns && (!isGang || restarts == 0)) {
        const auto &since = step.tracked->wait.since;
        step.urgency.isOverdue = since && now - *since > firstRunOverdueAfter;
        ready.push_back(step);
        step.urgency.isOverdue = false;
    }
    if (restarts > 0) {
        step.urgency.isRestart = true;
        const auto &since = step.tracked->restartsWait.since;
        if (since && now - *since > restartOverdueAfter) {
            step.urgency.priority = highestPriority;
        }
        ready.push_back(step);
    }
}

bool isReady(const dispatch_state &state, const job_graph &graph,
             const std::vector<tracked_step> &steps, std::uint32_t occurrence, std::uint32_t step)
{
    return !steps[step].waiting.empty() && dependenciesMet(graph.steps[step], steps)
           && isDue(state, graph, occurrence);
}

// Computes the expected times of a job and of its steps, unless they are recent.
void updateEstimates(const run_times &seen, const job_state &committed, tracked_job &job,
                     steady_time now)
{
    if (now - job.estimatedAt > estimateLifetime) {
        job.estimatedAt = now;
        job.criticalPaths = expectedCriticalPaths(seen, committed.graph);
        job.objective = completionObjective(committed.queueParameters, job.criticalPaths.front());
    }
}

// Adds the occurrences of the job that should be open and are not, as far as there is room in
// memory for them. A job without an open occurrence has room for one.
void collectOpenings(const dispatch_state &state, std::uint64_t number, const job_state &job,
                     std::uint64_t &room, open_occurrences &due)
{
    const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
            state.context.clock.wallTime().time_since_epoch());
    std::uint32_t count = occurrencesToOpen(job, wall) - job.openedOccurrences;
    if (count == 0) {
        return;
    }
    const std::uint32_t reserved = job.occurrences.empty() ? 1 : 0;
    const std::uint64_t bytes = occurrenceMemory(job.graph).sum();
    count = static_cast<std::uint32_t>(
            std::min<std::uint64_t>(count, reserved + room / std::max<std::uint64_t>(1, bytes)));
    if (count > 0) {
        room -= (count - reserved) * bytes;
        due.openings.push_back({number, job.openedOccurrences + count});
    }
}

std::vector<ready_step> collectReadySteps(dispatch_state &state, open_occurrences &due)
{
    std::vector<ready_step> ready;
    const steady_time now = state.context.clock.now();
    const auto &committed = state.context.machine.state().jobs;
    std::uint64_t room = freeBytes(state.context.machine.openJobs());
    for (auto &[number, job] : state.jobs) {
        if (job.isSettled) {
            continue;
        }
        const auto found = committed.find(number);
        if (found == committed.end()) {
            continue;
        }
        ++state.roundSummary.work.jobsSeen;
        const job_graph &graph = found->second.graph;
        const run_times &seen = state.runTimes[found->second.queueParameters.pathPrefix];
        // Time makes the occurrences of a schedule ready.
        job.isSettled = !graph.schedule;
        if (graph.schedule) {
            collectOpenings(state, number, found->second, room, due);
        }
        for (auto &[at, steps] : job.occurrences) {
            for (std::uint32_t step = 0; step < steps.size(); ++step) {
                if (!isReady(state, graph, steps, at, step)) {
                    continue;
                }
                job.isSettled = false;
                updateEstimates(seen, found->second, job, now);
                step_urgency urgency{found->second.queueParameters.priority,
                                     graph.steps[step].longRunning, job.knownSince + job.objective,
                                     job.knownSince + job.objective * noValueFactor,
                                     job.criticalPaths[step]};
                urgency.yieldsToOthers =
                        yieldsToOthers(state, number, found->second.queueParameters);
                const ready_step one{number, at, step, &found->second, &steps[step], urgency};
                if (!urgency.longRunning) {
                    ready.push_back(one);
                } else {
                    appendLongRunning(ready, one, now);
                }
            }
        }
    }
    std::sort(ready.begin(), ready.end(), [now](const ready_step &one, const ready_step &other) {
        return precedes(one.urgency, other.urgency, now);
    });
    return ready;
}

// Returns what the occurrences hold once they are open.
std::uint64_t bytesOf(const open_occurrences &due, const fleet_state &committed)
{
    std::uint64_t bytes = 0;
    for (const open_occurrences::opening &one : due.openings) {
        const job_state &job = committed.jobs.at(one.job);
        bytes += (one.count - job.openedOccurrences) * occurrenceMemory(job.graph).sum();
    }
    return bytes;
}

// Submissions must not take the room of the occurrences meanwhile.
asio::awaitable<void> commitOpenings(dispatch_handle state, open_occurrences due,
                                     std::shared_ptr<proposed_job_room> /*room*/)
{
    fleet_command change = std::move(due);
    co_await commitCommand(state, std::move(change));
    state->openingProposed = false;
}

// Proposes to open the occurrences, which have just been collected, one command at a time.
void proposeOpenings(const dispatch_handle &state, open_occurrences due)
{
    if (due.openings.empty() || state->openingProposed) {
        return;
    }
    state->openingProposed = true;
    fleet_state_machine &machine = state->context.machine;
    auto room =
            std::make_shared<proposed_job_room>(machine.openJobs(), bytesOf(due, machine.state()));
    asio::co_spawn(state->context.executor, commitOpenings(state, std::move(due), std::move(room)),
                   asio::detached);
}

// Proposes the pending ends of runs, and marks acknowledgements that need no commit as committed.
void commitPendingEnds(const dispatch_handle &state)
{
    if (state->pendingEnds.empty() && state->pendingAcknowledgements.empty()) {
        return;
    }
    std::vector<end_acknowledgement> acknowledgements =
            std::exchange(state->pendingAcknowledgements, {});
    if (state->pendingEnds.empty() && state->acknowledgements.empty()) {
        // Ends of runs that have been committed before can be acknowledged at once. While a batch
        // is in flight they wait for it, since an acknowledgement covers all earlier ends.
        for (const end_acknowledgement &acknowledgement : acknowledgements) {
            acknowledgement.worker->lastEndCommitted =
                    std::max(acknowledgement.worker->lastEndCommitted, acknowledgement.number);
            acknowledgement.worker->wake.notifyAll();
        }
        return;
    }
    end_runs ended{state->nextBatch++, std::exchange(state->pendingEnds, {})};
    state->acknowledgements[ended.proposalId] = std::move(acknowledgements);
    asio::co_spawn(state->context.executor, commitCommand(state, std::move(ended)), asio::detached);
}

// Queues the ends of the runs of workers whose lease has certainly expired, and removes workers
// that have exited, were replaced or have been silent for too long.
void expireSilentWorkers(const dispatch_handle &state)
{
    const dispatch_timing &timing = state->context.timing;
    const steady_time now = state->context.clock.now();
    if (now - state->workersCheckedAt < workerCheckInterval) {
        return;
    }
    state->workersCheckedAt = now;
    std::vector<worker_incarnation> forgotten;
    dropStaleLoads(state->interference, now);
    for (const auto &[incarnation, worker] : state->workers) {
        giveUpSilentWorker(state, worker);
        if (worker->trialSlots > 0 && now - worker->heardAt > timing.renewalSilenceLimit) {
            releaseTrialSlots(*state, *worker);
        }
        const bool isObsolete =
                worker->exited || !worker->current || now - worker->heardAt > timing.forgetAfter;
        if (isObsolete && worker->runs.empty()) {
            forgotten.push_back(incarnation);
        }
    }
    for (const worker_incarnation &incarnation : forgotten) {
        const auto &committed = state->context.machine.state().workers;
        const auto known = committed.find(incarnation.id);
        if (known != committed.end() && known->second.incarnation == incarnation) {
            asio::co_spawn(state->context.executor,
                           commitCommand(state, remove_worker{incarnation}), asio::detached);
        }
        if (const tracked_worker_handle worker = findWorker(*state, incarnation)) {
            recordWorkerExit(state, worker, worker_exit_evidence::removed);
        }
        state->workers.erase(incarnation);
        state->workersListed = false;
    }
}

// Commits the learned interference from time to time, for the next leader.
void savePressures(const dispatch_handle &state)
{
    const steady_time now = state->context.clock.now();
    if (now - state->pressuresSavedAt < pressureSaveInterval
        || state->interference.pressures.empty()) {
        return;
    }
    state->pressuresSavedAt = now;
    record_pressures noted{exportPressures(state->interference)};
    asio::co_spawn(state->context.executor, commitCommand(state, std::move(noted)), asio::detached);
}

void beginPart(dispatch_state &state, round_part part)
{
    enterPart(state.roundSummary.work, part, state.context.clock.now());
}

// Places the tasks of the steps in their order, until the round has taken too long or has placed
// enough.
round_end placeSteps(const dispatch_handle &state, round_offers &round,
                     const std::vector<ready_step> &ready, steady_time roundBegin,
                     begin_runs &started)
{
    round_work &work = state->roundSummary.work;
    work.stepsReady += ready.size();
    round_end end = round_end::done;
    const steady_time placingBegin = state->context.clock.now();
    round_progress progress{placingBegin - roundBegin};
    for (const ready_step &one : ready) {
        progress.placing = state->context.clock.now() - placingBegin;
        progress.starts = started.runs.size();
        if (const auto reached = endOfRound(progress)) {
            end = *reached;
            break;
        }
        ++progress.stepsTried;
        placeStep(state, round, one, started);
    }
    work.stepsTried += progress.stepsTried;
    work.mostStepsLeft =
            std::max<std::uint64_t>(work.mostStepsLeft, ready.size() - progress.stepsTried);
    ++work.ends[static_cast<std::size_t>(end)];
    return end;
}

// Gives lease renewals and heartbeats as much time as the last round took. The pause ends earlier
// when a timer fires in time, since nothing else waits then.
asio::awaitable<void> pauseAfterRound(clock_source &clock, steady_span lastRound)
{
    const steady_time begin = clock.now();
    steady_span late{0};
    do {
        const steady_time due = clock.now() + batchingDelay;
        co_await clock.sleepFor(batchingDelay);
        late = clock.now() - due;
    } while (late > idleLoopLag && clock.now() - begin < lastRound);
}

} // namespace

asio::awaitable<void> runScheduler(dispatch_handle state)
{
    round_offers round;
    steady_span lastRound{0};
    while (state->active) {
        if (!state->changed) {
            co_await state->wake.waitFor(maximumRoundInterval);
        }
        co_await pauseAfterRound(state->context.clock, lastRound);
        if (!holdsLeadership(*state)) {
            co_await state->context.clock.sleepFor(batchingDelay * 5);
            continue;
        }
        const metered_work section(&state->context.work, work_kind::rounds);
        const steady_time roundBegin = state->context.clock.now();
        state->changed = false;
        beginPart(*state, round_part::workers);
        expireSilentWorkers(state);
        commitPendingEnds(state);
        savePressures(state);
        begin_runs started;
        beginPart(*state, round_part::offers);
        updateOffers(*state, round);
        beginPart(*state, round_part::collect);
        open_occurrences due;
        updateCustomers(*state);
        const std::vector<ready_step> ready = collectReadySteps(*state, due);
        proposeOpenings(state, std::move(due));
        beginPart(*state, round_part::place);
        const round_end end = placeSteps(state, round, ready, roundBegin, started);
        state->changed = state->changed || end != round_end::done;
        beginPart(*state, round_part::stragglers);
        handleStragglers(state, round, started);
        beginPart(*state, round_part::outside);
        state->roundSummary.work.tasksPlaced += started.runs.size();
        recordRound(*state, round, roundBegin);
        lastRound = state->context.clock.now() - roundBegin;
        if (!started.runs.empty()) {
            asio::co_spawn(state->context.executor, commitCommand(state, std::move(started)),
                           asio::detached);
        }
    }
}

} // namespace mango
