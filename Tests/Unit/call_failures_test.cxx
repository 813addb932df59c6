#include <gtest/gtest.h>

#include <boost/asio.hpp>

#include "Dispatch/relayed_worker_client.h"
#include "Fakes/fake_clock.h"
#include "Fakes/fake_network.h"
#include "http_worker_client.h"

namespace mango::test {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

const host_address peerAddress{"10.0.0.1", 1};

asio::awaitable<void> startRun(worker_client &client, worker_response &response)
{
    worker_call_target target;
    target.incarnation = {"i-1", milliseconds(1)};
    start_run_request request;
    response = co_await client.start(std::move(target), std::move(request));
}

// The result of a start through a relay that answers it with `answer`.
worker_call_result startAnsweredWith(const response_message &answer)
{
    auto context = std::make_unique<asio::io_context>(1);
    fake_clock clock(*context);
    const auto links = std::make_shared<fake_links>(context->get_executor(), clock);
    fake_network relay(links, peerAddress);
    fake_network leader(links, {"10.0.0.2", 1});
    causal_clock stamps(clock);
    metrics_registry metricsRegistry;
    serveCalls(context->get_executor(), relay, stamps, peerAddress,
               [answer](call, host_address) -> asio::awaitable<response_message> {
                   co_return answer;
               });
    platform::http_worker_client direct(context->get_executor(), clock, metricsRegistry,
                                        milliseconds(600), 1);
    relayed_worker_client client(context->get_executor(), clock, leader, stamps, metricsRegistry,
                                 direct, milliseconds(600));
    client.setRelays({peerAddress});
    worker_response response;
    asio::co_spawn(*context, startRun(client, response), asio::detached);
    clock.advance(seconds(3));
    context.reset();
    return response.result;
}

// A worker that answers one request, then reads another one and goes away without an answer.
asio::awaitable<void> answerOnceAndLeave(asio::ip::tcp::acceptor &acceptor)
{
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::string text;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(text), "}", asio::use_awaitable);
    const std::string body = R"({"clock_ms":1,"born":1,"running":[],"ended_runs":[]})";
    const std::string answer =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
    char next = 0;
    co_await socket.async_read_some(asio::buffer(&next, 1), asio::use_awaitable);
    acceptor.close();
}

asio::awaitable<void> renewTwice(worker_client &client, worker_call_target target,
                                 std::vector<worker_call_result> &results)
{
    for (int number = 0; number < 2; ++number) {
        renew_lease_request request;
        request.wait = milliseconds(10);
        const auto response = co_await client.renewLease(target, request);
        const auto *refusal = std::get_if<worker_response>(&response);
        results.push_back(refusal == nullptr ? worker_call_result::done : refusal->result);
    }
}

} // namespace

// A start counts as never sent only when it certainly was not: the task then starts elsewhere.
TEST(relayed_worker_client, takesNoStrangeAnswerForACallThatWasNeverSent)
{
    EXPECT_EQ(startAnsweredWith(call_refused{"?"}), worker_call_result::unanswered);
    EXPECT_EQ(startAnsweredWith(acknowledged{}), worker_call_result::unanswered);
    const worker_call_answer done{worker_response{worker_call_result::done, std::nullopt}};
    EXPECT_EQ(startAnsweredWith(done), worker_call_result::done);
}

// The second attempt cannot connect, but the worker may have read the first one.
TEST(http_worker_client, countsARenewalAsSentWhenOnlyItsSecondAttemptFailedToConnect)
{
    asio::io_context context(1);
    system_clock_source clock(context.get_executor());
    metrics_registry metricsRegistry;
    platform::http_worker_client client(context.get_executor(), clock, metricsRegistry,
                                        milliseconds(2000), 10);
    asio::ip::tcp::acceptor acceptor(
            context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 18'783));
    worker_call_target target;
    target.incarnation = {"i-1", milliseconds(1)};
    target.address = {"127.0.0.1", 18'783};
    std::vector<worker_call_result> results;
    asio::co_spawn(context, answerOnceAndLeave(acceptor), asio::detached);
    asio::co_spawn(context, renewTwice(client, target, results), asio::detached);
    while (results.size() < 2) {
        context.run_one();
    }
    EXPECT_EQ(results, (std::vector<worker_call_result>{worker_call_result::done,
                                                        worker_call_result::unanswered}));
}

} // namespace mango::test
