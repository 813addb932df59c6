#pragma once

#include "Control/leader_state.h"
#include "Http/http_message.h"

namespace mango {

// Serves the administration API of one control process. `leader` is null where another process
// leads; such a request is refused as not run, with the leader's address when it is known.
boost::asio::awaitable<http_answer> serveAdmin(control_context &context, leader_handle leader,
                                               std::string token, http_request request);

// The state of a job as JSON, for callers and operators; empty when the job is not known.
std::string describeJob(const cluster_state &state, std::uint64_t job);

} // namespace mango
