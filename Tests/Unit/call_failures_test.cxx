#include <gtest/gtest.h>

#include <thread>

#include <boost/asio.hpp>

#include "Dispatch/relayed_worker_client.h"
#include "Fakes/fake_clock.h"
#include "Fakes/fake_network.h"
#include "Wire/codec.h"
#include "http_worker_client.h"

namespace mango::test {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

const host_address peerAddress{"10.0.0.1", 1};

// A connection of a process that is busy for a while after each call. The response arrives in that
// time, and is read some turns of the event loop later.
class busy_connection final : public frame_connection
{
public:
    busy_connection(asio::any_io_executor executor, milliseconds busyFor)
        : m_executor(std::move(executor))
        , m_busyFor(busyFor)
    {}

    asio::awaitable<result<frame, network_failure>> receive() override
    {
        constexpr int turnsUntilRead = 6;
        for (int turn = 0; turn < turnsUntilRead; ++turn) {
            co_await asio::post(m_executor, asio::use_awaitable);
        }
        if (!m_response) {
            // Nothing else arrives.
            asio::steady_timer never(m_executor, seconds(3600));
            co_await never.async_wait(asio::use_awaitable);
        }
        co_return *std::exchange(m_response, std::nullopt);
    }
    void send(frame message) override
    {
        m_response = frame{message.correlation, 0, true, encode(response_message(acknowledged{}))};
        std::this_thread::sleep_for(m_busyFor);
    }
    void close() override
    {}
    [[nodiscard]] std::size_t unreadBytes() const override
    {
        constexpr std::size_t othersBefore = 30'000;
        return m_response ? othersBefore + m_response->payload.size() : 0;
    }
    [[nodiscard]] host_address peer() const override
    {
        return peerAddress;
    }

private:
    asio::any_io_executor m_executor;
    milliseconds m_busyFor;
    std::optional<frame> m_response;
};

// Opens one given connection, after a delay.
class single_network final : public network
{
public:
    single_network(clock_source &clock, std::shared_ptr<frame_connection> connection,
                   milliseconds delay)
        : m_clock(clock)
        , m_connection(std::move(connection))
        , m_delay(delay)
    {}

    asio::awaitable<result<std::shared_ptr<frame_connection>, network_failure>>
    connect(host_address /*address*/, steady_span /*timeout*/) override
    {
        co_await m_clock.sleepFor(m_delay);
        co_return m_connection;
    }
    result<done, network_failure> listen(const host_address & /*address*/,
                                         connection_handler /*handler*/) override
    {
        return done{};
    }

private:
    clock_source &m_clock;
    std::shared_ptr<frame_connection> m_connection;
    milliseconds m_delay;
};

asio::awaitable<void> invokeOnce(std::shared_ptr<rpc_client> client, steady_span timeout,
                                 std::optional<call_outcome> &outcome)
{
    const call message{0, transfer_leadership_request{}};
    outcome = co_await client->invoke(message, timeout);
}

// A clock that counts the timers that are created.
class timer_counting_clock final : public clock_source
{
public:
    explicit timer_counting_clock(clock_source &clock)
        : m_clock(clock)
    {}
    [[nodiscard]] steady_time now() const override
    {
        return m_clock.now();
    }
    [[nodiscard]] std::chrono::system_clock::time_point wallTime() const override
    {
        return m_clock.wallTime();
    }
    std::unique_ptr<wait_timer> makeTimer() override
    {
        ++timers;
        return m_clock.makeTimer();
    }

    std::size_t timers = 0;

private:
    clock_source &m_clock;
};

// A client and a server that answers each call after a time of its own.
struct slow_service
{
    slow_service()
    {
        serveCalls(context->get_executor(), serverLinks, stamps, peerAddress,
                   [this](call message, host_address) {
                       return answer(std::move(message));
                   });
        client = std::make_shared<rpc_client>(context->get_executor(), clientClock, clientLinks,
                                              stamps, peerAddress);
    }
    slow_service(const slow_service &) = delete;
    slow_service &operator=(const slow_service &) = delete;
    ~slow_service()
    {
        // The coroutines that still wait use the clock until they are destroyed.
        client.reset();
        context.reset();
    }

