#pragma once

#include "Control/leader_state.h"
#include "Http/http_message.h"

namespace mango {

// Polls one worker until the leadership ends: renews the lease of its tasks, sends requests and the
// list of entry sessions, and processes the state of its tasks.
boost::asio::awaitable<void> runWorkerAgent(leader_handle leader, std::string name);

// Returns the requests that bring the tasks of a worker to the state that the leader wants.
// Requests that clean up runs which are not current are returned once.
std::vector<run_request> dueRequests(leader_state &leader, worker_state &worker);

// Processes a worker's reply to a poll.
void processReply(leader_state &leader, worker_state &worker, const agent_reply &reply);

// Handles the response to a poll of the incarnation, and then reports the tasks as lost whose lease
// has expired. Returns false when the response holds no reply of this incarnation.
bool handlePollResponse(leader_state &leader, worker_state &worker, const std::string &incarnation,
                        const result<http_response, http_failure> &response);

// Reports the tasks of a worker as lost when their lease has expired.
void reportLostTasks(leader_state &leader, worker_state &worker);

} // namespace mango
