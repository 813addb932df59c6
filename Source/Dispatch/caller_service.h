#pragma once

#include "Dispatch/dispatch_state.h"
#include "Wire/fleet_messages.h"

namespace mango {

// Handles a call of a caller, an operator or a worker on the leader. Answers `unavailable` when the
// leadership is not certain.
boost::asio::awaitable<fleet_response> serveFleetCall(dispatch_handle state, fleet_call call);

} // namespace mango
