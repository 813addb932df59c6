#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Common/clock_source.h"

namespace mango {

// State of the rate limit on log lines, by windows of one second. Lines about one request or job
// share a correlation id and are only useful together. Under load they are therefore sampled by
// that id: all lines of some requests or jobs are written, and none of the others.
struct log_budget
{
    steady_time windowStart{};
    // Lines with a correlation id in this window, written or not.
    std::uint32_t offeredLines = 0;
    std::uint32_t writtenLines = 0;
    // Correlation ids that hash to a lower bucket are written.
    std::uint32_t admittedBuckets = 0;
    // Lines without a correlation id in this window, by event.
    std::map<std::string, std::uint32_t> uncorrelatedLines;
};

// The number of buckets that correlation ids are hashed to for sampling.
inline constexpr std::uint32_t sampleBuckets = 1024;

// Counts a line of the event and returns whether it may be written. The correlation id is empty for
// lines that have none.
bool admitLine(log_budget &budget, const std::string &event, const std::string &correlationId,
               steady_time now);

} // namespace mango
