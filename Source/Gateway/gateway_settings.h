#pragma once

#include "Common/settings.h"
#include "Http/connection_budget.h"

namespace mango {

// The settings of a gateway, a process that accepts callers' jobs and forwards them to the leader.
struct gateway_settings
{
    // The path of the settings file, for reloads.
    std::string file;
    std::string cluster;
    std::string name;
    std::string logLevel;
    // The address to listen on for callers.
    host_address callers;
    // The address to listen on for the balancer's readiness checks.
    host_address readiness;
    // The address to listen on for metrics; without a port they are not served.
    host_address metrics;
    // Addresses where control replicas may be found.
    std::vector<host_address> seeds;
    // What all connections of callers and of the platform's checks hold together.
    connection_budget_limits connections;
    // How long new connections are still accepted after a signal to stop, while the balancer
    // notices that the process is not ready.
    std::chrono::milliseconds leaveTime{2500};
    // How long the shutdown may take in all, leaveTime included.
    std::chrono::milliseconds shutdownTimeout{5200};
};

// Reads and checks the settings file of a gateway. Fails when it cannot be read, or a key is
// missing, unknown or invalid.
result<gateway_settings, settings_failure> loadGatewaySettings(const std::string &path);

} // namespace mango
