#pragma once

#include <map>

#include "Jobs/job_graph.h"

namespace mango {

// How far a job is, as callers see it.
enum class job_phase : std::uint8_t { queued, running, completed, failed, cancelled };

// How a run ended.
enum class run_outcome : std::uint8_t {
    done,
    failed,
    // Ended by an order to stop.
    stopped,
    // Ended by its worker because its lease ran out.
    leaseExpired,
    // A gang member that ended because another one did.
    gangAborted,
    // A gang member that waited too long for the others.
    gangTimedOut,
    // Its worker's process is gone, or its lease has certainly run out unseen.
    lost,
    // The order to start it was refused or has expired; it never ran.
    neverStarted
};

std::string toText(job_phase phase);
std::string toText(run_outcome outcome);

// One life of a worker: the same id may come back as another process.
struct worker_incarnation
{
    std::string id;
    // When the process began, since 1970, by its own clock.
    std::chrono::milliseconds startTime{0};

    auto operator<=>(const worker_incarnation &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, startTime);
    }
};

// A run that may be at work on a worker.
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

// What is agreed on one task.
struct task_state
{
    std::uint32_t lastRun = 0;
    std::uint32_t failures = 0;
    bool done = false;
    // The newest saved progress; empty when there is none.
    std::string checkpoint;
    std::vector<active_run> active;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(lastRun, failures, done, checkpoint, active);
    }
};

// The terms of the queue at the time when a job was accepted.
struct queue_parameters
{
    std::string host;
    std::string pathPrefix;
    // The service whose workers run the tasks.
    std::string service;
    // 0 comes first.
    std::uint32_t priority = 0;
    // A task that has failed that often makes its job fail.
    std::uint32_t maximumFailures = 1;
    // The objective is that many times the longest chain, and targetLatency more.
    double stretch = 1;
    std::chrono::milliseconds targetLatency{0};

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(host, pathPrefix, service, priority, maximumFailures, stretch, targetLatency);
    }
};

// The tasks of one occurrence, by step.
struct job_occurrence
{
    std::vector<std::vector<task_state>> steps;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(steps);
    }
};

// What is agreed on one job.
struct job_state
{
    queue_parameters queueParameters;
    job_graph graph;
    job_phase phase = job_phase::queued;
    // Occurrences with tasks that are not done, or with runs that may be at work.
    std::map<std::uint32_t, job_occurrence> occurrences;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(queueParameters, graph, phase, occurrences);
    }
};

// True while tasks of the job are still to be run.
inline bool isOpen(const job_state &job)
{
    return job.phase == job_phase::queued || job.phase == job_phase::running;
}

// A job with the tasks of all its occurrences, none of them begun.
job_state makeJob(queue_parameters queueParameters, job_graph graph);

// The task of a key; nothing when the job has no such task open.
task_state *findTask(job_state &job, const task_key &key);
const task_state *findTask(const job_state &job, const task_key &key);

// True when all steps that the step depends on are done.
bool dependenciesDone(const job_state &job, const job_occurrence &occurrence, std::uint32_t step);

// Notes that a run is about to be started. False, and nothing is changed, when the job is closed,
// the task done, or the run not newer than the task's last.
bool beginRun(job_state &job, const run_key &key, const worker_incarnation &worker);

// Notes the end of a run; false when the run was not active. May complete or fail the job.
bool endRun(job_state &job, const run_key &key, run_outcome outcome, const std::string &checkpoint);

// True when a run of the job may still be at work.
bool hasActiveRuns(const job_state &job);

} // namespace mango
