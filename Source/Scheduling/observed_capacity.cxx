#include "Scheduling/observed_capacity.h"

#include <algorithm>

namespace mango {

namespace {

// The pause before a probe is at most this many times doubled.
constexpr std::uint32_t mostPauseDoublings = 3;
// The announced capacity is believed again after this time without a refusal.
constexpr auto limitLifetime = std::chrono::seconds(15);

resource_amounts lesserOf(const resource_amounts &one, const resource_amounts &other)
{
    return {std::min(one.milliCores, other.milliCores), std::min(one.memoryMb, other.memoryMb),
            std::min(one.accelerators, other.accelerators)};
}

} // namespace

bool recordRefusedStart(observed_capacity &observed, const refused_start &refused, steady_time now,
                        std::chrono::milliseconds pause)
{
    if (refused.sentAt <= observed.announcedAt) {
        return false;
    }
    const bool sentTogether = observed.refusals > 0 && refused.sentAt <= observed.refusedAt;
    if (observed.limit && sentTogether) {
        observed.limit = lesserOf(*observed.limit, refused.inUse);
    } else if (observed.limit && refused.sentAt < observed.probeAt) {
        observed.limit = resource_amounts{};
    } else {
        observed.limit = refused.inUse;
    }
    if (!sentTogether) {
        const std::uint32_t doublings = std::min(observed.refusals, mostPauseDoublings);
        observed.probeAt = now + pause * (1U << doublings);
        ++observed.refusals;
    }
    observed.refusedAt = now;
    return true;
}

bool recordAcceptedStart(observed_capacity &observed, const accepted_start &accepted,
                         steady_time now)
{
    if (!observed.limit) {
        return false;
    }
    resource_amounts &limit = *observed.limit;
    const resource_amounts &inUse = accepted.inUse;
    const bool exceedsLimit = inUse.milliCores > limit.milliCores || inUse.memoryMb > limit.memoryMb
                              || inUse.accelerators > limit.accelerators;
    if (exceedsLimit && accepted.sentAt > observed.refusedAt) {
        observed.refusals = 0;
    }
    limit = {std::max(limit.milliCores, inUse.milliCores), std::max(limit.memoryMb, inUse.memoryMb),
             std::max(limit.accelerators, inUse.accelerators)};
    if (now - observed.refusedAt < limitLifetime) {
        return false;
    }
    observed.limit.reset();
    observed.refusals = 0;
    return true;
}

void recordAnnouncedCapacity(observed_capacity &observed, steady_time now)
{
    observed = {};
    observed.announcedAt = now;
}

resource_amounts offeredCapacity(const observed_capacity &observed,
                                 const resource_amounts &announced, steady_time now)
{
    if (!observed.limit || now >= observed.probeAt) {
        return announced;
    }
    return lesserOf(announced, *observed.limit);
}

} // namespace mango
