#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Control/worker_protocol.h"
#include "Fakes/fake_clock.h"
#include "Fakes/fake_network.h"
#include "Wire/codec.h"
#include "Wire/frame_codec.h"
#include "Wire/rpc.h"
#include "Wire/tcp_network.h"

namespace mango::test {

namespace {

namespace asio = boost::asio;

constexpr std::size_t queuedFrames = 100;

// What a busy receiver has seen: the frames, and the turns of the event loop that they took.
struct busy_receiver
{
    std::size_t frames = 0;
    std::size_t turns = 0;
    bool over = false;
};

asio::awaitable<void> countTurns(std::shared_ptr<busy_receiver> seen)
{
    while (!seen->over) {
        ++seen->turns;
        co_await asio::post(asio::use_awaitable);
    }
}

// Begins to receive only when all frames have had time to arrive.
asio::awaitable<void> receiveLate(clock_source &clock, std::shared_ptr<frame_connection> connection,
                                  std::shared_ptr<busy_receiver> seen)
{
    co_await clock.sleepFor(std::chrono::milliseconds(200));
    // The sender shares the loop, so its writes are over after this even if the sleep ended late.
    for (int turn = 0; turn < 1000; ++turn) {
        co_await asio::post(asio::use_awaitable);
    }
    asio::co_spawn(co_await asio::this_coro::executor, countTurns(seen), asio::detached);
    while (seen->frames < queuedFrames) {
        const auto received = co_await connection->receive();
        if (failed(received) || valueOf(received).correlation != seen->frames) {
            break;
        }
        ++seen->frames;
    }
    seen->over = true;
}

host_address listenOnFreePort(network &links, const connection_handler &serve)
{
    host_address address{"127.0.0.1", 42100};
    while (failed(links.listen(address, serve)) && address.port < 42200) {
        ++address.port;
    }
    EXPECT_LT(address.port, 42200);
    return address;
}

// Runs the context until the condition holds, for up to 10 s.
void runUntil(asio::io_context &context, const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition() && std::chrono::steady_clock::now() < end) {
        context.run_one_for(std::chrono::milliseconds(100));
    }
}

asio::awaitable<void> exchangeFrames(network &links, host_address peer,
                                     const std::vector<std::string> &sent,
                                     std::vector<std::string> &echoed)
{
    const auto connected = co_await links.connect(peer, std::chrono::seconds(5));
    if (failed(connected)) {
        co_return;
    }
    for (std::size_t number = 0; number < sent.size(); ++number) {
        valueOf(connected)->send({number, 0, false, sent[number]});
    }
    while (echoed.size() < sent.size()) {
        auto received = co_await valueOf(connected)->receive();
        if (failed(received)) {
            co_return;
        }
        echoed.push_back(std::move(valueOf(received).payload));
    }
}

asio::awaitable<void> sendFrames(network &links, host_address peer)
{
    const auto connected = co_await links.connect(peer, std::chrono::seconds(5));
    if (failed(connected)) {
        co_return;
    }
    for (std::size_t number = 0; number < queuedFrames; ++number) {
        valueOf(connected)->send({number, 0, false, std::string(number, 'x')});
    }
    co_await valueOf(connected)->receive();
}

call sampleCall()
{
    entry_report report;
    report.name = "entry-1";
    report.holdings.push_back({"w1", "i", 3, 2, 900, 10, 0});
    report.demands.push_back({"desk", 2, 1});
    return {1, report};
}

} // namespace

TEST(codec, roundTripsAndRejectsTruncatedData)
{
    const std::string bytes = encode(sampleCall());
    call read;
    ASSERT_TRUE(decode(bytes, read));
    EXPECT_EQ(encode(read), bytes);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        call truncated;
        EXPECT_FALSE(decode(bytes.substr(0, length), truncated));
    }
    call longer;
    EXPECT_FALSE(decode(bytes + "x", longer));
}

// A container length beyond the end of the data must be rejected before memory is allocated for it.
TEST(codec, rejectsLengthBeyondData)
{
    std::string bytes = encode(std::vector<std::string>{"a", "b"});
    bytes.replace(1, 8, std::string("\xff\xff\xff\xff\xff\xff\x00\x00", 8));
    std::vector<std::string> read;
    EXPECT_FALSE(decode(bytes, read));
    EXPECT_LT(read.capacity(), 1000U);
}

