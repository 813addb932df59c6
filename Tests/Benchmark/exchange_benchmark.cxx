#include <benchmark/benchmark.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

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

asio::awaitable<void> exchangeOnce(mango::http_client &client, const mango::http_request &request,
                                   bool &over)
{
    const auto response = co_await client.exchange(request, std::chrono::seconds(1));
    over = !mango::failed(response);
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
        bool over = false;
        asio::co_spawn(context, exchangeOnce(*client, request, over), asio::detached);
        while (!over) {
            context.run_one();
        }
    }
}

} // namespace

BENCHMARK(exchangeMessages)->Iterations(20'000);

BENCHMARK_MAIN();
