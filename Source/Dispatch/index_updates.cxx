#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Common/event_log.h"
#include "Common/log.h"
#include "Dispatch/crash_tracking.h"
#include "Dispatch/job_report.h"
#include "Dispatch/room_refusals.h"

namespace mango {

namespace asio = boost::asio;

namespace {

// Takes the tasks that are done out of a step.
void removeDoneTasks(tracked_step &tracked, const std::vector<task_state> &tasks)
{
    tracked.unfinishedTasks = static_cast<std::uint32_t>(
            std::count_if(tasks.begin(), tasks.end(), [](const task_state &task) {
                return !task.done;
            }));
    std::erase_if(tracked.waiting, [&tasks](std::uint32_t index) {
        return tasks[index].done;
    });
}

bool hasRun(const task_state &task, std::uint32_t run)
{
    return std::any_of(task.active.begin(), task.active.end(), [run](const active_run &one) {
        return one.run == run;
    });
}

// Puts a task back among the waiting ones unless it is done or has another run.
void requeueTask(dispatch_state &state, const job_state &job, const task_key &key)
{
    tracked_step *step = findStep(state, key);
    const task_state *task = findTask(job, key);
    if (step == nullptr || task == nullptr || task->done) {
        return;
    }
    const auto first = state.workerByRun.lower_bound({key, 0});
    const bool hasOtherRun = first != state.workerByRun.end() && first->first.task == key;
    const bool alreadyWaiting =
            std::find(step->waiting.begin(), step->waiting.end(), key.index) != step->waiting.end();
    if (!hasOtherRun && !alreadyWaiting) {
        step->waiting.push_back(key.index);
    }
}

// Stops the runs whose tasks match. They follow each other in the order of their keys; `first` is
// not greater than any of them. No key is computed as the end of the range, since there is none
// after the greatest job id.
template<class Matches>
void stopRunsFrom(const dispatch_handle &state, const task_key &first, const Matches &matches)
{
    std::vector<std::pair<run_key, tracked_worker_handle>> found;
    for (auto at = state->workerByRun.lower_bound({first, 0});
         at != state->workerByRun.end() && matches(at->first.task); ++at) {
        found.emplace_back(*at);
    }
    for (const auto &[key, worker] : found) {
        const auto run = worker->runs.find(key);
        if (run != worker->runs.end()) {
            requestStop(state, worker, run->second);
        }
    }
}

void stopTask(const dispatch_handle &state, const task_key &task)
{
    stopRunsFrom(state, task, [&task](const task_key &other) {
        return other == task;
    });
}

void stopStep(const dispatch_handle &state, const task_key &member)
{
    const task_key first{member.job, member.occurrence, member.step, 0};
    stopRunsFrom(state, first, [&first](const task_key &other) {
        return other.job == first.job && other.occurrence == first.occurrence
               && other.step == first.step;
    });
}

// Removes a finished job and stops its runs.
void closeJob(const dispatch_handle &state, std::uint64_t number)
{
    state->jobs.erase(number);
    forgetCustomerJob(*state, number);
    stopRunsFrom(state, {number, 0, 0, 0}, [number](const task_key &other) {
        return other.job == number;
    });
}

// Adds the open occurrences of a job that were opened since the last call.
void addOccurrences(tracked_job &tracked, const job_state &job)
{
    for (auto at = job.occurrences.lower_bound(tracked.openedOccurrences);
         at != job.occurrences.end(); ++at) {
        auto &steps = tracked.occurrences[at->first];
        for (const auto &tasks : at->second.steps) {
            tracked_step &step = steps.emplace_back();
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                step.unfinishedTasks += tasks[index].done ? 0 : 1;
                if (!tasks[index].done && tasks[index].active.empty()) {
                    step.waiting.push_back(index);
                }
            }
        }
    }
    tracked.openedOccurrences = job.openedOccurrences;
}

void addJob(dispatch_state &state, std::uint64_t number, const job_state &job)
{
    tracked_job tracked;
    tracked.knownSince = state.context.machine.knownSince(number);
    tracked.queue = job.queueParameters.pathPrefix;
    beginAccount(state, tracked, job);
    addOccurrences(tracked, job);
    countCustomerJob(state, number, job.queueParameters, tracked.knownSince);
    state.jobs[number] = std::move(tracked);
}

void indexOpenedOccurrences(dispatch_state &state, const open_occurrences &change)
{
    const auto &jobs = state.context.machine.state().jobs;
    for (const open_occurrences::opening &one : change.openings) {
        const auto job = jobs.find(one.job);
        const auto tracked = state.jobs.find(one.job);
        if (job != jobs.end() && tracked != state.jobs.end()) {
            addOccurrences(tracked->second, job->second);
        }
    }
}

// Removes an occurrence that the replicated state has closed.
void removeClosedOccurrence(dispatch_state &state, std::uint64_t number, std::uint32_t occurrence)
{
    const auto &jobs = state.context.machine.state().jobs;
    const auto job = jobs.find(number);
    const auto tracked = state.jobs.find(number);
    if (job != jobs.end() && tracked != state.jobs.end()
        && !job->second.occurrences.contains(occurrence)) {
        tracked->second.occurrences.erase(occurrence);
    }
}

tracked_worker_handle addWorker(const dispatch_handle &state, const worker_record &record)
{
    auto worker = std::make_shared<tracked_worker>(state->context.clock);
    worker->record = record;
    worker->fencingToken = fencingTokenOf(
            state->term, incarnationNumber(state->context.machine.state(), record.incarnation));
    worker->heardAt = state->context.clock.now();
    state->workers[record.incarnation] = worker;
    state->workersListed = false;
    asio::co_spawn(state->context.executor, runWorkerSession(state, worker), asio::detached);
    return worker;
}

// Adds the runs that earlier leaders started, as unconfirmed until their workers report them.
void adoptActiveRuns(const dispatch_handle &state, std::uint64_t number, const job_state &job)
{
    for (const auto &[at, occurrence] : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            for (std::uint32_t index = 0; index < occurrence.steps[step].size(); ++index) {
                adoptUnexplainedRuns(*state, {number, at, step, index},
                                     occurrence.steps[step][index]);
                for (const active_run &run : occurrence.steps[step][index].active) {
                    tracked_worker_handle worker = findWorker(*state, run.worker);
                    if (!worker) {
                        // The incarnation has been replaced, so its address is not known any more.
                        worker = std::make_shared<tracked_worker>(state->context.clock);
                        worker->record.incarnation = run.worker;
                        worker->current = false;
                        worker->heardAt = state->leaderSince;
                        state->workers[run.worker] = worker;
                        state->workersListed = false;
                    }
                    const run_key key{{number, at, step, index}, run.run};
                    tracked_run &tracked = addRun(*state, worker, key, job.graph.steps[step],
                                                  run_phase::unconfirmed);
                    tracked.checkpoint = occurrence.steps[step][index].checkpoint;
                    tracked.adopted = true;
                    tracked.survivedBefore =
                            survivalOf(state->context.machine.sightings(), key, run.worker);
                }
            }
        }
    }
}

