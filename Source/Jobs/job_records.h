#pragma once

#include <map>

#include "Jobs/crash_record.h"
#include "Jobs/job_graph.h"

namespace mango {

// State of a job as reported to callers.
enum class job_phase : std::uint8_t { queued, running, completed, failed, cancelled };

// Outcome of a run.
enum class run_outcome : std::uint8_t {
    done,
    failed,
    // Stopped at the scheduler's request.
    stopped,
    // Killed by its worker because the lease expired.
    leaseExpired,
    // Gang member that was ended because another member ended.
    gangAborted,
    // Gang member that gave up waiting for the other members to start.
    gangTimedOut,
    // No outcome was reported: the worker does not have the run any more.
    lost,
    // The start request was refused or has expired; the run never executed.
    neverStarted,
    // The worker process ended while it had the run.
    workerCrashed,
    // The worker was silent until the lease had certainly expired. It may have crashed.
    workerSilent
};
inline constexpr std::size_t runOutcomeCount = 10;

// Returns the name of the phase in API responses and log lines.
std::string toText(job_phase phase);
// Returns the name of the outcome in log lines.
std::string toText(run_outcome outcome);

// Returns true for ends that only a worker that is up can report.
bool isReported(run_outcome outcome);

// One process lifetime of a worker. A restarted worker keeps its id but has a later start time.
struct worker_incarnation
{
    std::string id;
    // Start time of the process since the Unix epoch, by the worker's own clock.
    std::chrono::milliseconds startTime{0};

    auto operator<=>(const worker_incarnation &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, startTime);
    }
};

// A run that may be executing on a worker.
struct active_run
{
    std::uint32_t run = 0;
    worker_incarnation worker;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(run, worker);
    }
};

// Replicated state of one task.
struct task_state
{
    std::uint32_t lastRun = 0;
    std::uint32_t failures = 0;
    bool done = false;
    // Latest checkpoint; empty for none.
    std::string checkpoint;
    std::vector<active_run> active;
    crash_record crashRecord;
    // Runs that ended with the silence of their workers, of which is not known yet whether they
    // crashed.
    std::vector<active_run> unexplained;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(lastRun, failures, done, checkpoint, active, crashRecord, unexplained);
    }
};

// Parameters of the queue, copied into a job when it is submitted so that later changes of the
// configuration do not affect it.
struct queue_parameters
{
    std::string host;
    std::string pathPrefix;
    // Service whose workers run the tasks.
    std::string service;
    // 0 is the highest priority.
    std::uint32_t priority = 0;
    // Number of failures of a single task at which the job fails.
    std::uint32_t maximumFailures = 1;
    // The completion objective of a job is stretch times its critical path plus targetLatency.
    double stretch = 1;
    std::chrono::milliseconds targetLatency{0};
    // The customer whose key the submission had (Fleet/customer.h); 0 for none.
    std::uint64_t customer = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(host, pathPrefix, service, priority, maximumFailures, stretch, targetLatency,
                customer);
    }
};

// Why a job has failed.
enum class job_failure : std::uint8_t {
    none,
    // A task has failed as often as its queue allows.
    taskFailures,
    // Workers crashed under one of its tasks.
    workerCrashes
};

// Returns the name of the failure in log lines.
std::string toText(job_failure failure);

// Why a job has failed, and by which task.
struct job_failure_report
{
    job_failure failure = job_failure::none;
    task_key task;
    // The runs of the task that failed, or the workers that crashed under it.
    std::uint32_t count = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(failure, task, count);
    }
};

// Returns the report for the caller of the job.
std::string describe(const job_failure_report &report);

// Tasks of one occurrence, indexed by step and then by task.
struct job_occurrence
{
    std::vector<std::vector<task_state>> steps;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(steps);
    }
};

// Replicated state of one job.
struct job_state
{
    queue_parameters queueParameters;
    job_graph graph;
    job_phase phase = job_phase::queued;
    job_failure_report failure;
    // The open occurrences by number: those that have been opened and may have tasks to run or runs
    // in progress (see occurrence_window.h).
    std::map<std::uint32_t, job_occurrence> occurrences;
    // How many occurrences have been opened so far, in order. The closed ones among them are done.
    std::uint32_t openedOccurrences = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(queueParameters, graph, phase, failure, occurrences, openedOccurrences);
    }
};

// Returns true unless the job has completed, failed or been cancelled.
inline bool isOpen(const job_state &job)
{
    return job.phase == job_phase::queued || job.phase == job_phase::running;
}

// Creates a queued job. The occurrences of a schedule are opened later.
job_state makeJob(queue_parameters queueParameters, job_graph graph);

// Returns the task of a key; nullptr when the job has no such task, or its occurrence is not open.
task_state *findTask(job_state &job, const task_key &key);
const task_state *findTask(const job_state &job, const task_key &key);

// Returns true when all tasks of the steps that the step depends on are done.
bool dependenciesDone(const job_state &job, const job_occurrence &occurrence, std::uint32_t step);

// Records that a run is about to be started. Returns false and changes nothing when the job is not
// open, the task is done, or the run number does not exceed that of the task's last run.
bool beginRun(job_state &job, const run_key &key, const worker_incarnation &worker);

// Records the end of a run and updates the phase of the job. Returns false when that changes
// nothing, as when the run was not active; but a run that was given up before and turns out to be
// done still completes its task, and one that turns out to have failed counts as an attempt. A
// non-empty checkpoint replaces that of the task. `lastedFor` is how long the run is known to have
// lasted, and `crash` tells, for a run whose worker crashed, whether it may be the cause.
bool endRun(job_state &job, const run_key &key, run_outcome outcome, const std::string &checkpoint,
            std::chrono::milliseconds lastedFor = std::chrono::milliseconds(0),
            const crash_evidence &crash = {});

// Records what became known of a run that ended with the silence of its worker: the evidence of the
// worker's crash, or nothing when the worker has not crashed. Returns false when the run is not
// among the unexplained ones.
bool explainSilence(job_state &job, const run_key &key, const std::optional<crash_evidence> &crash);

// Returns true when a run of the job may still be executing.
bool hasActiveRuns(const job_state &job);

} // namespace mango
