#include "Scheduling/run_progress.h"

#include <algorithm>

namespace mango {

namespace {

// Workers report once per second, so that shorter periods are not significant.
constexpr auto minimumStall = std::chrono::milliseconds(2300);
constexpr auto minimumSilence = std::chrono::milliseconds(1300);
constexpr auto minimumAge = std::chrono::milliseconds(1200);
// The upper limit for the run time of a task, as a multiple of its estimate.
constexpr int maximumRunTimeFactor = 20;
// When a task has stalled on this number of workers, the cause is the task itself.
constexpr std::uint32_t maximumTriedWorkers = 2;
// A run is a straggler when its expected run time exceeds this percentage of its estimate.
// Estimates are off by up to 90%.
constexpr int stragglerPercent = 250;
constexpr auto initialBackoff = std::chrono::milliseconds(3000);
constexpr auto maximumBackoff = std::chrono::milliseconds(24'000);
// A single failure or stall may be caused by the task.
constexpr std::uint32_t toleratedConsecutive = 1;

// Returns the total run time, extrapolated from the progress so far.
std::chrono::milliseconds expectedTotal(const run_progress &run)
{
    return run.progressPercent == 0 ? run.age * 4 : run.age * 100 / run.progressPercent;
}

// Returns true when the run has made no progress for far longer than one percent of its work took.
bool isStalled(const run_progress &run)
{
    const auto timePerPercent =
            run.progressPercent == 0
                    ? run.estimate * maximumRunTimeFactor / 100
                    : (run.age - run.stalledFor) / static_cast<int>(run.progressPercent);
    return run.stalledFor >= std::max<std::chrono::milliseconds>(minimumStall, timePerPercent * 3);
}

bool isStraggler(const run_progress &run)
{
    return run.age >= minimumAge && expectedTotal(run) > run.estimate * stragglerPercent / 100;
}

} // namespace

bool isCertainlyKept(const run_progress &run)
{
    if (run.longRunning) {
        return true;
    }
    if (run.allowsSpeculativeCopies) {
        return run.age < minimumAge && run.workerSilentFor < minimumSilence && !run.unconfirmed;
    }
    return run.throttledByScheduler || run.age < minimumAge || run.stalledFor < minimumStall;
}

run_action decideRunAction(const run_progress &run)
{
    if (run.longRunning) {
        return run_action::keep;
    }
    const bool stalled = !run.throttledByScheduler && run.age >= minimumAge && isStalled(run);
    if (run.allowsSpeculativeCopies) {
        const bool unreachable = run.workerSilentFor >= minimumSilence || run.unconfirmed;
        if (!unreachable && !stalled && (run.throttledByScheduler || !isStraggler(run))) {
            return run_action::keep;
        }
        if (run.survivedStart) {
            return run_action::copy;
        }
        return run.isSuspect ? run_action::keep : run_action::copyOnTrial;
    }
    // A run cannot be stopped on a silent worker, which does not respond to requests.
    const bool canMove = run.workerSilentFor < minimumSilence && !run.unconfirmed
                         && run.triedWorkerCount < maximumTriedWorkers;
    return stalled && canMove ? run_action::move : run_action::keep;
}

std::chrono::milliseconds backoffFor(const worker_failure_streak &health)
{
    const std::uint32_t count = std::max(health.consecutiveFailures, health.consecutiveStalls);
    if (count <= toleratedConsecutive) {
        return std::chrono::milliseconds(0);
    }
    const std::uint32_t doublings = std::min<std::uint32_t>(count - toleratedConsecutive - 1, 4);
    return std::min<std::chrono::milliseconds>(initialBackoff * (1 << doublings), maximumBackoff);
}

} // namespace mango
