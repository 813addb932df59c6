#pragma once

#include "Entry/control_client.h"
#include "Entry/dispatch.h"

namespace mango {

// Serves a request that must run at most once and has an Idempotency-Key. Claims the key for one
// attempt on one worker before dispatching the request, and stores the response before sending it
// to the caller, so that a resend to any entry gets the same response.
boost::asio::awaitable<http_response> serveKeyed(entry_state &entry, control_client &control,
                                                 const route row, dispatched_request request);

} // namespace mango
