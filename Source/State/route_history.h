#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "State/tables.h"

namespace mango {

// A request as an entry has matched it with a route.
struct routed_request
{
    std::string method;
    std::string path;
    // The version of the configuration that the entry had.
    std::uint64_t configVersion = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(method, path, configVersion);
    }
};

// For each method and path prefix in the routing table, the version of the configuration since
// which it has been there without interruption.
using route_history = std::map<std::pair<std::string, std::string>, std::uint64_t>;

// Replaces the history by that of the table, which comes into force with this version.
void recordRoutes(route_history &history, const routes &table, std::uint64_t configVersion);

// Returns true when there has certainly been a route for the request in all versions since the one
// that it was matched in.
bool hasStayedRouted(const route_history &history, const routed_request &request);

} // namespace mango
