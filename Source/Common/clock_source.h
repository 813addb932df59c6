#pragma once

#include <chrono>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace mango {

// A time point of the monotonic clock of one process, not comparable between processes. The clock
// includes time during which the host was suspended, so that leases also expire during a
// suspension.
using steady_time = std::chrono::steady_clock::time_point;

// A duration measured with the monotonic clock.
using steady_span = std::chrono::steady_clock::duration;

// A timer that one coroutine waits for and that others can cancel.
class wait_timer
{
public:
    virtual ~wait_timer() = default;
    // Waits for the duration; returns true when it elapsed and false when cancel() ended the wait.
    virtual boost::asio::awaitable<bool> waitFor(steady_span duration) = 0;
    // Ends a wait in progress; has no effect without one.
    virtual void cancel() = 0;
};

// The clock and timers that all components use. Tests replace it by a clock that they advance
// explicitly.
class clock_source
{
public:
    virtual ~clock_source() = default;
    // Returns the monotonic time, which includes suspensions of the host.
    [[nodiscard]] virtual steady_time now() const = 0;
    // Returns the wall-clock time. It may jump, so it is for records and logs only; decisions use
    // now().
    [[nodiscard]] virtual std::chrono::system_clock::time_point wallTime() const = 0;
    // Returns a time of which the difference between two calls is taken for the work done between
    // them.
    [[nodiscard]] virtual steady_span workTime() const
    {
        return now().time_since_epoch();
    }
    // Returns the processor time that the calling thread has used, as far as it is known.
    [[nodiscard]] virtual steady_span processorTime() const
    {
        return steady_span(0);
    }
    // Creates a timer that uses this clock.
    virtual std::unique_ptr<wait_timer> makeTimer() = 0;
    // Suspends the calling coroutine for the duration.
    boost::asio::awaitable<void> sleepFor(steady_span duration);
};

// The clock of the operating system; its timers run on the given executor.
class system_clock_source final : public clock_source
{
public:
    explicit system_clock_source(boost::asio::any_io_executor executor);
    [[nodiscard]] steady_time now() const override;
    [[nodiscard]] std::chrono::system_clock::time_point wallTime() const override;
    [[nodiscard]] steady_span processorTime() const override;
    std::unique_ptr<wait_timer> makeTimer() override;

private:
    boost::asio::any_io_executor m_executor;
};

} // namespace mango
