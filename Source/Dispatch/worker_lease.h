#pragma once

#include "Common/clock_source.h"
#include "Fleet/worker_client.h"

namespace mango {

// A worker's clock as one answer showed it. The clock runs from the worker's start and may be up to
// 2% slower than ours.
struct clock_reading
{
    worker_time shown{0};
    // When the answer arrived; the worker's clock has moved on since it was read.
    steady_time receivedAt{};
};

// Keeps the reading that tells more: the later one.
void noteReading(std::optional<clock_reading> &reading, worker_time shown, steady_time receivedAt);

// About what the worker's clock shows now.
worker_time estimateClock(const clock_reading &reading, steady_time now);

// From when on the worker's clock has certainly passed the deadline.
steady_time certainlyPast(const clock_reading &reading, worker_time deadline);

// A span on a worker's clock takes at most this long on ours.
steady_span longestWait(std::chrono::milliseconds span);

} // namespace mango
