#include "Http/metrics_page.h"

#include "Common/event_log.h"
#include "Common/log.h"

namespace mango {

namespace {

constexpr std::size_t maximumMetricsConnections = 64;

boost::asio::awaitable<http_response> serveMetrics(metrics_registry &metricsRegistry,
                                                   http_request request)
{
    if (request.method != "GET" || pathOf(request.target) != "/metrics") {
        co_return http_response{404, {}, ""};
    }
    metricsRegistry.at("mango_log_lines_left_out_total") = suppressedLogLines();
    co_return http_response{
            200, {{"Content-Type", "text/plain; version=0.0.4"}}, metricsRegistry.text()};
}

} // namespace

std::unique_ptr<http_server> makeMetricsServer(boost::asio::any_io_executor executor,
                                               clock_source &clock,
                                               metrics_registry &metricsRegistry,
                                               const host_address &listen,
                                               std::shared_ptr<connection_budget> budget)
{
    http_server_options options;
    options.budget = std::move(budget);
    options.maximumBodyBytes = 0;
    options.maximumConnections = maximumMetricsConnections;
    options.listen = listen;
    options.label = "metrics";
    return makeHttpServer(std::move(executor), clock, metricsRegistry, options,
                          [&metricsRegistry](http_request request) {
                              return serveMetrics(metricsRegistry, std::move(request));
                          });
}

void startMetricsServer(http_server &server, const host_address &listen)
{
    if (listen.port == 0) {
        return;
    }
    const auto started = server.start();
    if (failed(started)) {
        logEvent(log_part::wire, "metrics-not-served",
                 {{"address", toText(listen)}, {"reason", describe(failureOf(started))}});
    }
}

} // namespace mango
