#pragma once

#include "Common/wake_event.h"

namespace mango {

// Keeps coroutines of one executor out of a section that another one is suspended in.
class async_lock
{
public:
    explicit async_lock(clock_source &clock)
        : m_released(clock)
    {}

    // Releases the lock when it goes out of scope.
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
