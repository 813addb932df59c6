#include "Common/clock_source.h"

#include <ctime>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mango {

namespace {

class system_wait_timer final : public wait_timer
{
public:
    explicit system_wait_timer(const boost::asio::any_io_executor &executor)
        : m_timer(executor)
    {}

    boost::asio::awaitable<bool> waitFor(steady_span duration) override
    {
        boost::system::error_code error;
        m_timer.expires_after(duration);
        co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
        co_return !error;
    }

    void cancel() override
    {
        m_timer.cancel();
    }

private:
    boost::asio::steady_timer m_timer;
};

} // namespace

boost::asio::awaitable<void> clock_source::sleepFor(steady_span duration)
{
    auto timer = makeTimer();
    co_await timer->waitFor(duration);
}

system_clock_source::system_clock_source(boost::asio::any_io_executor executor)
    : m_executor(std::move(executor))
{}

steady_time system_clock_source::now() const
{
    // std::chrono::steady_clock does not advance while the host is suspended.
    std::timespec time = {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return steady_time(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

std::chrono::system_clock::time_point system_clock_source::wallTime() const
{
    return std::chrono::system_clock::now();
}

steady_span system_clock_source::processorTime() const
{
    std::timespec time = {};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

std::unique_ptr<wait_timer> system_clock_source::makeTimer()
{
    return std::make_unique<system_wait_timer>(m_executor);
}

} // namespace mango
