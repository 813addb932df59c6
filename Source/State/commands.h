#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "State/records.h"
#include "State/route_history.h"

namespace mango {

// Replaces a configuration table, provided that its current version is the expected one.
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

// Puts a failure domain in or out of service, provided that the current version of its record is
// the expected one; the version of a domain without a record is 0.
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

// Adds a job. If the team has already submitted a job with the same non-empty key, the result is
// the id of that job. wallTimeMs, here and below, is the proposer's wall-clock time in milliseconds
// since 1970; it is part of the command so that every replica computes the same state.
struct submit_job_command
{
    job_spec spec;
    std::string key;
    std::uint64_t wallTimeMs = 0;
    // The request of the caller. The job is refused when the route has been removed since, as a
    // resend may have been told that the request was not run.
    std::optional<routed_request> request;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(spec, key, wallTimeMs, request);
    }
};

// Cancels the unfinished tasks of a job: pending ones at once, placed ones when their run has
// ended.
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

// Assigns one pending task to a worker. Has no effect unless `epoch` is the task's epoch plus 1.
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

// Applies several placements; the result holds the number that took effect.
struct place_tasks_command
{
    std::vector<task_placement> placements;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(placements);
    }
};

// What happened to a placed task.
enum class task_change : std::uint8_t {
    checkpointed,
    // Stopped on request, for an eviction or a cancellation.
    evicted,
    finished,
    failed,
    // The lease of its worker expired.
    lost,
    // Its worker does not know the run.
    neverStarted,
    // Its worker's process ended while it had the run, and another one has taken its place.
    workerRestarted
};

// A change of one placed task. Reports for another epoch than the task's current one are ignored.
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

// Applies the reports in order.
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

// Claims an idempotency key for one attempt on one worker, before the request is dispatched. The
// same attempt may claim the key again, to switch to another worker once it is certain that the
// first one did not execute the request.
struct claim_command
{
    std::string key;
    std::string fingerprint;
    std::string attempt;
    std::string worker;
    std::string workerIncarnation;
    std::uint64_t wallTimeMs = 0;
    // The request of the caller. A key without a claim is not claimed when the route has been
    // removed since, as a resend may have been told that the request was not run.
    std::optional<routed_request> request;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(key, fingerprint, attempt, worker, workerIncarnation, wallTimeMs, request);
    }
};

// Stores the response of the attempt that holds the claim.
struct complete_claim_command
{
    std::string key;
    std::string attempt;
    stored_response response;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(key, attempt, response);
    }
};

// Releases a claim whose attempt certainly did not execute the request.
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

// Removes claims and ended jobs that are older than their retention, and the oldest claims if there
// are too many.
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

// Any change of the replicated state.
using command =
        std::variant<put_table_command, set_domain_command, submit_job_command, cancel_job_command,
                     place_tasks_command, report_tasks_command, claim_command,
                     complete_claim_command, release_claim_command, expire_command>;

// The change took effect. `version` is the new version of a table or failure domain, the id of a
// job, or the number of entries that were applied.
struct change_accepted
{
    std::uint64_t version = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(version);
    }
};

// Why a command was refused.
enum class command_refusal_reason : std::uint8_t {
    versionConflict,
    invalidTable,
    unknownJob,
    invalidJob,
    // The change id or idempotency key belongs to another change or request.
    keyReused,
    // The attempt does not hold the claim, or its response is already stored.
    noLongerClaimed,
    // The route of the request has been removed since an entry matched it.
    routeRemoved
};

// The command was refused and had no effect.
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

// The request has already been answered; the stored response is final.
struct already_answered
{
    stored_response response;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(response);
    }
};

// Another attempt holds the claim. The worker named here knows the outcome of that attempt.
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

// The result of applying a command.
using command_result =
        std::variant<change_accepted, change_refused, already_answered, claim_conflict>;

} // namespace mango
