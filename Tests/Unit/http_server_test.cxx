#include <gtest/gtest.h>

#include <thread>

#include <boost/asio.hpp>

#include "Http/http_server.h"

namespace mango::test {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr milliseconds headerTimeout{60};

// A server on loopback and blocking clients on the same thread.
struct small_server
{
    explicit small_server(std::uint16_t port, std::size_t maximumConnections = 10)
    {
        options.listen = {"127.0.0.1", port};
        options.label = "test";
        options.headerTimeout = headerTimeout;
        options.maximumConnections = maximumConnections;
        options.receiptMark = [this] {
            return mark;
        };
        server = makeHttpServer(context.get_executor(), clock, metricsRegistry, options,
                                [this](const http_request &request) {
                                    requests.push_back(request);
                                    return answerAfter(answerDelay, request);
                                });
        EXPECT_FALSE(failed(server->start()));
    }

    tcp::socket connect()
    {
        tcp::socket client(clientContext);
        client.connect({asio::ip::make_address("127.0.0.1"), options.listen.port});
        context.run_for(milliseconds(5));
        return client;
    }

    static void send(tcp::socket &client, const std::string &text)
    {
        asio::write(client, asio::buffer(text));
    }

    // What the server has sent by now.
    static std::string received(tcp::socket &client)
    {
        std::string text(1000, ' ');
        boost::system::error_code error;
        client.non_blocking(true);
        text.resize(client.read_some(asio::buffer(text), error));
        return text;
    }

    // Answers with the body of the request.
    asio::awaitable<http_response> answerAfter(milliseconds delay, http_request request)
    {
        if (delay.count() > 0) {
            co_await clock.sleepFor(delay);
        }
        http_response response;
        response.status = 200;
        response.body = request.body;
        co_return response;
    }

    // What the server takes as the receipt mark.
    std::uint64_t mark = 0;
    milliseconds answerDelay{0};
    std::vector<http_request> requests;
    asio::io_context context{1};
    asio::io_context clientContext{1};
    system_clock_source clock{context.get_executor()};
    metrics_registry metricsRegistry;
    http_server_options options;
    std::unique_ptr<http_server> server;
};

const std::string exchange = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi";

} // namespace

// The header arrives in time while the process is busy until after the timeout. The expired timer
// then cancelled the read of the body, and the connection was closed without a response.
TEST(http_server, answersARequestThatArrivedInTimeWhileTheProcessWasBusy)
{
    small_server server(18'771);
    tcp::socket client = server.connect();
    small_server::send(client, "POST /a HTTP/1.1\r\nHost: x\r\n");
    server.context.run_for(milliseconds(5));
    small_server::send(client, "Content-Length: 2\r\n\r\n");
    std::this_thread::sleep_for(headerTimeout * 2);
    server.context.run_for(milliseconds(10));
    small_server::send(client, "hi");
    server.context.run_for(milliseconds(30));
    EXPECT_TRUE(small_server::received(client).starts_with("HTTP/1.1 200"));
}

// The client leaves while the process is busy until after the timeout of its request. The expired
// timer then used the connection, which no longer existed.
TEST(http_server, survivesAClientThatLeavesWhileTheProcessIsBusy)
{
    small_server server(18'772);
    for (int number = 0; number < 3; ++number) {
        tcp::socket client = server.connect();
        small_server::send(client, "POST /a HTTP/1.1\r\nHost: x\r\n");
        server.context.run_for(milliseconds(5));
        client.close();
        std::this_thread::sleep_for(headerTimeout * 2);
        server.context.run_for(milliseconds(10));
    }
    tcp::socket client = server.connect();
    small_server::send(client, exchange);
    server.context.run_for(milliseconds(30));
    EXPECT_TRUE(small_server::received(client).starts_with("HTTP/1.1 200"));
}

// At the limit of connections the one that has been idle for longest makes room for a new one.
TEST(http_server, closesIdleConnectionsAtTheLimit)
{
    small_server server(18'773, 3);
    std::vector<tcp::socket> clients;
    for (int number = 0; number < 5; ++number) {
        clients.push_back(server.connect());
        small_server::send(clients.back(), exchange);
        server.context.run_for(milliseconds(10));
        EXPECT_TRUE(small_server::received(clients.back()).starts_with("HTTP/1.1 200")) << number;
    }
    for (const std::size_t number : {2U, 3U, 4U}) {
        small_server::send(clients[number], exchange);
        server.context.run_for(milliseconds(10));
        EXPECT_TRUE(small_server::received(clients[number]).starts_with("HTTP/1.1 200")) << number;
    }
    EXPECT_EQ(server.metricsRegistry.at("mango_http_connections{server=\"test\"}"), 3U);
}

// A request that waits behind another one on its connection is older than what the process has
// learned meanwhile: it would be taken for one that was sent after that.
TEST(http_server, marksARequestThatHasWaitedLikeTheOneBefore)
{
    small_server server(18'774);
    server.answerDelay = milliseconds(30);
    server.mark = 5;
    tcp::socket client = server.connect();
    small_server::send(client, exchange);
    server.context.run_for(milliseconds(10));
    small_server::send(client, exchange + exchange);
    server.mark = 6;
    server.context.run_for(milliseconds(120));
    server.mark = 7;
    small_server::send(client, exchange);
    server.context.run_for(milliseconds(60));
    ASSERT_EQ(server.requests.size(), 4U);
    EXPECT_EQ(server.requests[0].receiptMark, 5U);
    EXPECT_EQ(server.requests[1].receiptMark, 5U);
    EXPECT_LE(server.requests[2].receiptMark, 6U);
    EXPECT_EQ(server.requests[3].receiptMark, 7U);
}

// The process is suspended while a request arrives, and its sender gives up.
TEST(http_server, tellsWhetherTheSenderWasGoneWhenTheRequestWasRead)
{
    small_server server(18'775);
    tcp::socket waiting = server.connect();
    tcp::socket leaving = server.connect();
    small_server::send(waiting, exchange);
    small_server::send(leaving, exchange);
    leaving.close();
    std::this_thread::sleep_for(milliseconds(20));
    server.context.run_for(milliseconds(30));
    ASSERT_EQ(server.requests.size(), 2U);
    EXPECT_FALSE(server.requests[0].senderClosed);
    EXPECT_TRUE(server.requests[1].senderClosed);
}

} // namespace mango::test