// Stops the use of earlier incarnations of a worker. The new one may have carried out, or may still
// carry out, start requests for them, so their runs remain until it has reported to this leader.
void retireEarlierIncarnations(const dispatch_handle &state, const tracked_worker_handle &newer)
{
    const worker_incarnation &newest = newer->record.incarnation;
    const auto end = state->workers.lower_bound(newest);
    for (auto at = state->workers.lower_bound({newest.id, std::chrono::milliseconds::min()});
         at != end; ++at) {
        recordWorkerRestart(state, at->second);
    }
}

void indexWorker(const dispatch_handle &state, const worker_incarnation &incarnation)
{
    const auto committed = state->context.machine.state().workers.find(incarnation.id);
    if (committed == state->context.machine.state().workers.end()) {
        return;
    }
    const worker_record &record = committed->second;
    if (const tracked_worker_handle known = findWorker(*state, record.incarnation)) {
        adoptAnnouncedRecord(*state, *known, record);
        known->current = !known->exitRecorded;
        markOfferChanged(*state, known);
        return;
    }
    const tracked_worker_handle worker = addWorker(state, record);
    retireEarlierIncarnations(state, worker);
}

void indexSubmittedJob(const dispatch_handle &state, std::uint64_t number)
{
    const auto &jobs = state->context.machine.state().jobs;
    const auto found = jobs.find(number);
    if (found != jobs.end() && !state->jobs.contains(number)) {
        addJob(*state, number, found->second);
    }
}

