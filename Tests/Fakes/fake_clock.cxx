#include "Fakes/fake_clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mango::test {

namespace {

// The number of waits that have begun, on all clocks.
std::uint64_t waitCount = 0;

} // namespace

class fake_clock::fake_timer final : public wait_timer
{
public:
    fake_timer(fake_clock &clock, boost::asio::io_context &context)
        : m_clock(clock)
        , m_wait(context)
    {}

    ~fake_timer() override
    {
        m_clock.m_timers.erase({m_dueAt, this});
    }

    boost::asio::awaitable<bool> waitFor(steady_span span) override
    {
        boost::system::error_code ignored;
        m_expired = false;
        m_dueAt = m_clock.m_now + std::max(span, steady_span(0));
        m_number = ++waitCount;
        m_clock.m_timers.insert({m_dueAt, this});
        m_wait.expires_at(steady_time::max());
        co_await m_wait.async_wait(
                boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        m_clock.m_timers.erase({m_dueAt, this});
        co_return m_expired;
    }

    void cancel() override
    {
        m_wait.cancel();
    }

    // Tells timers that are due at the same time apart: the one whose wait began first is first.
    [[nodiscard]] std::uint64_t number() const
    {
        return m_number;
    }

    void expire()
    {
        m_expired = true;
        m_wait.cancel();
    }

private:
    fake_clock &m_clock;
    boost::asio::steady_timer m_wait;
    steady_time m_dueAt{};
    std::uint64_t m_number = 0;
    bool m_expired = false;
};

fake_clock::fake_clock(boost::asio::io_context &context)
    : m_context(context)
{}

steady_time fake_clock::now() const
{
    return m_now;
}

std::chrono::system_clock::time_point fake_clock::wallTime() const
{
    return std::chrono::system_clock::time_point(
            std::chrono::duration_cast<std::chrono::system_clock::duration>(
                    m_now.time_since_epoch()));
}

std::unique_ptr<wait_timer> fake_clock::makeTimer()
{
    return std::make_unique<fake_timer>(*this, m_context);
}

void fake_clock::runReady()
{
    m_context.restart();
    while (m_context.poll() > 0) {
        m_context.restart();
    }
}

void fake_clock::advance(steady_span span)
{
    const steady_time end = m_now + span;
    runReady();
    while (!m_timers.empty() && m_timers.begin()->first <= end) {
        // The order of the set is that of addresses, which differ from run to run.
        auto first = m_timers.begin();
        for (auto at = first; at != m_timers.end() && at->first == first->first; ++at) {
            first = at->second->number() < first->second->number() ? at : first;
        }
        const auto [expiresAt, timer] = *first;
        m_timers.erase(first);
        m_now = std::max(m_now, expiresAt);
        timer->expire();
        runReady();
    }
    m_now = end;
    runReady();
}

} // namespace mango::test
