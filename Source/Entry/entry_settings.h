#pragma once

#include "Control/control_settings.h"
#include "Entry/selection.h"
#include "Http/http_server.h"
#include "Wire/tcp_network.h"

namespace mango {

// The settings of one entry process.
struct entry_settings
{
    std::string cluster;
    std::string name;
    std::string failureDomain;
    std::string dataFolder;
    std::string logLevel;
    std::vector<host_address> control;
    http_server_options callers;
    http_server_options workers;
    link_security security;
    std::chrono::milliseconds reportInterval{250};
    std::chrono::milliseconds drainTime{10'000};
    // After SIGTERM, how long the balancer may take to notice that the process is not ready.
    std::chrono::milliseconds balancerTime{0};
    selection_policy selection = selection_policy::fastestOfTwo;
    // Retries allowed for each 100 requests, over a while.
    std::uint64_t retryPercent = 20;
};

// Reads and checks the settings file of mango_entry.
result<entry_settings, settings_failure> loadEntrySettings(const std::string &path);

} // namespace mango
