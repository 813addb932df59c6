#pragma once

#include <set>

#include "Common/clock_source.h"

namespace mango {

// A condition that coroutines of one executor wait for with a timeout. It is not thread-safe.
class wake_event
{
public:
    explicit wake_event(clock_source &clock);
    // Waits for notifyAll(); returns true when notified and false when the duration elapsed first.
    // A notification before the wait has no effect.
    boost::asio::awaitable<bool> waitFor(steady_span duration);
    // Resumes all coroutines that are waiting.
    void notifyAll();

private:
    class registration;

    clock_source &m_clock;
    std::set<wait_timer *> m_waiters;
};

} // namespace mango
