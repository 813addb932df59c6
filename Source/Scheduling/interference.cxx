#include "Scheduling/interference.h"

#include <algorithm>

namespace mango {

namespace {

// The smoothing weight of a window with at least fullWindowResponses responses. Windows with fewer
// responses weigh proportionally less.
constexpr double windowWeight = 0.4;
constexpr double fullWindowResponses = 20;

} // namespace

mitigation_thresholds thresholdsFor(pool_weighting weighting)
{
    mitigation_thresholds thresholds;
    if (weighting == pool_weighting::batchThroughput) {
        thresholds.throttleAbove = 1.6;
        thresholds.evictAbove = 2.5;
        thresholds.releaseBelow = 1.3;
        thresholds.escalateWindows = 4;
        thresholds.releaseWindows = 4;
        thresholds.evictionCooldown = std::chrono::milliseconds(20'000);
    }
    return thresholds;
}

void observeResponses(interference_estimate &estimate, double responseMicroseconds,
                      std::uint32_t responses, double baseline)
{
    if (responses == 0) {
        return;
    }
    const double weight = windowWeight * std::min(1.0, responses / fullWindowResponses);
    estimate.responseMicroseconds =
            estimate.responseMicroseconds == 0
                    ? responseMicroseconds
                    : (1 - weight) * estimate.responseMicroseconds + weight * responseMicroseconds;
    if (baseline > 0) {
        estimate.slowdown = estimate.responseMicroseconds / baseline;
    }
}

mitigation_action nextMitigation(interference_estimate &estimate,
                                 const mitigation_thresholds &thresholds, std::uint32_t batchTasks,
                                 steady_time now)
{
    const bool high = estimate.slowdown > thresholds.throttleAbove;
    const bool low = estimate.slowdown < thresholds.releaseBelow;
    estimate.highWindows = high ? estimate.highWindows + 1 : 0;
    estimate.lowWindows = low ? estimate.lowWindows + 1 : 0;
    if (batchTasks == 0) {
        estimate.throttled = false;
        return mitigation_action::none;
    }
    if (estimate.highWindows >= thresholds.escalateWindows && !estimate.throttled) {
        estimate.throttled = true;
        estimate.highWindows = 0;
        return mitigation_action::throttle;
    }
    const bool evictionDue = estimate.throttled && estimate.slowdown > thresholds.evictAbove
                             && estimate.highWindows >= thresholds.escalateWindows
                             && now >= estimate.lastEviction + thresholds.evictionCooldown;
    if (evictionDue) {
        estimate.highWindows = 0;
        estimate.lastEviction = now;
        return mitigation_action::evict;
    }
    if (estimate.throttled && estimate.lowWindows >= thresholds.releaseWindows) {
        estimate.throttled = false;
        estimate.lowWindows = 0;
        return mitigation_action::release;
    }
    return mitigation_action::none;
}

std::optional<task_id> chooseVictim(const std::vector<eviction_candidate> &candidates,
                                    std::optional<priority_class> priorityLimit)
{
    const eviction_candidate *best = nullptr;
    for (const eviction_candidate &candidate : candidates) {
        if (candidate.evictions >= candidate.budget
            || (priorityLimit && candidate.priority >= *priorityLimit)) {
            continue;
        }
        const bool better =
                best == nullptr || candidate.priority < best->priority
                || (candidate.priority == best->priority && candidate.unsavedMs < best->unsavedMs);
        if (better) {
            best = &candidate;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->task);
}

double baselineResponseTime(std::vector<double> responseMicroseconds)
{
    std::erase_if(responseMicroseconds, [](double value) {
        return value <= 0;
    });
    if (responseMicroseconds.empty()) {
        return 0;
    }
    const std::size_t quartile = (responseMicroseconds.size() - 1) / 4;
    std::nth_element(responseMicroseconds.begin(),
                     responseMicroseconds.begin() + static_cast<std::ptrdiff_t>(quartile),
                     responseMicroseconds.end());
    return responseMicroseconds[quartile];
}

} // namespace mango
