#include "Common/wake_event.h"

namespace mango {

// Unregisters a waiter also when its coroutine is destroyed while suspended.
class wake_event::registration
{
public:
    registration(std::set<wait_timer *> &waiters, wait_timer *timer)
        : m_waiters(waiters)
        , m_timer(timer)
    {
        m_waiters.insert(m_timer);
    }
    registration(const registration &) = delete;
    registration &operator=(const registration &) = delete;
    ~registration()
    {
        m_waiters.erase(m_timer);
    }

private:
    std::set<wait_timer *> &m_waiters;
    wait_timer *m_timer;
};

wake_event::wake_event(clock_source &clock)
    : m_clock(clock)
{}

boost::asio::awaitable<bool> wake_event::waitFor(steady_span duration)
{
    auto timer = m_clock.makeTimer();
    const registration registered(m_waiters, timer.get());
    const bool elapsed = co_await timer->waitFor(duration);
    co_return !elapsed;
}

void wake_event::notifyAll()
{
    for (wait_timer *waiter : m_waiters) {
        waiter->cancel();
    }
}

} // namespace mango
