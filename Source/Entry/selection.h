#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Common/random_source.h"

namespace mango {

// How an entry chooses among the workers on which it has credits.
enum class selection_policy : std::uint8_t { fastestOfTwo, leastOutstanding, random };

// A worker that may get a request.
struct selection_candidate
{
    // Requests in progress and the credits of the entry.
    std::uint32_t inUse = 0;
    std::uint32_t limit = 0;
    // Smoothed response time; 0 before the first response.
    double responseMicroseconds = 0;
    // The leader keeps batch tasks off this worker; it is chosen before all others.
    bool preferred = false;
    // Failed recently or was tried for this request before; chosen only when there is no other.
    bool avoided = false;
};

// Returns the index of the chosen candidate, or nothing when none has a free credit. `fastestOfTwo`
// draws two at random and takes the one with the shorter expected response time, given its requests
// in progress (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing").
std::optional<std::size_t> selectWorker(const std::vector<selection_candidate> &candidates,
                                        selection_policy policy, random_source &random);

} // namespace mango
