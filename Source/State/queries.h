#pragma once

#include <optional>

#include "State/cluster_state.h"

namespace mango {

// Returns true unless operators have put the failure domain out of service.
bool domainInService(const cluster_state &state, const std::string &domain);

// Returns the task with that id, or null.
const task_record *findTask(const cluster_state &state, const task_id &id);

// Returns the job with that id, or null.
const job_record *findJob(const cluster_state &state, std::uint64_t job);

// Returns the job that was submitted with that key; nothing when there is none.
std::optional<std::uint64_t> findJobByKey(const cluster_state &state, const std::string &key);

// Returns the number of tasks of a job that are pending or placed.
std::uint32_t unfinishedTaskCount(const job_record &job);

// Returns "running", "cancelling", "finished", "failed" or "cancelled".
std::string jobPhase(const job_record &job);

} // namespace mango
