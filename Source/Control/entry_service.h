#pragma once

#include "Control/leader_state.h"

namespace mango {

// Processes an entry's report and returns its new lease and the changes to its view of the cluster.
// Returns an empty optional if the leadership has ended in the meantime.
std::optional<entry_view> processEntryReport(leader_state &leader, const entry_report &report);

// Updates the leader's record of a worker from its announcement, and starts the coroutine that
// polls the worker if it does not run yet.
void processAnnouncement(const leader_handle &leader, const worker_announcement &announcement);

// Ends entry sessions whose lease has expired, divides each worker's credits among the remaining
// sessions again, and raises their grants where credits are free. Called periodically.
void balanceCredits(leader_state &leader);

// The number of requests that a worker can have in progress in addition to its batch tasks; 0 if it
// takes no new work.
std::uint32_t requestCapacity(const leader_state &leader, const worker_state &worker);

// The resources that one request needs on a worker: for each resource, the maximum over the pools
// that include the worker.
task_size largestRequestSize(const leader_state &leader, const std::string &worker);

} // namespace mango
