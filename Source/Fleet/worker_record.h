#pragma once

#include <algorithm>

#include "Common/settings.h"
#include "Jobs/job_records.h"

namespace mango {

// The properties that a worker announces, as far as the scheduler needs them.
struct worker_record
{
    worker_incarnation incarnation;
    host_address address;
    std::string failureDomain;
    std::string service;
    std::vector<std::string> labels;
    resource_amounts capacity;
    // The worker is shutting down and accepts no new work.
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

// A heartbeat of a worker. The sequence number increases with each one, so that heartbeats that
// arrive out of order are recognised.
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
