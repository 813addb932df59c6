#pragma once

#include "Common/settings.h"

namespace mango {

// The settings of one process that takes callers' jobs.
struct gateway_settings
{
    // Where they were read from.
    std::string file;
    std::string cluster;
    std::string name;
    std::string logLevel;
    // For callers.
    host_address callers;
    // For the balancer's readiness checks.
    host_address readiness;
    // For metrics; without a port they are not served.
    host_address metrics;
    // Where replicas of the control may be.
    std::vector<host_address> seeds;
    // After a signal to stop: how long new connections are still taken, so that the balancer has
    // noticed, and how long those in progress may take in all.
    std::chrono::milliseconds leaveTime{2500};
    std::chrono::milliseconds shutdownTimeout{5200};
};

// Reads and checks the settings file of such a process.
result<gateway_settings, settings_failure> loadGatewaySettings(const std::string &path);

} // namespace mango
