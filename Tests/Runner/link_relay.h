#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>

#include "Common/settings.h"

namespace mango::test {

// What a relay does with a link: forward its bytes, lose them silently, or close its connections.
enum class link_mode { forward, block, refuse };

// TCP relays between processes, with which a scenario simulates network faults. In mode `block`
// connections stay open but all bytes are lost; connections that were open then stay blocked after
// the mode changes back, only new ones work. In mode `refuse` new connections are closed at once,
// and open ones when they next carry bytes.
class link_relays
{
public:
    link_relays();
    ~link_relays();
    link_relays(const link_relays &) = delete;
    link_relays &operator=(const link_relays &) = delete;

    // Adds a link in mode `forward`. Returns false if the relay cannot bind to the listen address.
    bool add(const std::string &name, const host_address &listen, const host_address &target);
    // Does nothing for an unknown link, as does blockOpenConnections().
    void setMode(const std::string &name, link_mode mode);
    // Blocks the connections that are open now for good; new ones work.
    void blockOpenConnections(const std::string &name);

private:
    struct link;
    boost::asio::io_context m_context;
    std::map<std::string, std::shared_ptr<link>> m_links;
    std::mutex m_mutex;
    std::thread m_thread;
};

} // namespace mango::test
