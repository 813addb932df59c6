#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Common/random_source.h"

namespace mango {

// How an entry chooses among the workers it holds credits on.
enum class selection_policy : std::uint8_t { fastestOfTwo, leastOutstanding, random };

// A worker that could take a request now.
struct selection_candidate
{
    std::uint32_t inUse = 0;
    std::uint32_t limit = 0;
    // Smoothed answer time in microseconds; 0 before the first answer.
    double responseMicroseconds = 0;
    // Kept free of batch work by the leader; taken before all others.
    bool preferred = false;
    // Failed lately or was tried for this request before; chosen only when nothing else is left.
    bool avoided = false;
};

// The place of the chosen candidate; nothing when none has a free credit. `fastestOfTwo` draws two
// and takes the one whose expected answer time, with the requests it has in progress, is shorter
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing").
std::optional<std::size_t> selectWorker(const std::vector<selection_candidate> &candidates,
                                        selection_policy policy, random_source &random);

} // namespace mango
