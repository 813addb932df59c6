#include "Fleet/open_job_account.h"

#include <algorithm>

namespace mango {

namespace {

// The machine's memory is divided by this for the open jobs.
constexpr std::uint64_t memoryDivisor = 4;
// Jobs that ended within this time tell how fast room becomes free.
constexpr auto releaseMemory = std::chrono::seconds(10);
constexpr auto shortestWait = std::chrono::milliseconds(1000);
constexpr auto longestWait = std::chrono::milliseconds(30'000);

void forgetReleases(open_job_account &account, steady_time now)
{
    while (!account.releases.empty() && now - account.releases.front().at > releaseMemory) {
        account.releases.pop_front();
    }
}

} // namespace

open_job_limits limitOpenJobs(std::uint64_t memoryBytes)
{
    return {memoryBytes / memoryDivisor};
}

void clearOpenJobs(open_job_account &account)
{
    account.bytesByJob.clear();
    account.heldBytes = 0;
    account.releases.clear();
}

void recordOpenJob(open_job_account &account, std::uint64_t job, std::uint64_t bytes)
{
    std::uint64_t &recorded = account.bytesByJob[job];
    account.heldBytes += bytes - recorded;
    recorded = bytes;
}

void removeOpenJob(open_job_account &account, std::uint64_t job, steady_time now)
{
    const auto found = account.bytesByJob.find(job);
    if (found == account.bytesByJob.end()) {
        return;
    }
    account.heldBytes -= found->second;
    forgetReleases(account, now);
    account.releases.push_back({now, found->second});
    account.bytesByJob.erase(found);
}

submission_verdict judgeSubmission(const open_job_account &account, std::uint64_t bytes)
{
    if (bytes > account.limits.bytes) {
        return submission_verdict::tooLarge;
    }
    const bool fits = bytes <= freeBytes(account);
    return fits ? submission_verdict::admitted : submission_verdict::noRoom;
}

std::uint64_t freeBytes(const open_job_account &account)
{
    const std::uint64_t taken = account.heldBytes + account.proposedBytes;
    return taken < account.limits.bytes ? account.limits.bytes - taken : 0;
}

std::chrono::milliseconds timeUntilRoom(const open_job_account &account, std::uint64_t bytes,
                                        steady_time now)
{
    const std::uint64_t needed = account.heldBytes + account.proposedBytes + bytes;
    const std::uint64_t missing = needed > account.limits.bytes ? needed - account.limits.bytes : 0;
    std::uint64_t released = 0;
    for (const open_job_account::release &one : account.releases) {
        released += now - one.at <= releaseMemory ? one.bytes : 0;
    }
    if (released == 0) {
        return longestWait;
    }
    const double share = static_cast<double>(missing) / static_cast<double>(released);
    const auto wait = std::chrono::duration<double>(releaseMemory) * share;
    return std::clamp(std::chrono::ceil<std::chrono::milliseconds>(wait), shortestWait,
                      longestWait);
}

} // namespace mango
