#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Common/event_log.h"
#include "Common/log.h"
#include "Dispatch/dispatch_state.h"

namespace mango {

namespace asio = boost::asio;

namespace {

std::uint32_t countNotDone(const job_state &job, const task_key &key)
{
    const auto &tasks = job.occurrences.at(key.occurrence).steps[key.step];
    return static_cast<std::uint32_t>(
            std::count_if(tasks.begin(), tasks.end(), [](const task_state &task) {
                return !task.done;
            }));
}

bool hasRun(const task_state &task, std::uint32_t run)
{
    return std::any_of(task.active.begin(), task.active.end(), [run](const active_run &one) {
        return one.run == run;
    });
}

// A task waits again when nothing of it is at work or chosen.
void waitAgain(dispatch_state &state, const job_state &job, const task_key &key)
{
    live_step *step = findStep(state, key);
    const task_state *task = findTask(job, key);
    if (step == nullptr || task == nullptr || task->done) {
        return;
    }
    const auto first = state.whereRuns.lower_bound({key, 0});
    const bool chosen = first != state.whereRuns.end() && first->first.task == key;
    const bool listed =
            std::find(step->waiting.begin(), step->waiting.end(), key.index) != step->waiting.end();
    if (!chosen && !listed) {
        step->waiting.push_back(key.index);
    }
}

void stopRunsOf(const dispatch_handle &state, const run_key &from, const run_key &to)
{
    std::vector<std::pair<run_key, live_worker_handle>> found(state->whereRuns.lower_bound(from),
                                                              state->whereRuns.lower_bound(to));
    for (const auto &[key, worker] : found) {
        const auto run = worker->runs.find(key);
        if (run != worker->runs.end()) {
            requestStop(state, worker, run->second);
        }
    }
}

void stopTask(const dispatch_handle &state, task_key task)
{
    const run_key from{task, 0};
    ++task.index;
    stopRunsOf(state, from, {task, 0});
}

// Ends all runs of a job that is over.
void closeJob(const dispatch_handle &state, std::uint64_t number)
{
    state->jobs.erase(number);
    stopRunsOf(state, {{number, 0, 0, 0}, 0}, {{number + 1, 0, 0, 0}, 0});
}

// Tells how a job ended, against what it was owed.
void logJobOver(const dispatch_state &state, std::uint64_t number)
{
    const auto live = state.jobs.find(number);
    const auto phase = phaseOf(state.shared.machine.state(), number);
    if (live == state.jobs.end() || !phase) {
        return;
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(state.shared.clock.now()
                                                                           - live->second.since);
    logEvent(log_part::scheduler, "job-over",
             {{"job", formatJobId(number)},
              {"queue", live->second.queue},
              {"phase", toText(*phase)},
              {"age_ms", age.count()}});
}

void addJob(dispatch_state &state, std::uint64_t number, const job_state &job)
{
    live_job live;
    live.since = state.shared.machine.knownSince(number);
    live.queue = job.queueParameters.pathPrefix;

    for (const auto &[at, occurrence] : job.occurrences) {
        auto &steps = live.occurrences[at];
        for (const auto &tasks : occurrence.steps) {
            live_step &step = steps.emplace_back();
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                step.notDone += tasks[index].done ? 0 : 1;
                if (!tasks[index].done && tasks[index].active.empty()) {
                    step.waiting.push_back(index);
                }
            }
        }
    }
    state.jobs[number] = std::move(live);
}

live_worker_handle addWorker(const dispatch_handle &state, const worker_record &record)
{
    auto worker = std::make_shared<tracked_worker>(state->shared.clock);
    worker->record = record;
    worker->heardAt = state->shared.clock.now();
    state->workers[record.incarnation] = worker;
    asio::co_spawn(state->shared.executor, runWorker(state, worker), asio::detached);
    return worker;
}

// Runs that an earlier leader began: whether they are at work, their workers tell.
void addAgreedRuns(const dispatch_handle &state, std::uint64_t number, const job_state &job)
{
    for (const auto &[at, occurrence] : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            for (std::uint32_t index = 0; index < occurrence.steps[step].size(); ++index) {
                for (const active_run &run : occurrence.steps[step][index].active) {
                    live_worker_handle worker = findWorker(*state, run.worker);
                    if (!worker) {
                        // The life is not the agreed one any more; its id or address tells nothing.
                        worker = std::make_shared<tracked_worker>(state->shared.clock);
                        worker->record.incarnation = run.worker;
                        worker->current = false;
                        worker->heardAt = state->began;
                        state->workers[run.worker] = worker;
                    }
                    const run_key key{{number, at, step, index}, run.run};
                    live_run &live =
                            addRun(*state, worker, key, job.graph.steps[step], live_phase::unsure);
                    live.checkpoint = occurrence.steps[step][index].checkpoint;
                }
            }
        }
    }
}

// What was ordered from an earlier life of the same id may still arrive at the new one.
void replaceLife(const dispatch_handle &state, const live_worker_handle &newer)
{
    for (const auto &[incarnation, worker] : state->workers) {
        if (incarnation.id != newer->record.incarnation.id
            || incarnation.startTime >= newer->record.incarnation.startTime) {
            continue;
        }
        worker->current = false;
        for (auto &[key, run] : worker->runs) {
            if (run.phase == live_phase::running || run.phase == live_phase::planned) {
                queueEnd(*state, *worker, run, run_outcome::lost, run.checkpoint);
            } else {
                newer->toBar.insert(key);
            }
        }
        worker->wake.notifyAll();
    }
    newer->wake.notifyAll();
}

void followWorker(const dispatch_handle &state, const worker_incarnation &incarnation)
{
    const auto agreed = state->shared.machine.state().workers.find(incarnation.id);
    if (agreed == state->shared.machine.state().workers.end()) {
        return;
    }
    const worker_record &record = agreed->second;
    if (const live_worker_handle known = findWorker(*state, record.incarnation)) {
        known->record = record;
        known->current = true;
        return;
    }
    const live_worker_handle worker = addWorker(state, record);
    replaceLife(state, worker);
}

void followSubmit(const dispatch_handle &state, std::uint64_t number)
{
    const auto &jobs = state->shared.machine.state().jobs;
    const auto found = jobs.find(number);
    if (found != jobs.end() && !state->jobs.contains(number)) {
        addJob(*state, number, found->second);
    }
}

void followBegin(const dispatch_handle &state, const begin_runs &change)
{
    const auto &jobs = state->shared.machine.state().jobs;
    for (const begin_runs::run_start &begun : change.runs) {
        const auto where = state->whereRuns.find(begun.key);
        if (where == state->whereRuns.end()) {
            continue;
        }
        const live_worker_handle worker = where->second;
        const auto job = jobs.find(begun.key.task.job);
        const task_state *task =
                job == jobs.end() ? nullptr : findTask(job->second, begun.key.task);
        if (task == nullptr || !hasRun(*task, begun.key.run)) {
            removeRun(*state, begun.key);
            continue;
        }
        live_run &run = worker->runs.at(begun.key);
        run.phase = live_phase::ordered;
        if (run.stopWanted || worker->gone) {
            queueEnd(*state, *worker, run, run_outcome::neverStarted, "");
            continue;
        }
        asio::co_spawn(state->shared.executor, sendStart(state, worker, begun.key), asio::detached);
    }
}

// How long a run has worked, when it was never slowed.
std::optional<std::chrono::milliseconds>
fullSpeedTime(const dispatch_state &state, const tracked_worker &worker, const run_key &key)
{
    const auto found = worker.runs.find(key);
    if (found == worker.runs.end() || found->second.pacedSince != steady_time{}
        || found->second.resumed) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(state.shared.clock.now()
                                                                 - found->second.orderedAt);
}

void followEnds(const dispatch_handle &state, const end_runs &change)
{
    const auto &jobs = state->shared.machine.state().jobs;
    std::set<std::uint64_t> touched;
    for (const end_runs::run_end &end : change.ends) {
        const task_key &key = end.key.task;
        const auto where = state->whereRuns.find(end.key);
        const live_worker_handle worker = where == state->whereRuns.end() ? nullptr : where->second;
        const auto tookTime = worker ? fullSpeedTime(*state, *worker, end.key) : std::nullopt;
        removeRun(*state, end.key);
        touched.insert(key.job);
        const auto job = jobs.find(key.job);
        if (job == jobs.end() || !isOpen(job->second)) {
            continue;
        }
        const job_step &step = job->second.graph.steps[key.step];
        if (end.outcome == run_outcome::done && !step.longRunning && tookTime) {
            learnRunTime(state->runTimes[job->second.queueParameters.pathPrefix], *tookTime);
        }
        if (end.outcome == run_outcome::failed && worker) {
            if (live_step *live = findStep(*state, key)) {
                live->avoided[key.index].insert(worker->record.incarnation);
            }
        }
        if (end.outcome != run_outcome::done || step.longRunning) {
            waitAgain(*state, job->second, key);
            continue;
        }
        if (live_step *live = findStep(*state, key)) {
            live->notDone = countNotDone(job->second, key);
        }
        if (!step.gang) {
            stopTask(state, key);
        }
    }
    for (const std::uint64_t number : touched) {
        const auto job = jobs.find(number);
        if (job == jobs.end() || !isOpen(job->second)) {
            logJobOver(*state, number);
            closeJob(state, number);
        }
    }
    const auto receipts = state->receipts.find(change.proposalId);
    if (receipts == state->receipts.end()) {
        return;
    }
    for (const end_receipt &receipt : receipts->second) {
        receipt.worker->endsAgreed = std::max(receipt.worker->endsAgreed, receipt.number);
        receipt.worker->wake.notifyAll();
    }
    state->receipts.erase(receipts);
}

} // namespace

