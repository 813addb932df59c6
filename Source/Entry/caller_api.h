#pragma once

#include "Entry/control_client.h"
#include "Entry/dispatch.h"

namespace mango {

// Serves one caller's request: matches its route, and answers it, makes it a job or refuses it.
// Every answer carries Mango-Outcome: answered, not-run or unknown.
boost::asio::awaitable<http_answer> serveCaller(entry_state &entry, control_client &control,
                                                http_request request);

// Serves the address where workers announce themselves and metrics are read.
boost::asio::awaitable<http_answer> serveWorkerRequest(entry_state &entry, http_request request);

} // namespace mango
