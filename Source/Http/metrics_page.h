#pragma once

#include "Http/http_server.h"

namespace mango {

// Creates a server for the metrics registry of the process: GET /metrics returns the metrics as
// text, anything else gets status 404. It shares the budget of other servers if one is given.
std::unique_ptr<http_server> makeMetricsServer(boost::asio::any_io_executor executor,
                                               clock_source &clock,
                                               metrics_registry &metricsRegistry,
                                               const host_address &listen,
                                               std::shared_ptr<connection_budget> budget = {});

// Starts the metrics server unless the port is 0. A failure, such as a port in use, is only logged,
// since the process can work without its metrics.
void startMetricsServer(http_server &server, const host_address &listen);

} // namespace mango
