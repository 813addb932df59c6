#include "Runner/free_ports.h"

#include <boost/asio.hpp>

namespace mango::test {

namespace asio = boost::asio;
using asio::ip::tcp;

std::vector<std::uint16_t> freePorts(const std::string &ip, std::size_t count)
{
    asio::io_context context;
    // All stay open until the last port is chosen: the system may choose one that was closed again.
    std::vector<tcp::acceptor> probes;
    std::vector<std::uint16_t> ports;
    while (ports.size() < count) {
        probes.emplace_back(context, tcp::endpoint(asio::ip::make_address(ip), 0));
        ports.push_back(probes.back().local_endpoint().port());
    }
    return ports;
}

} // namespace mango::test
