#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Common/clock_source.h"
#include "State/records.h"

namespace mango {

// The actions that reduce the interference of batch tasks with the services of a worker, in order
// of increasing cost; `release` ends the throttling.
enum class mitigation_action : std::uint8_t { none, throttle, evict, release };

// When an action is taken. The thresholds apply to the slowdown: the response time divided by that
// of workers without interference.
struct mitigation_thresholds
{
    double throttleAbove = 1.25;
    double evictAbove = 1.6;
    double releaseBelow = 1.1;
    // The number of consecutive windows above or below a threshold before an action is taken.
    std::uint32_t escalateWindows = 2;
    std::uint32_t releaseWindows = 8;
    // The minimum time between two evictions on one worker.
    std::chrono::milliseconds evictionCooldown{5000};
};

// Returns the thresholds for a pool. Pools weighted for tail latency act early, those weighted for
// batch throughput late.
mitigation_thresholds thresholdsFor(pool_weighting weighting);

// The state of the interference with the services of one worker.
struct interference_estimate
{
    // The smoothed response time in microseconds; 0 before the first response.
    double responseMicroseconds = 0;
    // The response time divided by that of workers without interference.
    double slowdown = 1;
    std::uint32_t highWindows = 0;
    std::uint32_t lowWindows = 0;
    bool throttled = false;
    steady_time lastEviction{};
};

// Updates the estimate with the mean response time of a window and its number of responses.
// `baseline` is the response time of workers without interference, in microseconds; 0 when unknown.
void observeResponses(interference_estimate &estimate, double responseMicroseconds,
                      std::uint32_t responses, double baseline);

// Returns the next action for a worker that runs batch tasks, and updates the estimate accordingly.
// Call it once per window. Hysteresis applies in both directions.
mitigation_action nextMitigation(interference_estimate &estimate,
                                 const mitigation_thresholds &thresholds, std::uint32_t batchTasks,
                                 steady_time now);

// A batch task that may be evicted.
struct eviction_candidate
{
    task_id task;
    priority_class priority = priority_class::normal;
    // The work since the last checkpoint, which an eviction without a new checkpoint would lose.
    std::uint64_t unsavedMs = 0;
    std::uint32_t evictions = 0;
    std::uint32_t budget = 0;
    double cores = 0;
};

// Returns the candidate of the lowest priority, and among those the one that loses the least work.
// Candidates without eviction budget are skipped, and so are those whose priority is not below
// `priorityLimit`, when it is given. Returns nothing when no candidate remains.
std::optional<task_id> chooseVictim(const std::vector<eviction_candidate> &candidates,
                                    std::optional<priority_class> priorityLimit);

// Returns an estimate of the response time of workers without interference: the lower quartile of
// the positive values, or 0 without any.
double baselineResponseTime(std::vector<double> responseMicroseconds);

} // namespace mango
