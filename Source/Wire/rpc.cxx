#include "Wire/rpc.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Common/log.h"
#include "Wire/codec.h"

namespace mango {

namespace asio = boost::asio;

struct rpc_client::waiting_call
{
    std::unique_ptr<wait_timer> timer;
    std::optional<result<response_message, network_failure>> outcome;
};

rpc_client::rpc_client(asio::any_io_executor executor, clock_source &clock, network &links,
                       causal_clock &stamps, host_address peer)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_links(links)
    , m_stamps(stamps)
    , m_peer(std::move(peer))
    , m_connected(clock)
{}

rpc_client::~rpc_client()
{
    if (m_connection) {
        m_connection->close();
    }
}

asio::awaitable<result<response_message, network_failure>> rpc_client::invoke(call message,
                                                                              steady_span timeout)
{
    const auto keepAlive = shared_from_this();
    const steady_time limit = m_clock.now() + timeout;
    const auto ready = co_await ensureConnected(timeout);
    if (failed(ready)) {
        co_return failureOf(ready);
    }
    waiting_call waiting{m_clock.makeTimer(), {}};
    const std::uint64_t correlation = m_nextCorrelation++;
    const std::uint64_t seenBefore = m_framesSeen;
    const auto connection = m_connection;
    m_waiting[correlation] = &waiting;
    connection->send({correlation, m_stamps.tick(), false, encode(message)});
    co_await waiting.timer->waitFor(std::max(limit - m_clock.now(), steady_span(0)));
    m_waiting.erase(correlation);
    if (waiting.outcome) {
        co_return std::move(*waiting.outcome);
    }
    if (m_framesSeen == seenBefore && m_connection == connection) {
        close();
    }
    co_return network_failure{network_failure::kind::timedOut, m_peer, ""};
}

asio::awaitable<result<done, network_failure>> rpc_client::ensureConnected(steady_span timeout)
{
    while (m_connecting) {
        const bool notified = co_await m_connected.waitFor(timeout);
        if (!notified) {
            co_return network_failure{network_failure::kind::timedOut, m_peer, "connecting"};
        }
    }
    if (m_connection) {
        co_return done{};
    }
    m_connecting = true;
    auto connected = co_await m_links.connect(m_peer, timeout);
    m_connecting = false;
    if (failed(connected)) {
        m_connected.notifyAll();
        co_return failureOf(connected);
    }
    m_connection = valueOf(connected);
    asio::co_spawn(m_executor, readAnswers(m_connection), asio::detached);
    m_connected.notifyAll();
    co_return done{};
}

asio::awaitable<void> rpc_client::readAnswers(std::shared_ptr<frame_connection> connection)
{
    const std::weak_ptr<rpc_client> self = weak_from_this();
    while (true) {
        auto received = co_await connection->receive();
        const auto alive = self.lock();
        if (!alive) {
            co_return;
        }
        if (failed(received)) {
            if (m_connection == connection) {
                m_connection.reset();
                failAll();
            }
            co_return;
        }
        const frame &message = valueOf(received);
        m_stamps.observe(message.stamp);
        ++m_framesSeen;
        const auto found = m_waiting.find(message.correlation);
        if (!message.answer || found == m_waiting.end()) {
            continue;
        }
        response_message answer;
        if (decode(message.payload, answer)) {
            found->second->outcome = std::move(answer);
        } else {
            found->second->outcome =
                    network_failure{network_failure::kind::invalidFrame, m_peer, "not an answer"};
        }
        found->second->timer->cancel();
    }
}

void rpc_client::failAll()
{
    for (auto &[correlation, waiting] : m_waiting) {
        if (!waiting->outcome) {
            waiting->outcome = network_failure{network_failure::kind::closed, m_peer, ""};
        }
        waiting->timer->cancel();
    }
}

void rpc_client::close()
{
    if (m_connection) {
        m_connection->close();
        m_connection.reset();
    }
    failAll();
}

namespace {

asio::awaitable<void> answerCall(std::shared_ptr<frame_connection> connection, causal_clock &stamps,
                                 call_handler handler, frame message)
{
    call received;
    response_message answer = call_refused{"not a call"};
    if (decode(message.payload, received)) {
        answer = co_await handler(std::move(received), connection->peer());
    }
    connection->send({message.correlation, stamps.tick(), true, encode(answer)});
}

} // namespace

result<done, network_failure> serveCalls(asio::any_io_executor executor, network &links,
                                         causal_clock &stamps, const host_address &address,
                                         call_handler handler)
{
    return links.listen(
            address,
            [executor, &stamps,
             handler](std::shared_ptr<frame_connection> connection) -> asio::awaitable<void> {
                while (true) {
                    auto received = co_await connection->receive();
                    if (failed(received)) {
                        const network_failure &failure = failureOf(received);
                        if (failure.reason != network_failure::kind::closed) {
                            logWarn(log_part::wire, "Dropped a link: " + describe(failure) + ".");
                        }
                        co_return;
                    }
                    stamps.observe(valueOf(received).stamp);
                    asio::co_spawn(
                            executor,
                            answerCall(connection, stamps, handler, std::move(valueOf(received))),
                            asio::detached);
                }
            });
}

} // namespace mango
