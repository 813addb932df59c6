#pragma once

#include <set>

#include "Common/clock_source.h"

namespace mango {

// Lets coroutines of one executor wait until something changed or a time has passed.
class wake_event
{
public:
    explicit wake_event(clock_source &clock);
    // Waits for notifyAll(); true when notified, false when the span elapsed first.
    boost::asio::awaitable<bool> waitFor(steady_span span);
    // Wakes every coroutine that waits now.
    void notifyAll();

private:
    class registration;

    clock_source &m_clock;
    std::set<wait_timer *> m_waiters;
};

} // namespace mango
