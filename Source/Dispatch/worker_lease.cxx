#include "Dispatch/worker_lease.h"

#include <algorithm>

namespace mango {

namespace {

// The most by which a worker's clock runs slower than the local one.
constexpr int maximumClockLagPercent = 2;
// Covers the rounding of worker times to milliseconds and timers that fire late.
constexpr auto roundingMargin = std::chrono::milliseconds(50);

} // namespace

void updateReading(std::optional<clock_reading> &reading, worker_time workerTime,
                   steady_time receivedAt)
{
    if (!reading || workerTime >= reading->workerTime) {
        reading = clock_reading{workerTime, receivedAt};
    }
}

worker_time estimateClock(const clock_reading &reading, steady_time now)
{
    return reading.workerTime
           + std::chrono::duration_cast<std::chrono::milliseconds>(now - reading.receivedAt);
}

steady_time latestExpiry(const clock_reading &reading, worker_time deadline)
{
    const auto remaining = std::max(deadline - reading.workerTime, worker_time(0));
    return reading.receivedAt + maximumLocalDuration(remaining);
}

steady_span maximumLocalDuration(std::chrono::milliseconds span)
{
    // A clock that is 2% slow takes 1 / 0.98 of the span.
    return span * 100 / (100 - maximumClockLagPercent) + roundingMargin;
}

} // namespace mango
