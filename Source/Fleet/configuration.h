#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mango {

// A queue: callers hand jobs in below a path of a host, and a service's workers run them.
struct queue_route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service;
    std::uint32_t priority = 0;
    std::uint32_t maximumFailures = 1;
    double stretch = 1;
    std::chrono::milliseconds targetLatency{0};
    std::chrono::milliseconds timeout{0};

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, host, pathPrefix, service, priority, maximumFailures, stretch, targetLatency,
                timeout);
    }
};

// A service: a group of workers under one name.
struct worker_service
{
    std::string name;
    // The workers themselves refuse what does not fit.
    bool enforcesCapacity = true;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, enforcesCapacity);
    }
};

// What callers may send.
struct caller_limits
{
    std::uint64_t headerBytes = 16U << 10U;
    std::uint64_t bodyBytes = 256U << 10U;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15'000};

    bool operator==(const caller_limits &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(headerBytes, bodyBytes, headerTimeout, idleTimeout);
    }
};

// A whole configuration with the operator's version number. `source` is what the operator sent, to
// be read back unchanged.
struct fleet_configuration
{
    std::uint64_t version = 0;
    std::vector<queue_route> routes;
    std::vector<worker_service> services;
    caller_limits limits;
    std::string source;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(version, routes, services, limits, source);
    }
};

// Why a configuration is not valid.
struct configuration_failure
{
    enum class kind {
        unreadable,
        missingField,
        badField,
        unknownService,
        duplicateRoute,
        zeroTimeout
    };
    kind reason = kind::unreadable;
    // The route, service or field that is wrong.
    std::string element;
};

std::string describe(const configuration_failure &failure);

// Checks what every accepted configuration must fulfil.
std::optional<configuration_failure> checkConfiguration(const fleet_configuration &configuration);

// The route with the longest prefix of the path; nothing when none fits.
const queue_route *findRoute(const fleet_configuration &configuration, const std::string &host,
                             const std::string &path);

} // namespace mango
