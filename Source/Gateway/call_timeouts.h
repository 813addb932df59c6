#pragma once

#include <chrono>
#include <optional>

namespace mango {

// How long one call of a caller is worked at.
struct call_timeouts
{
    // How long a leader is looked for before the caller is told to come back.
    std::chrono::milliseconds leaderTimeout{0};
    // When the caller is answered at the latest, whatever is known by then.
    std::chrono::milliseconds totalTimeout{0};
};

// Answers the load of calls during a change of leader: most are served once the next one leads,
// the others get a truthful answer while their callers still wait for it.
call_timeouts callTimeoutsFor(std::optional<std::chrono::milliseconds> deadline);

} // namespace mango
