#pragma once

#include <functional>
#include <map>
#include <memory>

#include "Common/timeline.h"
#include "Common/wake_event.h"
#include "Wire/messages.h"
#include "Wire/network.h"

namespace mango {

// Makes calls to one peer over one connection, which is opened when needed. Calls may overlap;
// answers come in any order. A call that times out while the peer sends nothing at all closes the
// connection, so that the next call tries a fresh one.
class rpc_client : public std::enable_shared_from_this<rpc_client>
{
public:
    rpc_client(boost::asio::any_io_executor executor, clock_source &clock, network &links,
               causal_clock &stamps, host_address peer);
    ~rpc_client();

    // Sends the call and waits for its answer for the span at most.
    boost::asio::awaitable<result<response_message, network_failure>> invoke(call message,
                                                                             steady_span timeout);
    void close();

    [[nodiscard]] const host_address &peer() const
    {
        return m_peer;
    }

private:
    struct waiting_call;

    boost::asio::awaitable<result<done, network_failure>> ensureConnected(steady_span timeout);
    boost::asio::awaitable<void> readAnswers(std::shared_ptr<frame_connection> connection);
    void failAll();

    boost::asio::any_io_executor m_executor;
    clock_source &m_clock;
    network &m_links;
    causal_clock &m_stamps;
    host_address m_peer;
    std::shared_ptr<frame_connection> m_connection;
    bool m_connecting = false;
    wake_event m_connected;
    std::uint64_t m_nextCorrelation = 1;
    std::uint64_t m_framesSeen = 0;
    std::map<std::uint64_t, waiting_call *> m_waiting;
};

using call_handler =
        std::function<boost::asio::awaitable<response_message>(call message, host_address peer)>;

// Serves calls at the address, each in a coroutine of its own.
result<done, network_failure> serveCalls(boost::asio::any_io_executor executor, network &links,
                                         causal_clock &stamps, const host_address &address,
                                         call_handler handler);

} // namespace mango
