#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Common/clock_source.h"
#include "State/records.h"

namespace mango {

// The steps that relieve the services of a worker, from the cheapest to the dearest.
enum class relief_step : std::uint8_t { none, throttle, evict, release };

// When a step is taken. Ratios are answer time over the time on quiet workers.
struct interference_limits
{
    double throttleAbove = 1.25;
    double evictAbove = 1.6;
    double calmBelow = 1.1;
    // Windows in a row before a step up or down.
    std::uint32_t raiseWindows = 2;
    std::uint32_t calmWindows = 8;
    // The least time between two evictions on one worker.
    std::chrono::milliseconds evictionPause{5000};
};

// The limits for a pool: tail latency first acts early, batch throughput first acts late.
interference_limits limitsFor(pool_weighting weighting);

// What is known of the services of one worker.
struct interference_estimate
{
    // Smoothed answer time in microseconds; 0 before the first answer.
    double answerMicroseconds = 0;
    // Answer time over that of quiet workers.
    double slowdown = 1;
    std::uint32_t highWindows = 0;
    std::uint32_t calmWindows = 0;
    bool throttled = false;
    steady_time lastEviction{};
};

// Takes in the mean answer time of a window; `baseline` is that of quiet workers, 0 when unknown.
void observeAnswers(interference_estimate &estimate, double answerMicroseconds,
                    std::uint32_t answers, double baseline);

// Decides the next step for a worker that runs batch tasks, with hysteresis both ways.
relief_step nextRelief(interference_estimate &estimate, const interference_limits &limits,
                       std::uint32_t batchTasks, steady_time now);

// A batch task as a candidate for eviction.
struct eviction_candidate
{
    task_id task;
    priority_class priority = priority_class::normal;
    // Work since the last checkpoint, which an eviction without a new one would lose.
    std::uint64_t unsavedMs = 0;
    std::uint32_t evictions = 0;
    std::uint32_t budget = 0;
    double cores = 0;
};

// The least urgent candidate with budget left that loses the least work; nothing when none may be
// evicted. Only candidates below `ceiling` in urgency count, when it is given.
std::optional<task_id> chooseVictim(const std::vector<eviction_candidate> &candidates,
                                    std::optional<priority_class> ceiling);

// The answer time that most quiet workers show: the lower quartile of the smoothed times.
double quietBaseline(std::vector<double> answerMicroseconds);

} // namespace mango
