#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Fleet/customer.h"

namespace mango {

// A queue: callers submit jobs below a path of a host, and the workers of a service run them. The
// fields copied into queue_parameters are described there.
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
    // Time limit in milliseconds that the operator sets for the route; must be positive.
    std::chrono::milliseconds timeout{0};
    // Callers need no key.
    bool isPublic = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, host, pathPrefix, service, priority, maximumFailures, stretch, targetLatency,
                timeout, isPublic);
    }
};

// A service: a named group of workers.
struct worker_service
{
    std::string name;
    // The workers themselves refuse tasks that exceed their free resources.
    bool enforcesCapacity = true;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, enforcesCapacity);
    }
};

// Limits on the HTTP requests of callers.
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

// A complete configuration. `version` is assigned by the operator; `source` is the text that the
// operator uploaded, returned unchanged when it is read back.
struct fleet_configuration
{
    std::uint64_t version = 0;
    std::vector<queue_route> routes;
    std::vector<worker_service> services;
    caller_limits limits;
    // Without any, callers need no keys.
    std::vector<customer> customers;
    std::string source;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(version, routes, services, limits, customers, source);
    }
};

// Reason why a configuration is invalid.
struct configuration_failure
{
    enum class kind {
        unreadable,
        missingField,
        badField,
        unknownService,
        duplicateRoute,
        zeroTimeout,
        // Two customers have a key in common.
        sharedKey
    };
    kind reason = kind::unreadable;
    // The invalid route, service or field.
    std::string element;
};

// Returns the message for the operator whose configuration was rejected.
std::string describe(const configuration_failure &failure);

// Validates a configuration; nullopt if it is valid.
std::optional<configuration_failure> checkConfiguration(const fleet_configuration &configuration);

// Returns the customer whose key has the digest; nothing when no customer has it.
std::optional<customer_id> findCustomer(const fleet_configuration &configuration,
                                        const std::string &keyDigest);

// Returns the route of the host with the longest matching path prefix; nullptr when none matches.
const queue_route *findRoute(const fleet_configuration &configuration, const std::string &host,
                             const std::string &path);

} // namespace mango
