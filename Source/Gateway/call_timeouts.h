#pragma once

#include <chrono>
#include <optional>

namespace mango {

// How long the gateway works on one call of a caller.
struct call_timeouts
{
    // How long to look for a leader before the call is refused with a Retry-After.
    std::chrono::milliseconds leaderTimeout{0};
    // The time after which the caller gets a response, whatever is known by then.
    std::chrono::milliseconds totalTimeout{0};
};

// The time limits of a call with the given deadline, counted from its arrival. They are chosen for
// changes of leader: most calls wait for the next leader and are served, and the others get a
// response that says what is known before their callers give up. Without a deadline, 3 s are
// assumed.
call_timeouts callTimeoutsFor(std::optional<std::chrono::milliseconds> deadline);

} // namespace mango
