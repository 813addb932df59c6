#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Common/settings.h"

namespace mango {

// Work of a higher class is served earlier and shed later.
enum class priority_class : std::uint8_t { low, normal, urgent };

// Whether a request to a route is dispatched to a worker at once or submitted as a batch job.
enum class route_kind : std::uint8_t { request, batch };

// The resources that one task or request needs on a worker.
struct task_size
{
    double cores = 1;
    std::uint64_t memoryBytes = 256ULL << 20U;
    std::uint32_t accelerators = 0;
    std::uint32_t slots = 1;

    bool operator==(const task_size &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(cores, memoryBytes, accelerators, slots);
    }
};

// One row of the routing table.
struct route
{
    std::string name;
    std::string pathPrefix;
    std::string method;
    std::string pool;
    std::string team;
    route_kind kind = route_kind::request;
    priority_class priority = priority_class::normal;
    // Executing a request more than once has the same effect as executing it once.
    bool idempotent = false;
    // A request that is slow to be answered is also sent to a second worker.
    bool hedged = false;
    // The maximum time from the arrival of a request to its response.
    std::chrono::milliseconds deadline{1000};
    // Defaults of batch jobs.
    task_size size;
    std::uint32_t taskCount = 1;
    std::uint32_t evictionBudget = 3;
};

// Which objective takes precedence in a pool when services and batch work compete.
enum class pool_weighting : std::uint8_t { tailLatency, batchThroughput };

// One row of the pool table.
struct pool
{
    std::string name;
    // Names, or prefixes followed by '*'.
    std::vector<std::string> workers;
    task_size requestSize;
    // Slots of each worker that batch tasks do not use.
    std::uint32_t reservedSlots = 1;
    // Maximum cores in use per team; a team that is not listed has no quota.
    std::map<std::string, double> quotaCores;
    pool_weighting weighting = pool_weighting::tailLatency;
};

using routes = std::vector<route>;
using pools = std::vector<pool>;

// Parses the routing table. A failure names the row and key.
result<routes, settings_failure> parseRoutes(const std::string &text);

// Parses the pool table. A failure names the row and key.
result<pools, settings_failure> parsePools(const std::string &text);

// Returns the route for the method with the longest matching path prefix, or null.
const route *matchRoute(const routes &table, const std::string &method, const std::string &path);

// Returns the pool with that name, or null.
const pool *findPool(const pools &table, const std::string &name);

// Returns true if the pool lists the worker by its name or by a prefix followed by '*'.
bool poolIncludes(const pool &row, const std::string &worker);

} // namespace mango