void fillDispatch(const dispatch_handle &state)
{
    const fleet_state &agreed = state->shared.machine.state();
    importPressures(state->interference, agreed.pressures);
    for (const auto &[id, record] : agreed.workers) {
        addWorker(state, record);
    }
    for (const auto &[number, job] : agreed.jobs) {
        if (isOpen(job)) {
            addJob(*state, number, job);
        }
        addAgreedRuns(state, number, job);
    }
    for (const auto &[incarnation, worker] : state->workers) {
        if (worker->current) {
            replaceLife(state, worker);
        }
    }
    for (const auto &[number, job] : agreed.jobs) {
        if (!isOpen(job)) {
            closeJob(state, number);
        }
    }
}

void followCommand(const dispatch_handle &state, const fleet_command &change)
{
    if (const auto *begun = std::get_if<begin_runs>(&change)) {
        followBegin(state, *begun);
    } else if (const auto *ended = std::get_if<end_runs>(&change)) {
        followEnds(state, *ended);
    } else if (const auto *submitted = std::get_if<submit_job>(&change)) {
        followSubmit(state, submitted->job);
    } else if (const auto *cancelled = std::get_if<cancel_job>(&change)) {
        closeJob(state, cancelled->job);
    } else if (const auto *noted = std::get_if<register_worker>(&change)) {
        followWorker(state, noted->record.incarnation);
    } else if (const auto *forgotten = std::get_if<remove_worker>(&change)) {
        if (const live_worker_handle worker = findWorker(*state, forgotten->incarnation)) {
            worker->current = false;
            worker->wake.notifyAll();
        }
    }
    wakeScheduler(*state);
}

} // namespace mango
