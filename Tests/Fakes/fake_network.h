#pragma once

#include <map>
#include <set>

#include <boost/asio/any_io_executor.hpp>

#include "Wire/network.h"

namespace mango::test {

// The links between all fake processes of a test.
struct fake_links
{
    explicit fake_links(boost::asio::any_io_executor givenExecutor, clock_source &givenClock)
        : executor(std::move(givenExecutor))
        , clock(givenClock)
    {}

    boost::asio::any_io_executor executor;
    clock_source &clock;
    struct listener
    {
        connection_handler handler;
        // True once the listening process is dead.
        std::shared_ptr<bool> dead;
    };
    std::map<host_address, listener> listeners;
    // Pairs of hosts whose frames are lost, in that direction.
    std::set<std::pair<host_address, host_address>> blockedLinks;
    // Every frame arrives twice.
    bool duplicate = false;
    std::uint64_t framesSent = 0;
};

// The network as one process sees it. Frames take a millisecond.
class fake_network final : public network
{
public:
    fake_network(std::shared_ptr<fake_links> links, host_address self);

    boost::asio::awaitable<result<std::shared_ptr<frame_connection>, network_failure>>
    connect(host_address address, steady_span timeout) override;
    result<done, network_failure> listen(const host_address &address,
                                         connection_handler handler) override;

    // The process is dead from now on: nothing that it sends arrives, nothing reaches it.
    void crash();

private:
    std::shared_ptr<fake_links> m_links;
    host_address m_self;
    std::shared_ptr<bool> m_dead;
};

} // namespace mango::test
