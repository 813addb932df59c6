#pragma once

#include <optional>

#include "State/cluster_state.h"

namespace mango {

// True when operators have the failure domain in service.
bool domainInService(const cluster_state &state, const std::string &domain);

// Finds a task, or null.
const task_record *findTask(const cluster_state &state, const task_id &id);

// Finds a job, or null.
const job_record *findJob(const cluster_state &state, std::uint64_t job);

// The number of tasks of a job that have not ended.
std::uint32_t unfinishedTaskCount(const job_record &job);

// "running", "finished", "failed" or "cancelled".
std::string jobPhase(const job_record &job);

} // namespace mango
