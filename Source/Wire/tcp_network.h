#pragma once

#include <boost/asio/any_io_executor.hpp>

#include "Common/metrics_registry.h"
#include "Wire/network.h"

namespace mango {

// PEM files for mutual TLS between processes; plain TCP is used when they are empty.
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

// Options of a TCP network. Peers with another cluster name are rejected.
struct tcp_network_options
{
    std::string clusterName;
    tls_options security;
};

// Creates a network over TCP, with mutual TLS when the options name its files. It counts bytes and
// frames in the metrics mango_link_bytes_total and mango_link_frames_total, and rejected frames and
// connections in mango_link_frames_refused_total.
std::unique_ptr<network> makeTcpNetwork(boost::asio::any_io_executor executor, clock_source &clock,
                                        metrics_registry &metricsRegistry,
                                        const tcp_network_options &options);

// Checks that the TLS files can be loaded; the failure lists them with the error.
result<done, network_failure> checkSecurity(const tls_options &security);

} // namespace mango
