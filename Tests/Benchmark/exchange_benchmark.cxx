#include <benchmark/benchmark.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include "Http/http_client.h"
#include "Http/http_server.h"

namespace {

namespace asio = boost::asio;

constexpr std::uint16_t port = 18'765;

asio::awaitable<mango::http_response> answer(mango::http_request /*request*/)
{
    co_return mango::http_response{
            200, {{"Content-Type", "application/json"}}, std::string(300, 'x')};
}

asio::awaitable<bool> exchangeOnce(mango::http_client &client, const mango::http_request &request)
{
    const auto response = co_await client.exchange(request, std::chrono::seconds(1));
    co_return !mango::failed(response);
}

// Measures one exchange of the size of a lease renewal on an open connection, both of its ends.
void exchangeMessages(benchmark::State &state)
{
    asio::io_context context(1);
    mango::system_clock_source clock(context.get_executor());
    mango::metrics_registry metrics;
    mango::http_server_options serverOptions;
    serverOptions.listen = {"127.0.0.1", port};
    serverOptions.label = "benchmark";
    const auto server =
            mango::makeHttpServer(context.get_executor(), clock, metrics, serverOptions, answer);
    server->start();
    mango::http_client_options options;
    options.server = serverOptions.listen;
    const auto client = mango::makeHttpClient(context.get_executor(), options);
    const mango::http_request request{
            "POST",
            "/hold",
            {{"Content-Type", "application/json"}, {"Target-Instance", "i-cb50476bbc"}},
            std::string(80, 'y'),
            {}};
    for (auto one : state) {
        auto exchanged = asio::co_spawn(context, exchangeOnce(*client, request), asio::use_future);
        while (exchanged.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
            context.run_one();
        }
        if (!exchanged.get()) {
            state.SkipWithError("the exchange failed");
            break;
        }
    }
}

} // namespace

BENCHMARK(exchangeMessages)->Iterations(20'000);

BENCHMARK_MAIN();
