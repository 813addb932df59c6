#pragma once

#include "Entry/control_client.h"
#include "Entry/dispatch.h"

namespace mango {

// Serves one request of a caller: finds its route, then runs it on a worker, submits it as a job or
// refuses it. Also serves the health checks. Every response except those to health checks has a
// Mango-Outcome header: answered, not-run or unknown.
boost::asio::awaitable<http_response> serveCaller(entry_state &entry, control_client &control,
                                                  http_request request);

// Serves one request at the address for workers: a worker's announcement or a read of the metrics.
boost::asio::awaitable<http_response> serveWorkerRequest(entry_state &entry, http_request request);

} // namespace mango
