#pragma once

#include <boost/asio/any_io_executor.hpp>

#include "Common/counters.h"
#include "Wire/network.h"

namespace mango {

// The files for mutual TLS between processes; all empty means plain TCP.
struct tls_options
{
    std::string certificateFile;
    std::string keyFile;
    std::string certificateAuthorityFile;

    [[nodiscard]] bool enabled() const
    {
        return !certificateFile.empty();
    }
};

// What a TCP network needs to know of its process.
struct tcp_network_options
{
    std::string clusterName;
    tls_options security;
};

// Frame connections over TCP, with mutual TLS when the options name its files. Bytes and frames
// are counted as mango_link_bytes_total and mango_link_frames_total.
std::unique_ptr<network> makeTcpNetwork(boost::asio::any_io_executor executor, clock_source &clock,
                                        counters &metricsRegistry,
                                        const tcp_network_options &options);

// Checks the TLS files of the options; the failure names the file.
result<done, network_failure> checkSecurity(const tls_options &security);

} // namespace mango
