#pragma once

#include <map>
#include <set>

#include <boost/asio/any_io_executor.hpp>

#include "Wire/network.h"

namespace mango::test {

// The simulated network between all processes of a test.
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
        // True once the listening process has crashed.
        std::shared_ptr<bool> crashed;
    };
    std::map<host_address, listener> listeners;
    // Pairs of sender and receiver whose frames are lost, in that direction only.
    std::set<std::pair<host_address, host_address>> blockedLinks;
    // When true, every frame is delivered twice.
    bool duplicateFrames = false;
    std::uint64_t framesSent = 0;
};

// The access of one process to the simulated network. Each frame takes 1 ms to arrive.
class fake_network final : public network
{
public:
    fake_network(std::shared_ptr<fake_links> links, host_address self);

    boost::asio::awaitable<result<std::shared_ptr<frame_connection>, network_failure>>
    connect(host_address address, steady_span timeout) override;
    result<done, network_failure> listen(const host_address &address,
                                         connection_handler handler) override;

    // Simulates a crash of the process: frames from and to it are lost from now on.
    void crash();

private:
    std::shared_ptr<fake_links> m_links;
    host_address m_self;
    std::shared_ptr<bool> m_crashed;
};

} // namespace mango::test
