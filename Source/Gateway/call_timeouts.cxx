#include "Gateway/call_timeouts.h"

#include <algorithm>

namespace mango {

namespace {

// A change of leader mostly takes less; see docs/MEASUREMENTS.md.
constexpr auto leaderPatience = std::chrono::milliseconds(900);
// Callers who say no deadline are answered by then, as the shortest deadline that was seen.
constexpr auto defaultDeadline = std::chrono::milliseconds(3000);
constexpr auto longestDeadline = std::chrono::milliseconds(60'000);
// An answer must leave that long before the caller's deadline to arrive in time.
constexpr auto answerMargin = std::chrono::milliseconds(150);

} // namespace

call_timeouts callTimeoutsFor(std::optional<std::chrono::milliseconds> deadline)
{
    const auto allowed = std::clamp(deadline.value_or(defaultDeadline),
                                    std::chrono::milliseconds(0), longestDeadline);
    call_timeouts patience;
    patience.totalTimeout = std::max(allowed - answerMargin, allowed / 2);
    patience.leaderTimeout = std::min(leaderPatience, patience.totalTimeout);
    return patience;
}

} // namespace mango
