#pragma once

#include <algorithm>

#include "Common/settings.h"
#include "Jobs/job_records.h"

namespace mango {

// What a worker says of itself when it announces itself, as far as the scheduler needs it.
struct worker_record
{
    worker_incarnation incarnation;
    host_address address;
    std::string failureDomain;
    std::string service;
    std::vector<std::string> labels;
    resource_amounts capacity;
    // It is about to end and takes no new work.
    bool draining = false;

    bool operator==(const worker_record &) const = default;

    [[nodiscard]] bool hasLabel(const std::string &label) const
    {
        return std::find(labels.begin(), labels.end(), label) != labels.end();
    }

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(incarnation, address, failureDomain, service, labels, capacity, draining);
    }
};

// One announcement: the record, a number that rises with each, and the worker's clock.
struct worker_heartbeat
{
    worker_record record;
    std::uint64_t sequence = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(record, sequence);
    }
};

} // namespace mango
