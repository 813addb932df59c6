#include "Gateway/call_timeouts.h"

#include <algorithm>

namespace mango {

namespace {

// Most changes of leader take less time; see docs/MEASUREMENTS.md.
constexpr auto maximumLeaderTimeout = std::chrono::milliseconds(900);
// Used for callers that send no deadline: the shortest deadline seen among those that do.
constexpr auto defaultDeadline = std::chrono::milliseconds(3000);
constexpr auto maximumDeadline = std::chrono::milliseconds(60'000);
// The time reserved for the response to reach the caller before its deadline.
constexpr auto responseMargin = std::chrono::milliseconds(150);

} // namespace

call_timeouts callTimeoutsFor(std::optional<std::chrono::milliseconds> deadline)
{
    const auto allowed = std::clamp(deadline.value_or(defaultDeadline),
                                    std::chrono::milliseconds(0), maximumDeadline);
    call_timeouts timeouts;
    timeouts.totalTimeout = std::max(allowed - responseMargin, allowed / 2);
    timeouts.leaderTimeout = std::min(maximumLeaderTimeout, timeouts.totalTimeout);
    return timeouts;
}

} // namespace mango
