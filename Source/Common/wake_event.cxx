#include "Common/wake_event.h"

namespace mango {

wake_event::wake_event(clock_source &clock)
    : m_clock(clock)
{}

boost::asio::awaitable<bool> wake_event::waitFor(steady_span span)
{
    auto timer = m_clock.makeTimer();
    m_waiters.insert(timer.get());
    const bool elapsed = co_await timer->waitFor(span);
    m_waiters.erase(timer.get());
    co_return !elapsed;
}

void wake_event::notifyAll()
{
    for (wait_timer *waiter : m_waiters) {
        waiter->cancel();
    }
}

} // namespace mango
