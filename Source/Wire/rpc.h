#pragma once

#include <functional>
#include <memory>

#include "Common/timeline.h"
#include "Common/wake_event.h"
#include "Common/work_meter.h"
#include "Wire/messages.h"
#include "Wire/network.h"
#include "Wire/pending_calls.h"

namespace mango {

// Makes calls to one peer over one connection, which is opened when needed. Calls may be
// concurrent, and responses may arrive in any order. When a call times out and no frame at all has
// arrived since it was sent, the connection is closed, so that the next call opens a new one. One
// timer serves all calls, since nearly all are answered long before their time is over.
class rpc_client : public std::enable_shared_from_this<rpc_client>
{
public:
    rpc_client(boost::asio::any_io_executor executor, clock_source &clock, network &transport,
               causal_clock &causalClock, host_address peer, work_meter *work = nullptr);
    ~rpc_client();

    // Sends the call and returns its response; fails when the connection fails or the timeout ends.
    // The failure is `connectFailed` only when the call was not sent. A response that has arrived
    // before the timeout ended is returned even if this process reads it later. The message must
    // exist until the call has returned.
    boost::asio::awaitable<call_outcome> invoke(const call &message, steady_span timeout);
    // Closes the connection and fails all pending calls; a later call opens a new connection.
    void close();

    [[nodiscard]] const host_address &peer() const
    {
        return m_peer;
    }

private:
    struct call_waits;

    boost::asio::awaitable<result<done, network_failure>> ensureConnected(steady_span timeout);
    void send(frame_connection &connection, std::uint64_t correlation, const call &message);
    // Decodes a response and returns what resumes its caller, if one waits for it.
    std::optional<pending_calls::continuation> processResponse(const frame &message);
    boost::asio::awaitable<void> readResponses(std::shared_ptr<frame_connection> connection);
    void watchDeadline(steady_time deadline);
    // Fails the calls that get no response in time, until no call is pending.
    static boost::asio::awaitable<void> expireCalls(std::weak_ptr<rpc_client> self,
                                                    std::shared_ptr<call_waits> waits);
    boost::asio::awaitable<void> failOverdueCalls(steady_time now);
    // Fails a call that has no outcome; its coroutine resumes in a later turn of the event loop.
    void fail(std::uint64_t correlation, network_failure failure);
    void failPendingCalls();

    boost::asio::any_io_executor m_executor;
    clock_source &m_clock;
    network &m_transport;
    causal_clock &m_causalClock;
    host_address m_peer;
    work_meter *m_work;
    std::shared_ptr<frame_connection> m_connection;
    bool m_connecting = false;
    wake_event m_connected;
    std::uint64_t m_nextCorrelation = 1;
    std::uint64_t m_framesReceived = 0;
    std::shared_ptr<call_waits> m_waits;
};

// Produces the response to a call from the peer.
using call_handler =
        std::function<boost::asio::awaitable<response_message>(call message, host_address peer)>;

// Accepts connections at the address and runs the handler for each call in its own coroutine; fails
// when the address cannot be used.
result<done, network_failure> serveCalls(boost::asio::any_io_executor executor, network &transport,
                                         causal_clock &causalClock, const host_address &address,
                                         call_handler handler, work_meter *work = nullptr);

} // namespace mango
