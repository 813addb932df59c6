#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "State/records.h"

namespace mango {

// Replaces a table when its version is still the expected one.
struct put_table_command
{
    table_kind table = table_kind::routes;
    std::uint64_t expectedVersion = 0;
    std::string text;
    std::string changeId;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(table, expectedVersion, text, changeId);
    }
};

// Takes a failure domain out or brings it in, when its version is still the expected one.
struct set_domain_command
{
    std::string domain;
    bool inService = true;
    std::uint64_t expectedVersion = 0;
    std::string changeId;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(domain, inService, expectedVersion, changeId);
    }
};

// Adds a job; the same team and key again gives the first job's id.
struct submit_job_command
{
    job_spec spec;
    std::string key;
    std::uint64_t wallTimeMs = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(spec, key, wallTimeMs);
    }
};

// Cancels every task of a job that has not ended.
struct cancel_job_command
{
    std::uint64_t job = 0;
    std::uint64_t wallTimeMs = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(job, wallTimeMs);
    }
};

// Gives one pending task to a worker under the next epoch.
struct task_placement
{
    task_id task;
    std::uint64_t epoch = 0;
    std::string worker;
    std::string workerIncarnation;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(task, epoch, worker, workerIncarnation);
    }
};

struct place_tasks_command
{
    std::vector<task_placement> placements;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(placements);
    }
};

// What became of a placed task: evicted means stopped on our order, lost means that the worker's
// lease ran out.
enum class task_change : std::uint8_t {
    checkpointed,
    evicted,
    finished,
    failed,
    lost,
    neverStarted
};

struct task_report
{
    task_id task;
    std::uint64_t epoch = 0;
    task_change change = task_change::checkpointed;
    std::string checkpoint;
    std::uint64_t progressMs = 0;
    std::uint64_t lostMs = 0;
    std::string outcome;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(task, epoch, change, checkpoint, progressMs, lostMs, outcome);
    }
};

struct report_tasks_command
{
    std::vector<task_report> reports;
    std::uint64_t wallTimeMs = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(reports, wallTimeMs);
    }
};

// Claims a keyed request for one attempt on one worker, before it is dispatched. The same attempt
// may claim again, to move to another worker after the first certainly did not run it.
struct claim_command
{
    std::string key;
    std::string fingerprint;
    std::string attempt;
    std::string worker;
    std::string workerIncarnation;
    std::uint64_t wallTimeMs = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(key, fingerprint, attempt, worker, workerIncarnation, wallTimeMs);
    }
};

// Stores the answer of the claimed attempt.
struct complete_claim_command
{
    std::string key;
    std::string attempt;
    stored_response answer;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(key, attempt, answer);
    }
};

// Gives a claim back whose attempt certainly did not run.
struct release_claim_command
{
    std::string key;
    std::string attempt;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(key, attempt);
    }
};

// Drops claims, ended jobs and change ids that are past their retention.
struct expire_command
{
    std::uint64_t wallTimeMs = 0;
    std::uint64_t claimRetentionMs = 0;
    std::uint64_t jobRetentionMs = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(wallTimeMs, claimRetentionMs, jobRetentionMs);
    }
};

using command =
        std::variant<put_table_command, set_domain_command, submit_job_command, cancel_job_command,
                     place_tasks_command, report_tasks_command, claim_command,
                     complete_claim_command, release_claim_command, expire_command>;

// A change took effect; `version` is the new version, or the id of the job.
struct change_accepted
{
    std::uint64_t version = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(version);
    }
};

enum class command_refusal_reason : std::uint8_t {
    versionConflict,
    invalidTable,
    unknownJob,
    invalidJob,
    keyReused,
    noLongerClaimed
};

// A change was refused and changed nothing.
struct change_refused
{
    command_refusal_reason reason = command_refusal_reason::versionConflict;
    std::uint64_t currentVersion = 0;
    std::string detail;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(reason, currentVersion, detail);
    }
};

// The request was answered before; the stored answer is final.
struct already_answered
{
    stored_response answer;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(answer);
    }
};

// Another attempt holds the claim; the worker it names can tell what became of it.
struct claim_conflict
{
    std::string attempt;
    std::string worker;
    std::string workerIncarnation;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(attempt, worker, workerIncarnation);
    }
};

using command_result =
        std::variant<change_accepted, change_refused, already_answered, claim_conflict>;

} // namespace mango
