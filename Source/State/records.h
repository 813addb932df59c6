#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "State/tables.h"

namespace mango {

// Names one task: the job and its number in the job.
struct task_id
{
    std::uint64_t job = 0;
    std::uint32_t number = 0;

    bool operator==(const task_id &) const = default;
    auto operator<=>(const task_id &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(job, number);
    }
};

// "17/3", as shown to people and workers.
std::string toText(const task_id &id);

// The task of such a text; job 0 when it is not one.
task_id parseTaskId(const std::string &text);

// Which of the two tables a change is about.
enum class table_kind : std::uint8_t { routes, pools };

// One of the tables as agreed, kept as the text the operator wrote.
struct table_record
{
    std::uint64_t version = 0;
    std::string text;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(version, text);
    }
};

// Whether operators have a failure domain in service; one without a record is in service.
struct domain_record
{
    std::uint64_t version = 0;
    bool inService = true;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(version, inService);
    }
};

// The life of a task; the last three are final.
enum class task_phase : std::uint8_t { pending, placed, finished, failed, cancelled };

// The durable record of one task.
struct task_record
{
    task_phase phase = task_phase::pending;
    std::uint64_t epoch = 0;
    std::string worker;
    std::string workerIncarnation;
    std::string checkpoint;
    std::string previousCheckpoint;
    std::uint64_t progressMs = 0;
    std::uint64_t lostMs = 0;
    std::uint32_t evictions = 0;
    std::uint32_t failures = 0;
    std::string outcome;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(phase, epoch, worker, workerIncarnation, checkpoint, previousCheckpoint, progressMs,
                lostMs, evictions, failures, outcome);
    }
};

// What a caller asked for when it submitted a job.
struct job_spec
{
    std::string route;
    std::string pool;
    std::string team;
    priority_class priority = priority_class::normal;
    task_size size;
    std::uint32_t taskCount = 1;
    std::uint32_t evictionBudget = 3;
    std::uint64_t runTimeMs = 1000;
    std::string payload;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(route, pool, team, priority, size, taskCount, evictionBudget, runTimeMs, payload);
    }
};

// The durable record of one job; its tasks stand apart under their ids.
struct job_record
{
    job_spec spec;
    std::string key;
    std::uint64_t submittedMs = 0;
    std::uint64_t endedMs = 0;
    std::uint32_t finishedTasks = 0;
    std::uint32_t failedTasks = 0;
    std::uint32_t cancelledTasks = 0;
    bool cancelled = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(spec, key, submittedMs, endedMs, finishedTasks, failedTasks, cancelledTasks,
                cancelled);
    }
};

// An answer kept for callers that ask again with the same key.
struct stored_response
{
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(status, contentType, body);
    }
};

// The durable claim of one keyed request; `attempt` names the one entry attempt that may run it.
struct claim_record
{
    std::string fingerprint;
    std::string attempt;
    std::string worker;
    std::string workerIncarnation;
    std::uint64_t claimedMs = 0;
    bool completed = false;
    stored_response answer;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(fingerprint, attempt, worker, workerIncarnation, claimedMs, completed, answer);
    }
};

} // namespace mango
