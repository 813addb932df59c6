#pragma once

#include "Control/control_settings.h"
#include "Entry/selection.h"
#include "Http/http_server.h"
#include "Wire/tcp_network.h"

namespace mango {

// The settings of an entry process.
struct entry_settings
{
    std::string cluster;
    std::string name;
    std::string failureDomain;
    std::string dataFolder;
    std::string logLevel;
    // The control replicas.
    std::vector<host_address> control;
    // The server for callers' requests.
    http_server_options callers;
    // The server for workers' announcements and for metrics.
    http_server_options workers;
    tls_options security;
    // The time between reports to the control leader.
    std::chrono::milliseconds reportInterval{250};
    // How long requests in progress may take after a signal to stop.
    std::chrono::milliseconds drainTime{10'000};
    // How long requests are still accepted after SIGTERM, while the balancer notices that the
    // process is not ready.
    std::chrono::milliseconds balancerTime{0};
    selection_policy selection = selection_policy::fastestOfTwo;
    // Retries allowed per 100 requests; unused ones accumulate up to a limit.
    std::uint64_t retryPercent = 20;
};

// Reads and checks the settings file of mango_entry. Fails when it cannot be read, or a key is
// missing, unknown or invalid.
result<entry_settings, settings_failure> loadEntrySettings(const std::string &path);

} // namespace mango
