#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>

#include "Common/settings.h"

namespace mango::test {

// What a relay does with the bytes of a link.
enum class link_mode { pass, silent, refuse };

// Relays TCP between two processes, so that a scenario can cut the link: `silent` keeps connections
// open and loses everything, old connections for good; `refuse` closes them.
class link_relays
{
public:
    link_relays();
    ~link_relays();
    link_relays(const link_relays &) = delete;
    link_relays &operator=(const link_relays &) = delete;

    // False when the address cannot be listened at.
    bool add(const std::string &name, const host_address &listen, const host_address &target);
    void setMode(const std::string &name, link_mode mode);
    // Loses track of the connections that are open now; new ones work.
    void forgetConnections(const std::string &name);

private:
    struct link;
    boost::asio::io_context m_context;
    std::map<std::string, std::shared_ptr<link>> m_links;
    std::mutex m_mutex;
    std::thread m_thread;
};

} // namespace mango::test
