#include "Jobs/job_records.h"

#include <algorithm>

#include "Jobs/occurrence_window.h"

namespace mango {

namespace {

bool allDone(const std::vector<task_state> &tasks)
{
    return std::all_of(tasks.begin(), tasks.end(), [](const task_state &task) {
        return task.done;
    });
}

bool allDone(const job_occurrence &occurrence)
{
    return std::all_of(occurrence.steps.begin(), occurrence.steps.end(), [](const auto &tasks) {
        return allDone(tasks);
    });
}

bool anyActive(const job_occurrence &occurrence)
{
    return std::any_of(occurrence.steps.begin(), occurrence.steps.end(), [](const auto &tasks) {
        return std::any_of(tasks.begin(), tasks.end(), [](const task_state &task) {
            return !task.active.empty();
        });
    });
}

// Returns the task that counts the failures for the key. A gang fails as a whole, so its first
// member counts for all of them.
task_state &failureCountingTask(job_occurrence &occurrence, const job_step &step,
                                const task_key &key)
{
    return occurrence.steps[key.step][step.gang ? 0 : key.index];
}

void markDone(job_occurrence &occurrence, const job_step &step, const task_key &key)
{
    if (!step.gang) {
        occurrence.steps[key.step][key.index].done = true;
        return;
    }
    for (task_state &member : occurrence.steps[key.step]) {
        member.done = true;
    }
}

// Closes an occurrence of a schedule that is done, and completes the job after the last one.
void updatePhase(job_state &job, std::uint32_t number)
{
    if (!isOpen(job)) {
        return;
    }
    const auto ended = job.occurrences.find(number);
    if (job.graph.schedule && ended != job.occurrences.end() && allDone(ended->second)
        && !anyActive(ended->second)) {
        job.occurrences.erase(ended);
    }
    if (job.openedOccurrences < countOccurrences(job.graph)) {
        return;
    }
    const bool finished =
            std::all_of(job.occurrences.begin(), job.occurrences.end(), [](const auto &item) {
                return allDone(item.second);
            });
    if (finished) {
        job.phase = job_phase::completed;
    }
}

void fail(job_state &job, const job_failure_report &report)
{
    if (isOpen(job)) {
        job.phase = job_phase::failed;
        job.failure = report;
    }
}

void addCrash(job_state &job, task_state &task, const task_key &key, const crash_evidence &crash)
{
    recordCrash(task.crashRecord, crash);
    if (!task.done && isProvenCulprit(task.crashRecord)) {
        fail(job, {job_failure::workerCrashes, key,
                   task.crashRecord.crashes + task.crashRecord.possibleCrashes});
    }
}

void countFailure(job_state &job, const task_key &key)
{
    task_state &holder =
            failureCountingTask(job.occurrences[key.occurrence], job.graph.steps[key.step], key);
    ++holder.failures;
    if (holder.failures >= job.queueParameters.maximumFailures) {
        fail(job, {job_failure::taskFailures, key, holder.failures});
    }
}

// Records what became of a run that was given up before. A failure may be reported to several
// leaders, so it counts only while the run is among the unexplained ones.
bool endLate(job_state &job, const run_key &key, run_outcome outcome)
{
    task_state *task = findTask(job, key.task);
    const job_step &step = job.graph.steps[key.task.step];
    if (!isOpen(job) || step.longRunning || task->done || key.run > task->lastRun) {
        return false;
    }
    const bool isUnexplained = std::erase_if(task->unexplained,
                                             [&key](const active_run &one) {
                                                 return one.run == key.run;
                                             })
                               > 0;
    if (outcome == run_outcome::done) {
        markDone(job.occurrences[key.task.occurrence], step, key.task);
        updatePhase(job, key.task.occurrence);
        return true;
    }
    if (outcome != run_outcome::failed || !isUnexplained) {
        return false;
    }
    countFailure(job, key.task);
    return true;
}

// Keeps the newest runs of which nothing is known, so that the state stays bounded.
void addUnexplained(task_state &task, const active_run &run)
{
    constexpr std::size_t maximumUnexplained = 8;
    if (task.unexplained.size() >= maximumUnexplained) {
        task.unexplained.erase(task.unexplained.begin());
    }
    task.unexplained.push_back(run);
}

} // namespace

std::string toText(job_phase phase)
{
    static constexpr const char *names[] = {"queued", "running", "completed", "failed",
                                            "cancelled"};
    return names[static_cast<int>(phase)];
}

std::string toText(run_outcome outcome)
{
    static constexpr const char *names[] = {"done",    "failed", "stopped", "lapsed",
                                            "broken",  "alone",  "lost",    "never-started",
                                            "crashed", "silent"};
    return names[static_cast<int>(outcome)];
}

bool isReported(run_outcome outcome)
{
    switch (outcome) {
    case run_outcome::done:
    case run_outcome::failed:
    case run_outcome::stopped:
    case run_outcome::leaseExpired:
    case run_outcome::gangAborted:
    case run_outcome::gangTimedOut:
        return true;
    case run_outcome::lost:
    case run_outcome::neverStarted:
    case run_outcome::workerCrashed:
    case run_outcome::workerSilent:
        return false;
    }
    return false;
}

std::string toText(job_failure failure)
{
    static constexpr const char *names[] = {"none", "task-failures", "worker-crashes"};
    return names[static_cast<int>(failure)];
}

std::string describe(const job_failure_report &report)
{
    switch (report.failure) {
    case job_failure::none:
        return "";
    case job_failure::taskFailures:
        return "task " + toText(report.task) + " failed " + std::to_string(report.count) + " times";
    case job_failure::workerCrashes:
        return std::to_string(report.count) + " workers crashed under task " + toText(report.task);
    }
    return "";
}

job_state makeJob(queue_parameters queueParameters, job_graph graph)
{
    job_state job;
    job.queueParameters = std::move(queueParameters);
    job.graph = std::move(graph);
    if (!job.graph.schedule) {
        openOccurrences(job, 1);
    }
    return job;
}

task_state *findTask(job_state &job, const task_key &key)
{
    return const_cast<task_state *>(findTask(static_cast<const job_state &>(job), key));
}

const task_state *findTask(const job_state &job, const task_key &key)
{
    const auto found = job.occurrences.find(key.occurrence);
    if (found == job.occurrences.end() || key.step >= found->second.steps.size()
        || key.index >= found->second.steps[key.step].size()) {
        return nullptr;
    }
    return &found->second.steps[key.step][key.index];
}

bool dependenciesDone(const job_state &job, const job_occurrence &occurrence, std::uint32_t step)
{
    const auto &needed = job.graph.steps[step].dependsOn;
    return std::all_of(needed.begin(), needed.end(), [&](std::uint32_t earlier) {
        return allDone(occurrence.steps[earlier]);
    });
}

bool beginRun(job_state &job, const run_key &key, const worker_incarnation &worker)
{
    task_state *task = findTask(job, key.task);
    if (!isOpen(job) || task == nullptr || task->done || key.run <= task->lastRun) {
        return false;
    }
    task->lastRun = key.run;
    task->active.push_back({key.run, worker});
    job.phase = job_phase::running;
    return true;
}

bool endRun(job_state &job, const run_key &key, run_outcome outcome, const std::string &checkpoint,
            std::chrono::milliseconds lastedFor, const crash_evidence &crash)
{
    task_state *task = findTask(job, key.task);
    if (task == nullptr) {
        return false;
    }
    const auto run = std::find_if(task->active.begin(), task->active.end(), [&](const auto &one) {
        return one.run == key.run;
    });
    const job_step &step = job.graph.steps[key.task.step];
    job_occurrence &occurrence = job.occurrences[key.task.occurrence];
    if (run == task->active.end()) {
        return endLate(job, key, outcome);
    }
    const active_run ended = *run;
    task->active.erase(run);
    if (!checkpoint.empty()) {
        task->checkpoint = checkpoint;
    }
    if (outcome == run_outcome::done && !step.longRunning) {
        markDone(occurrence, step, key.task);
    } else if (outcome == run_outcome::failed && !step.longRunning && !task->done) {
        countFailure(job, key.task);
    } else if (outcome == run_outcome::workerCrashed) {
        addCrash(job, *task, key.task, crash);
    } else if (outcome == run_outcome::workerSilent) {
        addUnexplained(*task, ended);
    }
    if (isReported(outcome)) {
        recordHarmlessRun(task->crashRecord, lastedFor);
    }
    updatePhase(job, key.task.occurrence);
    return true;
}

bool explainSilence(job_state &job, const run_key &key, const std::optional<crash_evidence> &crash)
{
    task_state *task = findTask(job, key.task);
    if (task == nullptr) {
        return false;
    }
    const auto erased = std::erase_if(task->unexplained, [&key](const active_run &one) {
        return one.run == key.run;
    });
    if (erased == 0) {
        return false;
    }
    if (crash) {
        addCrash(job, *task, key.task, *crash);
    }
    return true;
}

bool hasActiveRuns(const job_state &job)
{
    return std::any_of(job.occurrences.begin(), job.occurrences.end(), [](const auto &item) {
        return anyActive(item.second);
    });
}

} // namespace mango
