#pragma once

#include "Http/http_server.h"

namespace mango {

// Serves the counters and histograms of the process at /metrics, and nothing else.
std::unique_ptr<http_server> makeMetricsServer(boost::asio::any_io_executor executor,
                                               clock_source &clock, counters &metricsRegistry,
                                               const host_address &listen);

// Starts it when it has an address. A process works on without: a port that is taken is told in the
// log only.
void startMetricsServer(http_server &server, const host_address &listen);

} // namespace mango
