#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "State/tables.h"

namespace mango {

// Identifies one task by its job and its index within that job, counted from 0.
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

// Formats an id as JOB/NUMBER, for example "17/3".
std::string toText(const task_id &id);

// Parses text in the format of toText(). Returns an id with job 0, which no job has, if the text is
// malformed.
task_id parseTaskId(const std::string &text);

// The configuration tables that operators maintain.
enum class table_kind : std::uint8_t { routes, pools };

// The committed version of a configuration table, stored as the text that the operator sent.
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

// Whether operators have put a failure domain in or out of service. A failure domain without a
// record is in service.
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

// The phase of a task. The last three are final.
enum class task_phase : std::uint8_t { pending, placed, finished, failed, cancelled };

// The replicated record of one task.
struct task_record
{
    task_phase phase = task_phase::pending;
    // Number of the latest placement. Reports that carry another epoch are ignored.
    std::uint64_t epoch = 0;
    // Empty while the task is pending.
    std::string worker;
    std::string workerIncarnation;
    // The newest checkpoint, and the one before it in case the newest turns out to be missing.
    std::string checkpoint;
    std::string previousCheckpoint;
    // Run time that the newest checkpoint covers, or the whole run time once the task has finished.
    std::uint64_t progressMs = 0;
    // Run time not saved by a checkpoint, summed over all evictions and lost runs.
    std::uint64_t lostMs = 0;
    std::uint32_t evictions = 0;
    std::uint32_t failures = 0;
    // Restarts of its workers under its runs, less what long runs have made up for.
    std::uint32_t workerRestarts = 0;
    // Run time that was covered when its worker last restarted.
    std::uint64_t resumedFromMs = 0;
    std::string outcome;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(phase, epoch, worker, workerIncarnation, checkpoint, previousCheckpoint, progressMs,
                lostMs, evictions, failures, workerRestarts, resumedFromMs, outcome);
    }
};

// The parameters of a job, as submitted by the caller or defaulted from the route.
struct job_spec
{
    std::string route;
    std::string pool;
    std::string team;
    priority_class priority = priority_class::normal;
    task_size size;
    std::uint32_t taskCount = 1;
    // Maximum number of evictions per task.
    std::uint32_t evictionBudget = 3;
    // Run time of one task as stated by the caller, passed on to the worker.
    std::uint64_t runTimeMs = 1000;
    std::string payload;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(route, pool, team, priority, size, taskCount, evictionBudget, runTimeMs, payload);
    }
};

// The replicated record of one job. Its tasks are stored separately, by their ids.
struct job_record
{
    job_spec spec;
    // The caller's idempotency key, unique within the team; empty if none was sent.
    std::string key;
    // Wall-clock times in milliseconds since 1970; endedMs is 0 until every task has ended.
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

// An HTTP response kept for callers that repeat a request with the same idempotency key.
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

// The replicated claim on one idempotency key. Only the attempt named here may execute the request.
struct claim_record
{
    // Identifies the content of the request, to detect a key that is reused for another one.
    std::string fingerprint;
    std::string attempt;
    std::string worker;
    std::string workerIncarnation;
    // Wall-clock time in milliseconds since 1970.
    std::uint64_t claimedMs = 0;
    bool completed = false;
    stored_response response;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(fingerprint, attempt, worker, workerIncarnation, claimedMs, completed, response);
    }
};

} // namespace mango
