#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Common/settings.h"

namespace mango {

// How early work is served and how late it is shed.
enum class priority_class : std::uint8_t { low, normal, urgent };

// What a route does with a request: answer it directly, or make it a batch job.
enum class route_kind : std::uint8_t { request, batch };

// What one task needs of a worker.
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

// One row of the table of routes.
struct route
{
    std::string name;
    std::string pathPrefix;
    std::string method;
    std::string pool;
    std::string team;
    route_kind kind = route_kind::request;
    priority_class priority = priority_class::normal;
    bool idempotent = false;
    bool hedged = false;
    std::chrono::milliseconds deadline{1000};
    task_size size;
    std::uint32_t taskCount = 1;
    std::uint32_t evictionBudget = 3;
};

// What the operators of a pool weigh most when services and batch work compete.
enum class pool_weighting : std::uint8_t { tailLatency, batchThroughput };

// One row of the table of pools.
struct pool
{
    std::string name;
    std::vector<std::string> workers;
    task_size requestSize;
    std::uint32_t reservedSlots = 1;
    std::map<std::string, double> quotaCores;
    pool_weighting weighting = pool_weighting::tailLatency;
};

using routes = std::vector<route>;
using pools = std::vector<pool>;

// Reads the table of routes; a failure names the row and key.
result<routes, settings_failure> parseRoutes(const std::string &text);

// Reads the table of pools; a failure names the row and key.
result<pools, settings_failure> parsePools(const std::string &text);

// The route with the longest matching path prefix, or null.
const route *matchRoute(const routes &table, const std::string &method, const std::string &path);

// The pool of that name, or null.
const pool *findPool(const pools &table, const std::string &name);

// True when the pool lists the worker, by name or by a pattern that ends in '*'.
bool poolIncludes(const pool &row, const std::string &worker);

} // namespace mango
