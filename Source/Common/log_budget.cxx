#include "Common/log_budget.h"

#include <algorithm>

namespace mango {

namespace {

// Writing 200 lines per second uses about 0.5 % of a core.
constexpr std::uint32_t correlatedLinesPerSecond = 200;
// A burst within one second may exceed the limit by this factor. Beyond that lines are suppressed
// even if others with their correlation id have been written.
constexpr std::uint32_t burstFactor = 2;
// For lines without a correlation id.
constexpr std::uint32_t linesPerEventPerSecond = 40;

// Uses FNV-1a with the finalizer of MurmurHash3, which is the same in all processes, so that they
// sample the same correlation ids. std::hash does not guarantee that.
std::uint32_t sampleBucketOf(const std::string &correlationId)
{
    std::uint32_t hash = 2166136261U;
    for (const char character : correlationId) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 16777619U;
    }
    hash = (hash ^ (hash >> 16U)) * 0x85ebca6bU;
    hash = (hash ^ (hash >> 13U)) * 0xc2b2ae35U;
    return (hash ^ (hash >> 16U)) % sampleBuckets;
}

void startWindow(log_budget &budget, steady_time now)
{
    const bool first = budget.windowStart == steady_time{};
    const std::uint32_t affordableBuckets =
            budget.offeredLines <= correlatedLinesPerSecond
                    ? sampleBuckets
                    : std::max(1U, sampleBuckets * correlatedLinesPerSecond / budget.offeredLines);
    // At most doubles per second, so that a pause in a burst does not admit all lines again.
    budget.admittedBuckets =
            first ? sampleBuckets : std::min(affordableBuckets, budget.admittedBuckets * 2);
    budget.windowStart = now;
    budget.offeredLines = 0;
    budget.writtenLines = 0;
    budget.uncorrelatedLines.clear();
}

} // namespace

bool admitLine(log_budget &budget, const std::string &event, const std::string &correlationId,
               steady_time now)
{
    if (budget.windowStart == steady_time{}
        || now - budget.windowStart >= std::chrono::seconds(1)) {
        startWindow(budget, now);
    }
    if (correlationId.empty()) {
        return ++budget.uncorrelatedLines[event] <= linesPerEventPerSecond;
    }
    ++budget.offeredLines;
    if (sampleBucketOf(correlationId) >= budget.admittedBuckets
        || budget.writtenLines >= correlatedLinesPerSecond * burstFactor) {
        return false;
    }
    ++budget.writtenLines;
    return true;
}

} // namespace mango
