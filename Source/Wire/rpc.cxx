#include "Wire/rpc.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Common/log.h"
#include "Wire/codec.h"

namespace mango {

namespace asio = boost::asio;

namespace {

// A timer that fires this late tells nothing.
constexpr auto punctual = std::chrono::milliseconds(5);
// When the time limit of a call is over and its timer was late, the call waits as long again, at
// most this long, for a response that has arrived unread.
constexpr auto longestGrace = std::chrono::milliseconds(500);

} // namespace

struct rpc_client::pending_call
{
    std::unique_ptr<wait_timer> timer;
    std::optional<result<response_message, network_failure>> outcome;
};

rpc_client::rpc_client(asio::any_io_executor executor, clock_source &clock, network &transport,
                       causal_clock &causalClock, host_address peer)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_transport(transport)
    , m_causalClock(causalClock)
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
    const steady_time deadline = m_clock.now() + timeout;
    const auto ready = co_await ensureConnected(timeout);
    if (failed(ready)) {
        co_return failureOf(ready);
    }
    pending_call pending{m_clock.makeTimer(), {}};
    const std::uint64_t correlation = m_nextCorrelation++;
    const std::uint64_t receivedBefore = m_framesReceived;
    const auto connection = m_connection;
    m_pendingCalls[correlation] = &pending;
    connection->send({correlation, m_causalClock.tick(), false, encode(message)});
    co_await pending.timer->waitFor(std::max(deadline - m_clock.now(), steady_span(0)));
    const steady_span late = m_clock.now() - deadline;
    if (!pending.outcome && late > punctual) {
        // After a halt of this process all timers fire before what has arrived meanwhile is read.
        co_await pending.timer->waitFor(std::min<steady_span>(late, longestGrace));
    }
    m_pendingCalls.erase(correlation);
    if (pending.outcome) {
        co_return std::move(*pending.outcome);
    }
    if (m_framesReceived == receivedBefore && m_connection == connection) {
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
    auto connected = co_await m_transport.connect(m_peer, timeout);
    m_connecting = false;
    if (failed(connected)) {
        m_connected.notifyAll();
        co_return failureOf(connected);
    }
    m_connection = valueOf(connected);
    asio::co_spawn(m_executor, readResponses(m_connection), asio::detached);
    m_connected.notifyAll();
    co_return done{};
}

asio::awaitable<void> rpc_client::readResponses(std::shared_ptr<frame_connection> connection)
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
                failPendingCalls();
            }
            co_return;
        }
        const frame &message = valueOf(received);
        m_causalClock.observe(message.timestamp);
        ++m_framesReceived;
        const auto found = m_pendingCalls.find(message.correlation);
        if (!message.isResponse || found == m_pendingCalls.end()) {
            continue;
        }
        response_message response;
        if (decode(message.payload, response)) {
            found->second->outcome = std::move(response);
        } else {
            found->second->outcome =
                    network_failure{network_failure::kind::invalidFrame, m_peer, "not an answer"};
        }
        found->second->timer->cancel();
    }
}

void rpc_client::failPendingCalls()
{
    for (auto &[correlation, pending] : m_pendingCalls) {
        if (!pending->outcome) {
            pending->outcome = network_failure{network_failure::kind::closed, m_peer, ""};
        }
        pending->timer->cancel();
    }
}

void rpc_client::close()
{
    if (m_connection) {
        m_connection->close();
        m_connection.reset();
    }
    failPendingCalls();
}

namespace {

asio::awaitable<void> handleCall(std::shared_ptr<frame_connection> connection,
                                 causal_clock &causalClock, call_handler handler, frame message)
{
    call received;
    response_message response = call_refused{"not a call"};
    if (decode(message.payload, received)) {
        response = co_await handler(std::move(received), connection->peer());
    }
    connection->send({message.correlation, causalClock.tick(), true, encode(response)});
}

} // namespace

result<done, network_failure> serveCalls(asio::any_io_executor executor, network &transport,
                                         causal_clock &causalClock, const host_address &address,
                                         call_handler handler)
{
    return transport.listen(
            address,
            [executor, &causalClock,
             handler](std::shared_ptr<frame_connection> connection) -> asio::awaitable<void> {
                while (true) {
                    auto received = co_await connection->receive();
                    if (failed(received)) {
                        const network_failure &failure = failureOf(received);
                        if (failure.reason != network_failure::kind::closed) {
                            logWarn(log_part::wire, "Closed a connection after an invalid frame: "
                                                            + describe(failure) + ".");
                        }
                        co_return;
                    }
                    causalClock.observe(valueOf(received).timestamp);
                    asio::co_spawn(executor,
                                   handleCall(connection, causalClock, handler,
                                              std::move(valueOf(received))),
                                   asio::detached);
                }
            });
}

} // namespace mango
