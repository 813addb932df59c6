#include "State/queries.h"

namespace mango {

bool domainInService(const cluster_state &state, const std::string &domain)
{
    const auto found = state.domains.find(domain);
    return found == state.domains.end() || found->second.inService;
}

const task_record *findTask(const cluster_state &state, const task_id &id)
{
    const auto found = state.tasks.find(id);
    return found == state.tasks.end() ? nullptr : &found->second;
}

const job_record *findJob(const cluster_state &state, std::uint64_t job)
{
    const auto found = state.jobs.find(job);
    return found == state.jobs.end() ? nullptr : &found->second;
}

std::optional<std::uint64_t> findJobByKey(const cluster_state &state, const std::string &key)
{
    const auto found = state.jobsByKey.find(key);
    return found == state.jobsByKey.end() ? std::nullopt : std::optional(found->second);
}

std::uint32_t unfinishedTaskCount(const job_record &job)
{
    return job.spec.taskCount - job.finishedTasks - job.failedTasks - job.cancelledTasks;
}

std::string jobPhase(const job_record &job)
{
    if (unfinishedTaskCount(job) > 0) {
        return job.cancelled ? "cancelling" : "running";
    }
    if (job.cancelledTasks > 0) {
        return "cancelled";
    }
    return job.failedTasks > 0 ? "failed" : "finished";
}

} // namespace mango
