#pragma once

#include "Control/leader_state.h"

namespace mango {

// Calls one worker regularly while the leadership lasts: renews the lease of its tasks, gives it
// orders and the list of entry sessions, and takes in what became of its tasks.
boost::asio::awaitable<void> runWorkerAgent(leader_handle leader, std::string name);

// The orders that bring a worker in line with what the leader wants of it now.
std::vector<run_request> dueOrders(leader_state &leader, worker_state &worker);

// Takes in a worker's answer to a call.
void takeReply(leader_state &leader, worker_state &worker, const agent_reply &reply);

// Reports as lost the tasks of a worker whose lease has run out without a word from it.
void reportLostTasks(leader_state &leader, worker_state &worker);

} // namespace mango
