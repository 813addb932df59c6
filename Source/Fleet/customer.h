#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Jobs/job_graph.h"

namespace mango {

// A customer's number, which follows from its name; 0 for work of no customer.
using customer_id = std::uint64_t;

// Resources of many tasks together; in a quota 0 means no limit.
struct resource_totals
{
    std::uint64_t milliCores = 0;
    std::uint64_t memoryMb = 0;
    std::uint64_t accelerators = 0;

    bool operator==(const resource_totals &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(milliCores, memoryMb, accelerators);
    }
};

// A customer: callers that share keys, a quota and a share.
struct customer
{
    std::string name;
    // The digests of the keys with which its callers identify themselves.
    std::vector<std::string> keyDigests;
    // Its share, relative to those of other customers, when the workers are full. Also the number
    // of jobs that it may hand in each second before others go first.
    double weight = 1;
    // What it may have running on all workers together.
    resource_totals quota;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, keyDigests, weight, quota);
    }
};

// Returns the number of the customer with that name.
customer_id customerId(const std::string &name);

// Returns the SHA-256 digest of a key, 32 bytes. Keys themselves are neither compared nor logged,
// so that the time of a comparison tells nothing about them.
std::string digestOfKey(std::string_view key);

} // namespace mango
