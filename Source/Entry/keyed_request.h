#pragma once

#include "Entry/control_client.h"
#include "Entry/dispatch.h"

namespace mango {

// Serves a request that must run at most once and carries an Idempotency-Key: claims the key for
// one attempt on one worker before it dispatches, and stores the answer before it gives it, so
// that a resend at any entry gets the same answer.
boost::asio::awaitable<http_answer> serveKeyed(entry_state &entry, control_client &control,
                                               const route row, dispatched_request request);

} // namespace mango
