#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "Common/clock_source.h"
#include "Jobs/job_graph.h"

namespace mango {

// What the open jobs of a replica may hold together.
struct open_job_limits
{
    std::uint64_t bytes = 64ULL << 20U;
};

// Returns the limit for a process on a machine with that memory in bytes: a quarter of it.
open_job_limits limitOpenJobs(std::uint64_t memoryBytes);

// What the open jobs of a replica hold, counted as for the process that leads, so that each replica
// can take over what the leader has accepted. Not replicated, but computed from replicated state.
struct open_job_account
{
    struct release
    {
        steady_time at{};
        std::uint64_t bytes = 0;
    };

    open_job_limits limits;
    std::map<std::uint64_t, std::uint64_t> bytesByJob;
    std::uint64_t heldBytes = 0;
    // Of submissions that are being committed.
    std::uint64_t proposedBytes = 0;
    // What jobs that are over have held, oldest first.
    std::deque<release> releases;
};

// Removes all jobs, as before a snapshot is read. The limits stay, and submissions that are being
// committed still count.
void clearOpenJobs(open_job_account &account);

// Records what a job holds that has become known, or whose open occurrences have changed.
void recordOpenJob(open_job_account &account, std::uint64_t job, std::uint64_t bytes);

// Removes a job that is over; no effect when it is not in the account.
void removeOpenJob(open_job_account &account, std::uint64_t job, steady_time now);

enum class submission_verdict : std::uint8_t {
    admitted,
    // The job alone exceeds the limit.
    tooLarge,
    // The open jobs leave no room for it.
    noRoom
};

// Decides whether a job that holds this many bytes may be accepted.
submission_verdict judgeSubmission(const open_job_account &account, std::uint64_t bytes);

// Returns how many bytes further jobs and occurrences may hold.
std::uint64_t freeBytes(const open_job_account &account);

// Returns when a job that found no room should be submitted again: when there is room for it if
// open jobs go on to end as fast as lately, between 1 and 30 s from now.
std::chrono::milliseconds timeUntilRoom(const open_job_account &account, std::uint64_t bytes,
                                        steady_time now);

// The room of a submission that is being committed, for as long as the object exists.
class proposed_job_room
{
public:
    proposed_job_room(open_job_account &account, std::uint64_t bytes)
        : m_account(account)
        , m_bytes(bytes)
    {
        m_account.proposedBytes += m_bytes;
    }
    ~proposed_job_room()
    {
        m_account.proposedBytes -= m_bytes;
    }
    proposed_job_room(const proposed_job_room &) = delete;
    proposed_job_room &operator=(const proposed_job_room &) = delete;

private:
    open_job_account &m_account;
    std::uint64_t m_bytes;
};

} // namespace mango
