#pragma once

#include "Control/leader_state.h"
#include "Http/http_message.h"

namespace mango {

// Handles a request to the administration API of a control process. `leader` is null if another
// process is the leader; a request other than for the metrics then fails with status 503, and with
// the leader's address in a header if it is known.
boost::asio::awaitable<http_response> handleAdminRequest(control_context &context,
                                                         leader_handle leader, std::string token,
                                                         http_request request);

// Returns the state of a job as JSON, for callers and operators; empty if the job is not known.
std::string describeJob(const cluster_state &state, std::uint64_t job);

} // namespace mango
