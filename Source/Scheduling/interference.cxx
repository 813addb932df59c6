#include "Scheduling/interference.h"

#include <algorithm>

namespace mango {

namespace {

// The weight of a full window; windows of few answers count for less.
constexpr double windowWeight = 0.4;
constexpr double fullWindowAnswers = 20;

} // namespace

interference_limits limitsFor(pool_weighting weighting)
{
    interference_limits limits;
    if (weighting == pool_weighting::batchThroughput) {
        limits.throttleAbove = 1.6;
        limits.evictAbove = 2.5;
        limits.calmBelow = 1.3;
        limits.raiseWindows = 4;
        limits.calmWindows = 4;
        limits.evictionPause = std::chrono::milliseconds(20'000);
    }
    return limits;
}

void observeAnswers(interference_estimate &estimate, double answerMicroseconds,
                    std::uint32_t answers, double baseline)
{
    if (answers == 0) {
        return;
    }
    const double weight = windowWeight * std::min(1.0, answers / fullWindowAnswers);
    estimate.answerMicroseconds =
            estimate.answerMicroseconds == 0
                    ? answerMicroseconds
                    : (1 - weight) * estimate.answerMicroseconds + weight * answerMicroseconds;
    if (baseline > 0) {
        estimate.slowdown = estimate.answerMicroseconds / baseline;
    }
}

relief_step nextRelief(interference_estimate &estimate, const interference_limits &limits,
                       std::uint32_t batchTasks, steady_time now)
{
    const bool high = estimate.slowdown > limits.throttleAbove;
    const bool calm = estimate.slowdown < limits.calmBelow;
    estimate.highWindows = high ? estimate.highWindows + 1 : 0;
    estimate.calmWindows = calm ? estimate.calmWindows + 1 : 0;
    if (batchTasks == 0) {
        estimate.throttled = false;
        return relief_step::none;
    }
    if (estimate.highWindows >= limits.raiseWindows && !estimate.throttled) {
        estimate.throttled = true;
        estimate.highWindows = 0;
        return relief_step::throttle;
    }
    const bool evictionDue = estimate.throttled && estimate.slowdown > limits.evictAbove
                             && estimate.highWindows >= limits.raiseWindows
                             && now >= estimate.lastEviction + limits.evictionPause;
    if (evictionDue) {
        estimate.highWindows = 0;
        estimate.lastEviction = now;
        return relief_step::evict;
    }
    if (estimate.throttled && estimate.calmWindows >= limits.calmWindows) {
        estimate.throttled = false;
        estimate.calmWindows = 0;
        return relief_step::release;
    }
    return relief_step::none;
}

std::optional<task_id> chooseVictim(const std::vector<eviction_candidate> &candidates,
                                    std::optional<priority_class> ceiling)
{
    const eviction_candidate *best = nullptr;
    for (const eviction_candidate &candidate : candidates) {
        if (candidate.evictions >= candidate.budget
            || (ceiling && candidate.priority >= *ceiling)) {
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

double quietBaseline(std::vector<double> answerMicroseconds)
{
    std::erase_if(answerMicroseconds, [](double value) {
        return value <= 0;
    });
    if (answerMicroseconds.empty()) {
        return 0;
    }
    const std::size_t quartile = (answerMicroseconds.size() - 1) / 4;
    std::nth_element(answerMicroseconds.begin(),
                     answerMicroseconds.begin() + static_cast<std::ptrdiff_t>(quartile),
                     answerMicroseconds.end());
    return answerMicroseconds[quartile];
}

} // namespace mango
