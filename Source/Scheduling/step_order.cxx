#include "Scheduling/step_order.h"

#include <tuple>

namespace mango {

namespace {

// Callers' estimates are rough: a step counts as late only when it would be at this share of them.
constexpr int estimatePercent = 70;

// 0 can be in time, 1 will be late, 2 earns nothing any more.
int lateness(const step_urgency &step, steady_time now)
{
    const auto shortest = step.chainLeft * estimatePercent / 100;
    if (step.longRunning) {
        return 0;
    }
    if (now + shortest > step.worthless) {
        return 2;
    }
    return now + shortest > step.due ? 1 : 0;
}

} // namespace

bool precedes(const step_urgency &first, const step_urgency &second, steady_time now)
{
    const auto rank = [now](const step_urgency &step) {
        const int late = lateness(step, now);
        const steady_span order =
                late == 0 ? step.due - step.chainLeft - steady_time{} : steady_span(step.chainLeft);
        return std::make_tuple(late == 2, step.priority, step.longRunning, late, order);
    };
    return rank(first) < rank(second);
}

} // namespace mango
