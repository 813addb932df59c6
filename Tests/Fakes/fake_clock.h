#pragma once

#include <functional>
#include <set>

#include <boost/asio/io_context.hpp>

#include "Common/clock_source.h"

namespace mango::test {

// A clock that advances only when a test tells it to, and then runs the coroutines whose timers
// have expired.
class fake_clock final : public clock_source
{
public:
    explicit fake_clock(boost::asio::io_context &context);
    [[nodiscard]] steady_time now() const override;
    [[nodiscard]] std::chrono::system_clock::time_point wallTime() const override;
    std::unique_ptr<wait_timer> makeTimer() override;
    [[nodiscard]] steady_span workTime() const override
    {
        return readWorkTime ? readWorkTime() : m_now.time_since_epoch();
    }

    // The time that each reading of the clock takes, as in a process that gets little processor
    // time.
    steady_span readCost{0};
    // The source of workTime() when it is set.
    std::function<steady_span()> readWorkTime;
    // Advances the time from one expiring timer to the next and runs all ready handlers at each
    // step.
    void advance(steady_span span);
    // Advances the time in one step without running anything, as when the host is suspended.
    void jump(steady_span span)
    {
        m_now += span;
    }
    // Runs all ready handlers without advancing the time.
    void runReady();

private:
    class fake_timer;

    boost::asio::io_context &m_context;
    mutable steady_time m_now{std::chrono::hours(1)};
    std::set<std::pair<steady_time, fake_timer *>> m_timers;
};

} // namespace mango::test
