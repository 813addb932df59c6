#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "Http/http_server.h"
#include "http_worker_client.h"

namespace mango::test {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;

// A worker over HTTP on loopback that answers each renewal after a while. Its clock shows how many
// renewals that wait for an end it has answered.
struct slow_worker
{
    explicit slow_worker(std::uint16_t port, std::size_t maximumConnections = 100)
        : client(context.get_executor(), clock, metricsRegistry, milliseconds(400),
                 maximumConnections)
    {
        http_server_options options;
        options.listen = {"127.0.0.1", port};
        options.label = "worker";
        server = makeHttpServer(context.get_executor(), clock, metricsRegistry, options,
                                [this](http_request request) {
                                    return answer(std::move(request));
                                });
        EXPECT_FALSE(failed(server->start()));
        target.incarnation = {"i-1", milliseconds(1)};
        target.address = options.listen;
    }

    asio::awaitable<http_response> answer(http_request request)
    {
        co_await clock.sleepFor(milliseconds(60));
        http_response response;
        response.status = 200;
        answered += request.body.find("wait_ms") == std::string::npos ? 0 : 1;
        response.body = "{\"clock_ms\":" + std::to_string(answered)
                        + ",\"born\":1,\"running\":[],\"ended_runs\":[]}";
        co_return response;
    }

    asio::awaitable<void> renew()
    {
        renew_lease_request request;
        request.wait = milliseconds(100);
        const auto response = co_await client.renewLease(target, request);
        const auto *report = std::get_if<worker_report>(&response);
        clocks.push_back(report == nullptr ? worker_time(-1) : report->clock);
    }

    void renewAtOnce(int count)
    {
        for (int number = 0; number < count; ++number) {
            asio::co_spawn(context, renew(), asio::detached);
        }
        context.run_for(milliseconds(300));
        std::sort(clocks.begin(), clocks.end());
    }

