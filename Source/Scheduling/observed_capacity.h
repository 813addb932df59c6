#pragma once

#include <cstdint>
#include <optional>

#include "Common/clock_source.h"
#include "Jobs/job_graph.h"

namespace mango {

// What the answers of a worker to start requests tell about its resources. A worker whose resources
// have shrunk refuses starts until its next announcement arrives, and longer when it does not
// announce the change.
struct observed_capacity
{
    // What the worker certainly has: the resources of its runs when it last refused a start for
    // lack of resources, and of those that it has accepted since. Nothing while the announced
    // capacity is believed. Otherwise one start at a time is sent.
    std::optional<resource_amounts> limit;
    // The number of refusals in a row, each of a start that was sent after the refusal before it
    // had arrived.
    std::uint32_t refusals = 0;
    steady_time refusedAt{};
    // The announced capacity is offered again from then on.
    steady_time probeAt{};
    // When the announced capacity last changed.
    steady_time announcedAt{};
};

// A start that a worker has refused for lack of resources.
struct refused_start
{
    steady_time sentAt{};
    // The resources of the runs that are certainly on the worker.
    resource_amounts inUse;
};

// Limits the capacity to what is in use; to nothing when the start was within the limit, as the
// worker then has less than its runs use. Returns false for a start that was sent before the
// announced capacity changed, which explains the refusal. The pause before the next probe doubles
// with each refusal in a row, beginning with `pause`.
bool recordRefusedStart(observed_capacity &observed, const refused_start &refused, steady_time now,
                        std::chrono::milliseconds pause);

// A start that a worker has accepted.
struct accepted_start
{
    steady_time sentAt{};
    // The resources of the runs that are certainly on the worker, with this one.
    resource_amounts inUse;
};

// Raises the limit to what is in use. Returns true when the announced capacity is believed again,
// since no start has been refused for a long time.
bool recordAcceptedStart(observed_capacity &observed, const accepted_start &accepted,
                         steady_time now);

// Records that the worker has announced another capacity than before, which is believed.
void recordAnnouncedCapacity(observed_capacity &observed, steady_time now);

// Returns the capacity that the worker may be offered with.
resource_amounts offeredCapacity(const observed_capacity &observed,
                                 const resource_amounts &announced, steady_time now);

} // namespace mango
