#pragma once

#include "Control/leader_state.h"

namespace mango {

// Places tasks, makes room for urgent ones, evacuates domains that were taken out and relieves
// slowed services, round after round while the leadership lasts.
boost::asio::awaitable<void> runScheduler(leader_handle leader);

// Has the reports of workers agreed on, in batches, while the leadership lasts.
boost::asio::awaitable<void> runReporter(leader_handle leader);

// Drops records that are past their retention, now and then, while the leadership lasts.
boost::asio::awaitable<void> runExpiry(leader_handle leader);

// Why a job can never run, or an empty text; checked before the job is taken.
std::string whyJobNeverRuns(const leader_state &leader, const job_spec &spec);

// The placements of one round, by the rooms as they are now.
std::vector<task_placement> planPlacements(leader_state &leader);

// Brings the rooms of the workers that changed up to date.
void refreshRooms(leader_state &leader);

} // namespace mango
