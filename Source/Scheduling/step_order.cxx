#include "Scheduling/step_order.h"

#include <tuple>

namespace mango {

namespace {

// The estimates of callers are rough. A step counts as late only when it would be late even if it
// took this percentage of its estimate.
constexpr int optimisticEstimatePercent = 70;

// The place of a step among those of its priority.
enum class step_class : std::uint8_t {
    restarts,
    overdueFirstRuns,
    shortTasks,
    longRunningFirstRuns
};

step_class classOf(const step_urgency &step)
{
    if (!step.longRunning) {
        return step_class::shortTasks;
    }
    if (step.isRestart) {
        return step_class::restarts;
    }
    return step.isOverdue ? step_class::overdueFirstRuns : step_class::longRunningFirstRuns;
}

// Returns 0 for a step that can be in time, 1 for one that will be late, 2 for one that will
// expire.
int lateness(const step_urgency &step, steady_time now)
{
    const auto shortest = step.remainingCriticalPath * optimisticEstimatePercent / 100;
    if (step.longRunning) {
        return 0;
    }
    if (now + shortest > step.expiresAt) {
        return 2;
    }
    return now + shortest > step.deadline ? 1 : 0;
}

} // namespace

bool precedes(const step_urgency &first, const step_urgency &second, steady_time now)
{
    const auto rank = [now](const step_urgency &step) {
        const int late = lateness(step, now);
        const steady_span sortKey =
                late == 0 ? step.deadline - step.remainingCriticalPath - steady_time{}
                          : steady_span(step.remainingCriticalPath);
        return std::make_tuple(late == 2, step.priority, classOf(step), step.yieldsToOthers, late,
                               sortKey);
    };
    return rank(first) < rank(second);
}

} // namespace mango
