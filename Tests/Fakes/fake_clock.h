#pragma once

#include <set>

#include <boost/asio/io_context.hpp>

#include "Common/clock_source.h"

namespace mango::test {

// A clock that stands still until a test advances it, running the coroutines that become due.
class fake_clock final : public clock_source
{
public:
    explicit fake_clock(boost::asio::io_context &context);
    [[nodiscard]] steady_time now() const override;
    [[nodiscard]] std::chrono::system_clock::time_point wallTime() const override;
    std::unique_ptr<wait_timer> makeTimer() override;

    // Moves the time on, from one due timer to the next, and runs everything that is ready.
    void advance(steady_span span);
    // Moves the time on at once, as a suspension of the host does: nothing runs meanwhile.
    void jump(steady_span span)
    {
        m_now += span;
    }
    // Runs everything that is ready without moving the time.
    void runReady();

private:
    class fake_timer;

    boost::asio::io_context &m_context;
    steady_time m_now{std::chrono::hours(1)};
    std::set<std::pair<steady_time, fake_timer *>> m_due;
};

} // namespace mango::test