    asio::io_context context{1};
    system_clock_source clock{context.get_executor()};
    metrics_registry metricsRegistry;
    platform::http_worker_client client;
    std::unique_ptr<http_server> server;
    worker_call_target target;
    int answered = 0;
    std::vector<worker_time> clocks;
};

// A worker over HTTP on loopback that restarts under its id at its address, or ends.
struct restarting_worker
{
    explicit restarting_worker(std::uint16_t port)
        : acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), port))
    {
        target.incarnation = {"i-1", milliseconds(born)};
        target.address = {"127.0.0.1", port};
        asio::co_spawn(context, acceptConnections(), asio::detached);
    }

    void restart()
    {
        for (const auto &socket : sockets) {
            socket->close();
        }
        sockets.clear();
        ++born;
    }

    void leave()
    {
        acceptor.close();
        for (const auto &socket : sockets) {
            socket->close();
        }
        sockets.clear();
    }

    asio::awaitable<void> acceptConnections()
    {
        boost::system::error_code error;
        while (true) {
            auto socket = std::make_shared<tcp::socket>(co_await acceptor.async_accept(
                    asio::redirect_error(asio::use_awaitable, error)));
            if (error) {
                co_return;
            }
            sockets.push_back(std::move(socket));
            asio::co_spawn(context, serve(sockets.back()), asio::detached);
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        boost::beast::flat_buffer buffer;
        boost::system::error_code error;
        while (!error) {
            http::request<http::string_body> request;
            co_await http::async_read(*socket, buffer, request,
                                      asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            const bool waits = request.body().find("wait_ms") != std::string::npos;
            carryOut(request);
            co_await clock.sleepFor(milliseconds(waits ? 100 : 1));
            http::response<http::string_body> response(http::status::ok, 11);
            response.body() = "{\"clock_ms\":" + std::to_string(clockMs)
                              + ",\"born\":" + std::to_string(born)
                              + ",\"running\":[],\"ended_runs\":" + endedRuns + "}";
            response.keep_alive(!closesAfterResponse);
            response.prepare_payload();
            if (!socket->is_open()) {
                co_return;
            }
            co_await http::async_write(*socket, response,
                                       asio::redirect_error(asio::use_awaitable, error));
            if (closesAfterResponse) {
                socket->close();
                co_return;
            }
            if (leavesAfterResponse) {
                leave();
            }
        }
    }

    // Records requests with an effect.
    void carryOut(const http::request<http::string_body> &request)
    {
        const std::string path(request.target());
        const std::string &body = request.body();
        const bool reportsOnly = path == "/hold" && body.find("deadline_ms") == std::string::npos
                                 && body.find("\"ack_cursor\":0") != std::string::npos;
        if (!reportsOnly) {
            carriedOut.push_back(std::to_string(born) + path);
        }
    }

    asio::awaitable<void> startRun()
    {
        start_run_request request;
        const auto response = co_await client.start(target, request);
        results.push_back(response.result);
    }
    asio::awaitable<void> stopRun()
    {
        const run_key key;
        const auto response = co_await client.stop(target, key);
        results.push_back(response.result);
    }
    asio::awaitable<void> throttleRun()
    {
        const run_key key;
        const auto response = co_await client.throttle(target, key, 50);
        results.push_back(response.result);
    }
    asio::awaitable<void> renew(milliseconds wait)
    {
        renew_lease_request request;
        request.deadline = worker_time(9'000'000);
        request.acknowledgedEnds = 7;
        request.wait = wait;
        const auto response = co_await client.renewLease(target, request);
        const auto *report = std::get_if<worker_report>(&response);
        reportedBy.push_back(report == nullptr ? milliseconds(-1) : report->startTime);
        reportedEnds.push_back(report == nullptr ? 0 : report->ended.size());
    }

    void run(asio::awaitable<void> call, milliseconds span = milliseconds(200))
    {
        // A context without work, as after the worker has left, has to be restarted.
        context.restart();
        asio::co_spawn(context, std::move(call), asio::detached);
        context.run_for(span);
    }

    asio::io_context context{1};
    system_clock_source clock{context.get_executor()};
    metrics_registry metricsRegistry;
    platform::http_worker_client client{context.get_executor(), clock, metricsRegistry,
                                        milliseconds(400), 100};
    tcp::acceptor acceptor;
    std::vector<std::shared_ptr<tcp::socket>> sockets;
    worker_call_target target;
    int born = 1;
    int clockMs = 5;
    std::string endedRuns = "[]";
    bool closesAfterResponse = false;
    bool leavesAfterResponse = false;
    std::vector<std::string> carriedOut;
    std::vector<worker_call_result> results;
    std::vector<milliseconds> reportedBy;
    std::vector<std::size_t> reportedEnds;
};

constexpr auto oneRunDone = R"([[1,"00000000000000aa.0.0.0",1,"done",""]])";

} // namespace

