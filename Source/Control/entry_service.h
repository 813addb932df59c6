#pragma once

#include "Control/leader_state.h"

namespace mango {

// Takes in an entry's report and gives it its lease and what changed in its view. Fails (with an
// empty optional) when the leadership has ended meanwhile.
std::optional<entry_view> answerEntry(leader_state &leader, const entry_report &report);

// Takes in what a worker says of itself; starts its agent through `startAgent` when it is new.
void takeAnnouncement(const leader_handle &leader, const worker_announcement &announcement);

// Ends sessions whose lease has run out, divides the credits of every worker anew and raises
// grants; called regularly.
void balanceCredits(leader_state &leader);

// How many requests a worker may have in progress beside its batch tasks.
std::uint32_t requestCapacity(const leader_state &leader, const worker_state &worker);

// What one request takes of a worker, the largest over the pools that hold it.
task_size largestRequestSize(const leader_state &leader, const std::string &worker);

} // namespace mango
