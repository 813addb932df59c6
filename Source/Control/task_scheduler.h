#pragma once

#include "Control/leader_state.h"

namespace mango {

// Runs scheduling rounds until the leadership ends: balances request slots between entries,
// evacuates failure domains out of service, mitigates interference with services, and places tasks,
// with preemption for urgent ones.
boost::asio::awaitable<void> runScheduler(leader_handle leader);

// Commits the task reports of workers in batches until the leadership ends.
boost::asio::awaitable<void> runReporter(leader_handle leader);

// Removes records past their retention time from the replicated state, periodically until the
// leadership ends.
boost::asio::awaitable<void> runExpiry(leader_handle leader);

// Returns why a job could never run, or an empty string. For the check before a job is accepted.
std::string whyJobNeverRuns(const leader_state &leader, const job_spec &spec);

// Plans the placements of one round. The planned tasks count as tentative on their workers, and
// against the quotas of their teams, until the caller has committed or abandoned the placements.
std::vector<task_placement> planPlacements(leader_state &leader);

// Updates the placement indexes for the workers marked as stale, or for all workers after a
// configuration change.
void refreshPlacementIndexes(leader_state &leader);

} // namespace mango