// The session of an earlier leadership may still wait for a renewal when the next one begins. Both
// used one connection at the same time, which ended the process.
TEST(http_worker_client, renewsTwiceAtOnce)
{
    slow_worker worker(18'781);
    worker.renewAtOnce(2);
    EXPECT_EQ(worker.clocks, (std::vector<worker_time>{worker_time(1), worker_time(2)}));
    EXPECT_EQ(worker.metricsRegistry.at("mango_worker_connections"), 2U);
}

TEST(http_worker_client, opensNoConnectionBeyondItsLimit)
{
    slow_worker worker(18'782, 1);
    worker.renewAtOnce(2);
    EXPECT_EQ(worker.clocks, (std::vector<worker_time>{worker_time(-1), worker_time(1)}));
    EXPECT_EQ(worker.metricsRegistry.at("mango_worker_connections_refused_total"), 1U);
}

// Requests name only the id of a worker, so one that has restarted under it forgot ends that nobody
// had read and started tasks a second time.
TEST(http_worker_client, sendsARestartedWorkerNothingThatWasMeantForItsEarlierProcess)
{
    using call_result = worker_call_result;
    for (const bool connectedBefore : {false, true}) {
        restarting_worker worker(connectedBefore ? 18'784 : 18'785);
        if (connectedBefore) {
            worker.run(worker.startRun());
            worker.run(worker.renew(milliseconds(1)));
            EXPECT_EQ(worker.carriedOut, (std::vector<std::string>{"1/run-start", "1/hold"}));
            EXPECT_EQ(worker.results, std::vector<call_result>{call_result::done});
            worker.carriedOut.clear();
            worker.results.clear();
        }
        worker.restart();
        worker.run(worker.startRun());
        worker.run(worker.stopRun());
        worker.run(worker.throttleRun());
        worker.run(worker.renew(milliseconds(0)));
        worker.run(worker.renew(milliseconds(50)));
        EXPECT_EQ(worker.carriedOut, std::vector<std::string>{});
        EXPECT_EQ(worker.results, (std::vector<call_result>(3, call_result::neverSent)));
        EXPECT_EQ(worker.reportedBy.back(), milliseconds(2));
    }
}

// A worker that closes each connection after one response would never get a request.
TEST(http_worker_client, reachesAWorkerThatClosesEachConnection)
{
    restarting_worker worker(18'787);
    worker.closesAfterResponse = true;
    worker.run(worker.startRun());
    worker.run(worker.renew(milliseconds(50)));
    worker.run(worker.stopRun());
    EXPECT_EQ(worker.carriedOut, (std::vector<std::string>{"1/run-start", "1/hold", "1/run-stop"}));
    EXPECT_EQ(worker.results, std::vector<worker_call_result>(2, worker_call_result::done));
    EXPECT_EQ(worker.reportedBy.back(), milliseconds(1));
}

// A renewal is sent again when its connection ends; the next process must not get it.
TEST(http_worker_client, repeatsNoRenewalAtARestartedWorker)
{
    restarting_worker worker(18'786);
    worker.run(worker.renew(milliseconds(1)));
    worker.run(worker.renew(milliseconds(200)), milliseconds(50));
    worker.restart();
    worker.context.run_for(milliseconds(250));
    EXPECT_EQ(worker.carriedOut, (std::vector<std::string>{"1/hold", "1/hold"}));
    EXPECT_EQ(worker.reportedBy.back(), milliseconds(2));
}

// The end of a run was listed in the answer that proves the process, which was dropped when the
// worker left before it answered the request; its task was started again.
TEST(http_worker_client, readsWhatAWorkerListsBeforeItLeaves)
{
    for (const milliseconds wait : {milliseconds(0), milliseconds(50)}) {
        restarting_worker worker(wait.count() == 0 ? 18'788 : 18'789);
        worker.endedRuns = oneRunDone;
        worker.leavesAfterResponse = true;
        worker.run(worker.renew(wait));
        worker.run(worker.renew(wait));
        EXPECT_EQ(worker.reportedEnds, (std::vector<std::size_t>{1, 0}));
        EXPECT_EQ(worker.reportedBy, (std::vector{milliseconds(1), milliseconds(-1)}));
    }
}

// The same before an order, whose answer has no place for ends.
TEST(http_worker_client, readsWhatAWorkerListsBeforeAnOrderThatItDoesNotGet)
{
    restarting_worker worker(18'790);
    worker.endedRuns = oneRunDone;
    worker.leavesAfterResponse = true;
    worker.run(worker.stopRun());
    EXPECT_NE(worker.results.back(), worker_call_result::done);
    worker.run(worker.renew(milliseconds(0)));
    worker.run(worker.renew(milliseconds(0)));
    EXPECT_EQ(worker.reportedEnds, (std::vector<std::size_t>{1, 0}));
}

// A report from before the last renewal would list runs that have ended since.
TEST(http_worker_client, forgetsAReportOnceALaterOneIsRead)
{
    restarting_worker worker(18'791);
    worker.endedRuns = oneRunDone;
    worker.run(worker.startRun());
    worker.endedRuns = "[]";
    worker.clockMs = 6;
    worker.run(worker.renew(milliseconds(0)));
    worker.leave();
    worker.run(worker.renew(milliseconds(0)));
    EXPECT_EQ(worker.reportedEnds, (std::vector<std::size_t>{0, 0}));
    EXPECT_EQ(worker.reportedBy, (std::vector{milliseconds(1), milliseconds(-1)}));
}

// The worker would count as heard although it has been silent for longer.
TEST(http_worker_client, forgetsAReportThatIsOlderThanARenewalTakes)
{
    restarting_worker worker(18'792);
    worker.endedRuns = oneRunDone;
    worker.run(worker.startRun(), milliseconds(1000));
    worker.leave();
    worker.run(worker.renew(milliseconds(0)));
    EXPECT_EQ(worker.reportedEnds, std::vector<std::size_t>{0});
}

} // namespace mango::test