void indexStartedRuns(const dispatch_handle &state, const begin_runs &change)
{
    const auto &jobs = state->context.machine.state().jobs;
    for (const begin_runs::run_start &started : change.runs) {
        const auto where = state->workerByRun.find(started.key);
        if (where == state->workerByRun.end()) {
            continue;
        }
        const tracked_worker_handle worker = where->second;
        const auto job = jobs.find(started.key.task.job);
        const task_state *task =
                job == jobs.end() ? nullptr : findTask(job->second, started.key.task);
        if (task == nullptr || !hasRun(*task, started.key.run)) {
            removeRun(*state, started.key);
            continue;
        }
        tracked_run &run = worker->runs.at(started.key);
        run.phase = run_phase::starting;
        countStartedRun(*state, started.key);
        if (run.stopRequested || run.endPending || !worker->current || worker->exited) {
            queueRunEnd(*state, worker, run, run_outcome::neverStarted, "");
            continue;
        }
        asio::co_spawn(state->context.executor, sendStart(state, worker, started.key),
                       asio::detached);
    }
}

// The time since the start of a run; nothing when the run is unknown, was ever throttled, or
// started from a checkpoint.
std::optional<std::chrono::milliseconds>
unthrottledRunTime(const dispatch_state &state, const tracked_worker &worker, const run_key &key)
{
    const auto found = worker.runs.find(key);
    if (found == worker.runs.end() || found->second.throttleChangedAt != steady_time{}
        || found->second.resumed) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(state.context.clock.now()
                                                                 - found->second.startSentAt);
}

void indexRunEnds(const dispatch_handle &state, const end_runs &change)
{
    const auto &jobs = state->context.machine.state().jobs;
    std::set<std::uint64_t> affectedJobs;
    std::set<std::pair<std::uint64_t, std::uint32_t>> affectedOccurrences;
    std::set<task_key> stepsWithDoneTasks;
    for (const end_runs::run_end &end : change.ends) {
        const task_key &key = end.key.task;
        const auto where = state->workerByRun.find(end.key);
        const tracked_worker_handle worker =
                where == state->workerByRun.end() ? nullptr : where->second;
        const auto runTime = worker ? unthrottledRunTime(*state, *worker, end.key) : std::nullopt;
        accountForRun(*state, end, worker);
        removeRun(*state, end.key);
        affectedJobs.insert(key.job);
        affectedOccurrences.insert({key.job, key.occurrence});
        if (const auto tracked = state->jobs.find(key.job); tracked != state->jobs.end()) {
            tracked->second.isSettled = false;
        }
        const auto job = jobs.find(key.job);
        if (job == jobs.end() || !isOpen(job->second)) {
            continue;
        }
        const job_step &step = job->second.graph.steps[key.step];
        if (end.outcome == run_outcome::done && !step.longRunning && runTime) {
            recordRunTime(state->runTimes[job->second.queueParameters.pathPrefix], *runTime);
        }
        if (end.outcome == run_outcome::failed && worker) {
            if (tracked_step *tracked = findStep(*state, key)) {
                tracked->avoidedWorkers[key.index].insert(worker->record.incarnation);
            }
        }
        if (end.outcome != run_outcome::done || step.longRunning) {
            requeueTask(*state, job->second, key);
            continue;
        }
        stepsWithDoneTasks.insert({key.job, key.occurrence, key.step, 0});
        // The other members of a gang end by themselves, except those of a newer run.
        if (!step.gang) {
            stopTask(state, key);
        } else if (!worker) {
            stopStep(state, key);
        }
    }
    for (const auto &[number, occurrence] : affectedOccurrences) {
        removeClosedOccurrence(*state, number, occurrence);
    }
    for (const task_key &key : stepsWithDoneTasks) {
        const auto job = jobs.find(key.job);
        tracked_step *tracked = findStep(*state, key);
        if (tracked != nullptr && job != jobs.end()) {
            removeDoneTasks(*tracked, job->second.occurrences.at(key.occurrence).steps[key.step]);
        }
    }
    for (const std::uint64_t number : affectedJobs) {
        const auto job = jobs.find(number);
        if (job == jobs.end() || !isOpen(job->second)) {
            reportJobEnd(*state, number);
            closeJob(state, number);
        }
    }
    const auto acknowledgements = state->acknowledgements.find(change.proposalId);
    if (acknowledgements == state->acknowledgements.end()) {
        return;
    }
    for (const end_acknowledgement &acknowledgement : acknowledgements->second) {
        acknowledgement.worker->lastEndCommitted =
                std::max(acknowledgement.worker->lastEndCommitted, acknowledgement.number);
        acknowledgement.worker->wake.notifyAll();
    }
    state->acknowledgements.erase(acknowledgements);
}

