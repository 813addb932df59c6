#include "Fleet/configuration.h"

#include <map>
#include <set>

namespace mango {

std::string describe(const configuration_failure &failure)
{
    switch (failure.reason) {
    case configuration_failure::kind::unreadable:
        return "the configuration cannot be read: " + failure.element;
    case configuration_failure::kind::missingField:
        return failure.element + " is missing";
    case configuration_failure::kind::badField:
        return failure.element + " has a wrong type or is out of range";
    case configuration_failure::kind::unknownService:
        return "route " + failure.element + " names an unknown service";
    case configuration_failure::kind::duplicateRoute:
        return "route " + failure.element + " has the host and path of another route";
    case configuration_failure::kind::zeroTimeout:
        return "route " + failure.element + " has a timeout of 0";
    case configuration_failure::kind::sharedKey:
        return "customer " + failure.element + " has a key of another customer";
    }
    return "not a configuration";
}

std::optional<configuration_failure> checkConfiguration(const fleet_configuration &configuration)
{
    std::set<std::string> services;
    for (const worker_service &service : configuration.services) {
        services.insert(service.name);
    }
    std::set<std::pair<std::string, std::string>> places;
    for (const queue_route &route : configuration.routes) {
        if (!services.contains(route.service)) {
            return configuration_failure{configuration_failure::kind::unknownService, route.name};
        }
        if (!places.insert({route.host, route.pathPrefix}).second) {
            return configuration_failure{configuration_failure::kind::duplicateRoute, route.name};
        }
        if (route.timeout.count() <= 0) {
            return configuration_failure{configuration_failure::kind::zeroTimeout, route.name};
        }
    }
    std::map<std::string, std::string> customerByKey;
    for (const customer &one : configuration.customers) {
        for (const std::string &digest : one.keyDigests) {
            const auto [known, added] = customerByKey.emplace(digest, one.name);
            if (!added && known->second != one.name) {
                return configuration_failure{configuration_failure::kind::sharedKey, one.name};
            }
        }
    }
    return std::nullopt;
}

std::optional<customer_id> findCustomer(const fleet_configuration &configuration,
                                        const std::string &keyDigest)
{
    for (const customer &one : configuration.customers) {
        for (const std::string &digest : one.keyDigests) {
            if (digest == keyDigest) {
                return customerId(one.name);
            }
        }
    }
    return std::nullopt;
}

const queue_route *findRoute(const fleet_configuration &configuration, const std::string &host,
                             const std::string &path)
{
    const queue_route *best = nullptr;
    for (const queue_route &route : configuration.routes) {
        const bool fits = route.host == host && path.starts_with(route.pathPrefix);
        if (fits && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())) {
            best = &route;
        }
    }
    return best;
}

} // namespace mango