TEST(frame_codec, rejectsOtherVersionsClustersAndCorruption)
{
    const std::uint32_t cluster = clusterChecksum("north");
    const frame message{7, 9, true, "payload"};
    const std::string bytes = encodeFrame(message, cluster);
    const std::string_view head = std::string_view(bytes).substr(0, frameHeaderBytes);
    const auto header = decodeHeader(head, cluster);
    ASSERT_FALSE(failed(header));
    const auto joined = joinFrame(valueOf(header), "payload");
    ASSERT_FALSE(failed(joined));
    EXPECT_EQ(valueOf(joined).correlation, 7U);
    EXPECT_TRUE(failed(joinFrame(valueOf(header), "paYload")));
    const auto foreign = decodeHeader(head, clusterChecksum("south"));
    ASSERT_TRUE(failed(foreign));
    EXPECT_EQ(failureOf(foreign).reason, network_failure::kind::clusterMismatch);
    std::string newer(head);
    newer[5] = 9;
    const auto version = decodeHeader(newer, cluster);
    ASSERT_TRUE(failed(version));
    EXPECT_EQ(failureOf(version).reason, network_failure::kind::versionMismatch);
    EXPECT_TRUE(failed(decodeHeader(std::string(frameHeaderBytes, 'G'), cluster)));
}

TEST(worker_protocol, roundTrips)
{
    agent_poll poll;
    poll.term = 3;
    poll.sessions = session_list{5, {8, 9}};
    poll.requests.push_back({run_request_kind::stop, {4, 2}, 7, {}, 0, "", "", true, 1});
    const auto read = decodePoll(encodePoll(poll));
    ASSERT_FALSE(failed(read));
    EXPECT_EQ(encodePoll(valueOf(read)), encodePoll(poll));
    agent_reply reply;
    reply.incarnation = "i";
    reply.nonce = "n";
    reply.requests[8] = 2;
    reply.runs.push_back({{4, 2}, 7, run_state::stopped, "c", 10, 0, 1, 2, 1, ""});
    const auto back = decodeReply(encodeReply(reply));
    ASSERT_FALSE(failed(back));
    EXPECT_EQ(encodeReply(valueOf(back)), encodeReply(reply));
}

TEST(worker_protocol, reportsTheInvalidField)
{
    const auto bad = decodeReply(R"({"incarnation":"i","nonce":"n","tasks":[{"task":"x"}]})");
    ASSERT_TRUE(failed(bad));
    EXPECT_EQ(failureOf(bad).field, "task");
    EXPECT_TRUE(failed(decodeAnnouncement("[]")));
    EXPECT_TRUE(failed(decodeAnnouncement(R"({"name":"w","cores":-1})")));
}

// After a call times out on a connection that delivers no frames, the next call must open a new
// one; otherwise all later calls would fail as well.
TEST(rpc_client, replacesSilentConnection)
{
    boost::asio::io_context context(1);
    auto clock = std::make_unique<fake_clock>(context);
    const auto links = std::make_shared<fake_links>(context.get_executor(), *clock);
    fake_network server(links, {"10.0.0.1", 1});
    fake_network client(links, {"10.0.0.2", 1});
    causal_clock stamps(*clock);
    serveCalls(context.get_executor(), server, stamps, {"10.0.0.1", 1},
               [](call, host_address) -> boost::asio::awaitable<response_message> {
                   co_return acknowledged{};
               });
    const auto caller = std::make_shared<rpc_client>(context.get_executor(), *clock, client, stamps,
                                                     host_address{"10.0.0.1", 1});
    std::vector<bool> answered;
    const auto callOnce = [&] {
        boost::asio::co_spawn(
                context,
                [](std::shared_ptr<rpc_client> peer,
                   std::vector<bool> &results) -> boost::asio::awaitable<void> {
                    const call message{0, transfer_leadership_request{}};
                    const auto outcome = co_await peer->invoke(message, std::chrono::seconds(1));
                    results.push_back(!failed(outcome));
                }(caller, answered),
                boost::asio::detached);
        clock->advance(std::chrono::seconds(2));
    };
    callOnce();
    links->blockedLinks.insert({{"10.0.0.1", 1}, {"10.0.0.2", 1}});
    callOnce();
    links->blockedLinks.clear();
    callOnce();
    EXPECT_EQ(answered, (std::vector<bool>{true, false, true}));
}