    // The term in a call says after how many milliseconds it is answered.
    asio::awaitable<response_message> answer(call message)
    {
        const auto &request = std::get<transfer_leadership_request>(message.message);
        co_await clock.sleepFor(milliseconds(request.term));
        append_response response;
        response.term = request.term;
        co_return response;
    }
    static asio::awaitable<void> invoke(std::shared_ptr<rpc_client> client,
                                        milliseconds answerAfter, milliseconds timeout,
                                        std::optional<call_outcome> &outcome)
    {
        const call message{0, transfer_leadership_request{
                                      "", static_cast<std::uint64_t>(answerAfter.count())}};
        outcome = co_await client->invoke(message, timeout);
    }
    std::optional<call_outcome> &start(milliseconds answerAfter, milliseconds timeout)
    {
        std::optional<call_outcome> &outcome = outcomes.emplace_back();
        asio::co_spawn(*context, invoke(client, answerAfter, timeout, outcome), asio::detached);
        return outcome;
    }

    std::unique_ptr<asio::io_context> context = std::make_unique<asio::io_context>(1);
    fake_clock clock{*context};
    timer_counting_clock clientClock{clock};
    std::shared_ptr<fake_links> links =
            std::make_shared<fake_links>(context->get_executor(), clock);
    fake_network serverLinks{links, peerAddress};
    fake_network clientLinks{links, {"10.0.0.2", 1}};
    causal_clock stamps{clock};
    std::shared_ptr<rpc_client> client;
    std::deque<std::optional<call_outcome>> outcomes;
};

bool hasFailed(const std::optional<call_outcome> &outcome, network_failure::kind reason)
{
    return outcome && failed(*outcome) && failureOf(*outcome).reason == reason;
}

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

// A worker that answers the request for a report with which a connection begins and one more, then
// reads another one and goes away without an answer.
asio::awaitable<void> answerTwiceAndLeave(asio::ip::tcp::acceptor &acceptor)
{
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    const std::string body = R"({"clock_ms":1,"born":1,"running":[],"ended_runs":[]})";
    const std::string answer =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    for (int number = 0; number < 2; ++number) {
        std::string text;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(text), "}",
                                        asio::use_awaitable);
        co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
    }
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

// A leader that was busy dropped answers which had arrived in time: it found the end of the wait
// and the answer in the same turn of its loop, and counted runs as unconfirmed that were started.
TEST(rpc_client, prefersAnAnswerThatHasArrivedToTheEndOfItsWait)
{
    asio::io_context context(1);
    system_clock_source clock(context.get_executor());
    causal_clock stamps(clock);
    const auto connection =
            std::make_shared<busy_connection>(context.get_executor(), milliseconds(30));
    single_network links(clock, connection, milliseconds(0));
    const auto client =
            std::make_shared<rpc_client>(context.get_executor(), clock, links, stamps, peerAddress);
    std::optional<call_outcome> outcome;
    asio::co_spawn(context, invokeOnce(client, milliseconds(25), outcome), asio::detached);
    while (!outcome) {
        context.run_one();
    }
    EXPECT_FALSE(failed(*outcome));
}

// A call whose connection opens when its time is over would be sent for nobody to wait for.
TEST(rpc_client, sendsNothingOnceItsTimeIsOver)
{
    auto context = std::make_unique<asio::io_context>(1);
    fake_clock clock(*context);
    causal_clock stamps(clock);
    const auto connection =
            std::make_shared<busy_connection>(context->get_executor(), milliseconds(0));
    single_network links(clock, connection, milliseconds(1500));
    const auto client = std::make_shared<rpc_client>(context->get_executor(), clock, links, stamps,
                                                     peerAddress);
    std::optional<call_outcome> outcome;
    asio::co_spawn(*context, invokeOnce(client, seconds(1), outcome), asio::detached);
    clock.advance(milliseconds(1400));
    clock.advance(seconds(2));
    context.reset();
    ASSERT_TRUE(outcome.has_value());
    ASSERT_TRUE(failed(*outcome));
    EXPECT_EQ(failureOf(*outcome).reason, network_failure::kind::connectFailed);
    EXPECT_EQ(connection->unreadBytes(), 0U);
}

// Nearly all calls are answered early. A timer for each of them cost the leader more than the call.
TEST(rpc_client, needsNoTimerForEachCall)
{
    slow_service service;
    service.start(milliseconds(0), seconds(2));
    service.clock.advance(milliseconds(100));
    const std::size_t before = service.clientClock.timers;
    for (int number = 0; number < 100; ++number) {
        service.start(milliseconds(number % 7), seconds(2));
    }
    service.clock.advance(milliseconds(100));
    for (const auto &outcome : service.outcomes) {
        ASSERT_TRUE(outcome.has_value());
        EXPECT_FALSE(failed(*outcome));
    }
    EXPECT_LE(service.clientClock.timers - before, 1U);
}

// Each response goes to the caller that waits for it, also when they arrive in another order.
TEST(rpc_client, deliversResponsesInAnyOrder)
{
    slow_service service;
    for (int number = 0; number < 50; ++number) {
        service.start(milliseconds(50 - number), seconds(2));
    }
    service.clock.advance(milliseconds(100));
    for (int number = 0; number < 50; ++number) {
        const auto &outcome = service.outcomes[static_cast<std::size_t>(number)];
        ASSERT_TRUE(outcome.has_value() && !failed(*outcome));
        EXPECT_EQ(std::get<append_response>(valueOf(*outcome)).term, 50U - number);
    }
}

// A call with an early deadline must not wait for that of a call that was sent before it.
TEST(rpc_client, failsEachCallAtItsOwnDeadline)
{
    slow_service service;
    service.start(milliseconds(0), seconds(1));
    service.clock.advance(milliseconds(10));
    // Without any response the connection would count as broken.
    service.start(milliseconds(200), seconds(1));
    const auto &late = service.start(milliseconds(5000), milliseconds(900));
    const auto &early = service.start(milliseconds(5000), milliseconds(300));
    const auto &answered = service.start(milliseconds(600), milliseconds(700));
    service.clock.advance(milliseconds(295));
    EXPECT_FALSE(early.has_value());
    service.clock.advance(milliseconds(10));
    EXPECT_TRUE(hasFailed(early, network_failure::kind::timedOut));
    EXPECT_FALSE(late.has_value());
    service.clock.advance(milliseconds(310));
    ASSERT_TRUE(answered.has_value());
    EXPECT_FALSE(failed(*answered));
    service.clock.advance(milliseconds(280));
    EXPECT_FALSE(late.has_value());
    service.clock.advance(milliseconds(10));
    EXPECT_TRUE(hasFailed(late, network_failure::kind::timedOut));
}

// A call that was sent counts as unanswered when its connection closes, not as never sent.
TEST(rpc_client, failsTheCallsInProgressWhenItCloses)
{
    slow_service service;
    for (int number = 0; number < 5; ++number) {
        service.start(milliseconds(500), seconds(2));
    }
    service.clock.advance(milliseconds(100));
    service.client->close();
    service.clock.advance(milliseconds(1));
    for (const auto &outcome : service.outcomes) {
        EXPECT_TRUE(hasFailed(outcome, network_failure::kind::closed));
    }
    const auto &next = service.start(milliseconds(0), seconds(2));
    service.clock.advance(milliseconds(100));
    ASSERT_TRUE(next.has_value());
    EXPECT_FALSE(failed(*next));
}

// Coroutines that wait for a response are destroyed with the event loop, and its objects with them.
TEST(rpc_client, leavesNothingBehindWhenTheEventLoopEnds)
{
    const auto held = std::make_shared<int>(0);
    {
        slow_service service;
        const auto waitHolding = [](std::shared_ptr<rpc_client> client,
                                    std::shared_ptr<int> /*held*/) -> asio::awaitable<void> {
            const call message{0, transfer_leadership_request{"", 1000}};
            co_await client->invoke(message, seconds(2));
        };
        asio::co_spawn(*service.context, waitHolding(service.client, held), asio::detached);
        service.clock.advance(milliseconds(100));
        EXPECT_GT(held.use_count(), 1);
    }
    EXPECT_EQ(held.use_count(), 1);
}

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
    asio::co_spawn(context, answerTwiceAndLeave(acceptor), asio::detached);
    asio::co_spawn(context, renewTwice(client, target, results), asio::detached);
    while (results.size() < 2) {
        context.run_one();
    }
    EXPECT_EQ(results, (std::vector<worker_call_result>{worker_call_result::done,
                                                        worker_call_result::unanswered}));
}

} // namespace mango::test
