#pragma once

#include "Common/clock_source.h"
#include "Fleet/worker_client.h"

namespace mango {

// The time of a worker's clock in one of its responses. The clock counts from the start of the
// worker and may run up to 2% slower than the local clock.
struct clock_reading
{
    worker_time workerTime{0};
    // When the response arrived, on the local clock; later than when the worker read its clock.
    steady_time receivedAt{};
};

// Replaces the reading unless the new one is older, as in a response that another one overtook.
void updateReading(std::optional<clock_reading> &reading, worker_time workerTime,
                   steady_time receivedAt);

// Estimates what the worker's clock shows now.
worker_time estimateClock(const clock_reading &reading, steady_time now);

// The local time from which the worker's clock has certainly passed the deadline.
steady_time latestExpiry(const clock_reading &reading, worker_time deadline);

// The longest time on the local clock in which a span passes on a worker's clock.
steady_span maximumLocalDuration(std::chrono::milliseconds span);

} // namespace mango