// After a halt of the caller all its timers are due, also those of calls that have been answered.
TEST(rpc_client, readsAnswersThatArrivedDuringAHalt)
{
    boost::asio::io_context context(1);
    auto clock = std::make_unique<fake_clock>(context);
    const auto links = std::make_shared<fake_links>(context.get_executor(), *clock);
    fake_network server(links, {"10.0.0.1", 1});
    fake_network client(links, {"10.0.0.2", 1});
    causal_clock stamps(*clock);
    serveCalls(context.get_executor(), server, stamps, {"10.0.0.1", 1},
               [&clock](call, host_address) -> boost::asio::awaitable<response_message> {
                   co_await clock->sleepFor(std::chrono::milliseconds(1200));
                   co_return acknowledged{};
               });
    const auto caller = std::make_shared<rpc_client>(context.get_executor(), *clock, client, stamps,
                                                     host_address{"10.0.0.1", 1});
    std::optional<bool> answered;
    boost::asio::co_spawn(
            context,
            [](std::shared_ptr<rpc_client> peer,
               std::optional<bool> &result) -> boost::asio::awaitable<void> {
                const call message{0, transfer_leadership_request{}};
                const auto outcome = co_await peer->invoke(message, std::chrono::seconds(1));
                result = !failed(outcome);
            }(caller, answered),
            boost::asio::detached);
    clock->advance(std::chrono::milliseconds(100));
    clock->jump(std::chrono::seconds(3));
    clock->advance(std::chrono::milliseconds(100));
    EXPECT_EQ(answered, true);
}

// Frames end anywhere in what one read returns, and large ones need many reads.
TEST(tcp_network, deliversFramesOfAllSizesIntact)
{
    asio::io_context context(1);
    system_clock_source clock(context.get_executor());
    metrics_registry metricsRegistry;
    const auto links =
            makeTcpNetwork(context.get_executor(), clock, metricsRegistry, {"north", {}});
    std::vector<std::string> sent;
    for (const std::size_t size : {0, 1, 16'348, 3'000'000, 16'384, 7, 262'144, 0, 20'000, 35}) {
        sent.push_back(std::string(size, static_cast<char>('a' + sent.size())));
    }
    std::vector<std::string> echoed;
    const host_address address = listenOnFreePort(
            *links, [](std::shared_ptr<frame_connection> connection) -> asio::awaitable<void> {
                while (true) {
                    auto received = co_await connection->receive();
                    if (failed(received)) {
                        co_return;
                    }
                    connection->send(std::move(valueOf(received)));
                }
            });
    asio::co_spawn(context, exchangeFrames(*links, address, sent, echoed), asio::detached);
    runUntil(context, [&] {
        return echoed.size() == sent.size();
    });
    EXPECT_EQ(echoed, sent);
}

// A busy leader needs long for each turn of its event loop. A connection that delivered one frame
// in two turns fell behind its callers for good, and their calls ran into their timeouts.
TEST(tcp_network, deliversAllFramesThatHaveArrivedInFewTurnsOfTheLoop)
{
    asio::io_context context(1);
    system_clock_source clock(context.get_executor());
    metrics_registry metricsRegistry;
    const auto links =
            makeTcpNetwork(context.get_executor(), clock, metricsRegistry, {"north", {}});
    const auto seen = std::make_shared<busy_receiver>();
    const host_address address =
            listenOnFreePort(*links, [&clock, seen](std::shared_ptr<frame_connection> connection) {
                return receiveLate(clock, std::move(connection), seen);
            });
    asio::co_spawn(context, sendFrames(*links, address), asio::detached);
    runUntil(context, [&seen] {
        return seen->over;
    });
    EXPECT_EQ(seen->frames, queuedFrames);
    EXPECT_LT(seen->turns, queuedFrames / 5);
}

} // namespace mango::test