void closeFailedJobs(const dispatch_handle &state, const explain_silences &change)
{
    const auto &jobs = state->context.machine.state().jobs;
    for (const explain_silences::explanation &one : change.explanations) {
        const auto job = jobs.find(one.key.task.job);
        if (job == jobs.end() || !isOpen(job->second)) {
            reportJobEnd(*state, one.key.task.job);
            closeJob(state, one.key.task.job);
        }
    }
}

} // namespace

void buildIndexes(const dispatch_handle &state)
{
    const fleet_state &committed = state->context.machine.state();
    importPressures(state->interference, committed.pressures);
    for (const auto &[id, record] : committed.workers) {
        addWorker(state, record);
    }
    for (const auto &[number, job] : committed.jobs) {
        if (isOpen(job)) {
            addJob(*state, number, job);
        }
        adoptActiveRuns(state, number, job);
    }
    for (const auto &[incarnation, worker] : state->workers) {
        if (worker->current) {
            retireEarlierIncarnations(state, worker);
        }
    }
    for (const auto &[number, job] : committed.jobs) {
        if (!isOpen(job)) {
            closeJob(state, number);
        }
    }
}

void onCommandApplied(const dispatch_handle &state, const fleet_command &change)
{
    if (const auto *started = std::get_if<begin_runs>(&change)) {
        indexStartedRuns(state, *started);
    } else if (const auto *ended = std::get_if<end_runs>(&change)) {
        indexRunEnds(state, *ended);
    } else if (const auto *explained = std::get_if<explain_silences>(&change)) {
        closeFailedJobs(state, *explained);
    } else if (const auto *submitted = std::get_if<submit_job>(&change)) {
        indexSubmittedJob(state, submitted->job);
    } else if (const auto *opened = std::get_if<open_occurrences>(&change)) {
        indexOpenedOccurrences(*state, *opened);
    } else if (const auto *cancelled = std::get_if<cancel_job>(&change)) {
        closeJob(state, cancelled->job);
    } else if (const auto *noted = std::get_if<register_worker>(&change)) {
        indexWorker(state, noted->record.incarnation);
    } else if (const auto *forgotten = std::get_if<remove_worker>(&change)) {
        if (const tracked_worker_handle worker = findWorker(*state, forgotten->incarnation)) {
            worker->current = false;
            markOfferChanged(*state, worker);
            worker->wake.notifyAll();
        }
    } else if (std::holds_alternative<set_domain_availability>(change)) {
        state->allOffersChanged = true;
    }
    wakeScheduler(*state);
}

} // namespace mango
