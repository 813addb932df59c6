#include "Wire/rpc.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Common/log.h"
#include "Wire/codec.h"

namespace mango {

namespace asio = boost::asio;

namespace {

// The least number of bytes that a connection receives in one turn of a busy loop.
constexpr std::size_t bytesReadPerTurn = 4096;
// The turns that it takes at most until a connection that has become readable is read.
constexpr std::size_t turnsUntilRead = 4;

// Returns the turns of the event loop within which the bytes that have arrived are processed. A
// loop that is late finds an answer and the end of the wait for it in the same turn.
std::size_t turnsToRead(std::size_t unreadBytes)
{
    return unreadBytes == 0 ? 0 : turnsUntilRead + unreadBytes / bytesReadPerTurn;
}

} // namespace

// The calls without an outcome and the wait for their deadlines.
struct rpc_client::call_waits
{
    pending_calls calls;
    // Exists while a coroutine watches the deadlines, the first of which is `due`.
    std::unique_ptr<wait_timer> timer;
    steady_time due{};
};

rpc_client::rpc_client(asio::any_io_executor executor, clock_source &clock, network &transport,
                       causal_clock &causalClock, host_address peer, work_meter *work)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_transport(transport)
    , m_causalClock(causalClock)
    , m_peer(std::move(peer))
    , m_work(work)
    , m_connected(clock)
    , m_waits(std::make_shared<call_waits>())
{}

rpc_client::~rpc_client()
{
    if (m_waits->timer) {
        m_waits->timer->cancel();
    }
    if (m_connection) {
        m_connection->close();
    }
}

asio::awaitable<call_outcome> rpc_client::invoke(const call &message, steady_span timeout)
{
    const auto keepAlive = shared_from_this();
    const steady_time deadline = m_clock.now() + timeout;
    if (!m_connection) {
        const auto ready = co_await ensureConnected(timeout);
        if (failed(ready)) {
            co_return failureOf(ready);
        }
        if (m_clock.now() >= deadline) {
            co_return network_failure{network_failure::kind::connectFailed, m_peer,
                                      "connected late"};
        }
    }
    pending_call pending{deadline, m_connection, m_framesReceived, {}};
    const std::uint64_t correlation = m_nextCorrelation++;
    send(*pending.connection, correlation, message);
    auto suspend = [&](pending_calls::continuation resume) {
        m_waits->calls.add(correlation, pending, std::move(resume));
        watchDeadline(deadline);
    };
    co_await asio::async_initiate<const asio::use_awaitable_t<>, void()>(suspend,
                                                                         asio::use_awaitable);
    co_return std::move(*pending.outcome);
}

void rpc_client::send(frame_connection &connection, std::uint64_t correlation, const call &message)
{
    const bool isAppend = std::holds_alternative<append_request>(message.message);
    const metered_work section(m_work, isAppend ? work_kind::appends : work_kind::sends);
    connection.send({correlation, m_causalClock.tick(), false, encode(message)});
}

asio::awaitable<result<done, network_failure>> rpc_client::ensureConnected(steady_span timeout)
{
    while (m_connecting) {
        const bool notified = co_await m_connected.waitFor(timeout);
        if (!notified) {
            co_return network_failure{network_failure::kind::connectFailed, m_peer,
                                      "no connection in time"};
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
        auto resume = processResponse(valueOf(received));
        if (resume) {
            (*resume)();
        }
    }
}

std::optional<pending_calls::continuation> rpc_client::processResponse(const frame &message)
{
    const metered_work section(m_work, work_kind::answers);
    m_causalClock.observe(message.timestamp);
    ++m_framesReceived;
    if (!message.isResponse || m_waits->calls.find(message.correlation) == nullptr) {
        return std::nullopt;
    }
    response_message response;
    if (!decode(message.payload, response)) {
        return m_waits->calls.complete(
                message.correlation,
                network_failure{network_failure::kind::invalidFrame, m_peer, "not an answer"});
    }
    return m_waits->calls.complete(message.correlation, std::move(response));
}

void rpc_client::watchDeadline(steady_time deadline)
{
    if (!m_waits->timer) {
        m_waits->timer = m_clock.makeTimer();
        asio::co_spawn(m_executor, expireCalls(weak_from_this(), m_waits), asio::detached);
    } else if (deadline < m_waits->due) {
        m_waits->due = deadline;
        m_waits->timer->cancel();
    }
}

asio::awaitable<void> rpc_client::expireCalls(std::weak_ptr<rpc_client> self,
                                              std::shared_ptr<call_waits> waits)
{
    // The coroutines that wait for a response are destroyed together with this one when the event
    // loop is destroyed.
    const auto end = [](call_waits *ended) {
        ended->timer.reset();
        ended->calls.clear();
    };
    const std::unique_ptr<call_waits, decltype(end)> watch(waits.get(), end);
    while (true) {
        steady_span untilDue{0};
        if (const auto alive = self.lock()) {
            const auto due = waits->calls.earliestDeadline();
            if (!due) {
                co_return;
            }
            const steady_time now = alive->m_clock.now();
            if (*due <= now) {
                co_await alive->failOverdueCalls(now);
                continue;
            }
            waits->due = *due;
            untilDue = *due - now;
        } else {
            co_return;
        }
        co_await waits->timer->waitFor(untilDue);
    }
}

asio::awaitable<void> rpc_client::failOverdueCalls(steady_time now)
{
    pending_calls &calls = m_waits->calls;
    const std::vector<std::uint64_t> overdue = calls.takeOverdue(now);
    const frame_connection *counted = nullptr;
    std::size_t turns = 0;
    for (const std::uint64_t correlation : overdue) {
        const auto &connection = calls.find(correlation)->connection;
        if (connection.get() != counted) {
            counted = connection.get();
            turns = std::max(turns, turnsToRead(connection->unreadBytes()));
        }
    }
    const auto isPending = [&calls](std::uint64_t correlation) {
        return calls.find(correlation) != nullptr;
    };
    for (std::size_t turn = 0; turn < turns; ++turn) {
        if (std::none_of(overdue.begin(), overdue.end(), isPending)) {
            co_return;
        }
        co_await asio::post(m_executor, asio::use_awaitable);
    }
    for (const std::uint64_t correlation : overdue) {
        const pending_call *call = calls.find(correlation);
        if (call == nullptr) {
            continue;
        }
        const bool isSilent =
                m_framesReceived == call->framesBefore && m_connection == call->connection;
        fail(correlation, {network_failure::kind::timedOut, m_peer, ""});
        if (isSilent) {
            close();
        }
    }
}

void rpc_client::fail(std::uint64_t correlation, network_failure failure)
{
    auto resume = m_waits->calls.complete(correlation, std::move(failure));
    asio::post(m_executor, std::move(resume));
}

void rpc_client::failPendingCalls()
{
    for (const std::uint64_t correlation : m_waits->calls.correlations()) {
        fail(correlation, {network_failure::kind::closed, m_peer, ""});
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

bool decodeCall(const frame &message, call &received, work_meter *work)
{
    const metered_work section(work, work_kind::served);
    return decode(message.payload, received);
}

void respond(frame_connection &connection, std::uint64_t correlation, std::uint64_t timestamp,
             const response_message &response, work_meter *work)
{
    const metered_work section(work, work_kind::served);
    connection.send({correlation, timestamp, true, encode(response)});
}

asio::awaitable<void> handleCall(std::shared_ptr<frame_connection> connection,
                                 causal_clock &causalClock, call_handler handler, frame message,
                                 work_meter *work)
{
    call received;
    response_message response = call_refused{"not a call"};
    if (decodeCall(message, received, work)) {
        response = co_await handler(std::move(received), connection->peer());
    }
    respond(*connection, message.correlation, causalClock.tick(), response, work);
}

} // namespace

result<done, network_failure> serveCalls(asio::any_io_executor executor, network &transport,
                                         causal_clock &causalClock, const host_address &address,
                                         call_handler handler, work_meter *work)
{
    return transport.listen(
            address,
            [executor, &causalClock, handler,
             work](std::shared_ptr<frame_connection> connection) -> asio::awaitable<void> {
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
                                              std::move(valueOf(received)), work),
                                   asio::detached);
                }
            });
}

} // namespace mango
