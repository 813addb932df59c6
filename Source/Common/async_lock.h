#pragma once

#include "Common/wake_event.h"

namespace mango {

// A mutex for coroutines of one executor, which may suspend while they hold it. It is not
// thread-safe, and coroutines that wait may acquire it in any order.
class async_lock
{
public:
    explicit async_lock(clock_source &clock)
        : m_released(clock)
    {}

    // Holds the lock until it is destroyed; must not outlive the lock.
    class guard
    {
    public:
        explicit guard(async_lock *owner)
            : m_owner(owner)
        {}
        guard(guard &&other) noexcept
            : m_owner(std::exchange(other.m_owner, nullptr))
        {}
        guard(const guard &) = delete;
        guard &operator=(const guard &) = delete;
        guard &operator=(guard &&) = delete;
        ~guard()
        {
            if (m_owner != nullptr) {
                m_owner->m_held = false;
                m_owner->m_released.notifyAll();
            }
        }

    private:
        async_lock *m_owner;
    };

    // Suspends the caller until the lock is free, then takes it.
    boost::asio::awaitable<guard> acquire()
    {
        while (m_held) {
            co_await m_released.waitFor(std::chrono::seconds(1));
        }
        m_held = true;
        co_return guard(this);
    }

private:
    bool m_held = false;
    wake_event m_released;
};

} // namespace mango
