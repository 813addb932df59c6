#include "Scheduling/run_progress.h"

#include <algorithm>

namespace mango {

namespace {

// Listings come once a second, so that shorter spans tell nothing.
constexpr auto standsStill = std::chrono::milliseconds(2300);
constexpr auto silentLong = std::chrono::milliseconds(1300);
constexpr auto youngest = std::chrono::milliseconds(1200);
// A task takes at most that many times its estimate.
constexpr int longestFactor = 20;
// A task that stands still on so many workers does so by its own nature.
constexpr std::uint32_t enoughTries = 2;
// A run that is expected to take that many times its estimate lags, in percent; estimates are off
// by up to 90%.
constexpr int laggingPercent = 250;
constexpr auto firstRest = std::chrono::milliseconds(3000);
constexpr auto longestRest = std::chrono::milliseconds(24'000);
// One failure or stall may be the task's own fault.
constexpr std::uint32_t toleratedInRow = 1;

// What the run takes in all when it goes on as before.
std::chrono::milliseconds expectedTotal(const run_progress &run)
{
    return run.percent == 0 ? run.age * 4 : run.age * 100 / run.percent;
}

// True when the run has done nothing for far longer than it took for a hundredth of its work.
bool standsStillNow(const run_progress &run)
{
    const auto forOnePercent = run.percent == 0
                                       ? run.estimate * longestFactor / 100
                                       : (run.age - run.stalledFor) / static_cast<int>(run.percent);
    return run.stalledFor >= std::max<std::chrono::milliseconds>(standsStill, forOnePercent * 3);
}

bool lags(const run_progress &run)
{
    return run.age >= youngest && expectedTotal(run) > run.estimate * laggingPercent / 100;
}

} // namespace

run_action decideRunAction(const run_progress &run)
{
    if (run.longRunning) {
        return run_action::keep;
    }
    const bool standing = !run.throttledByScheduler && run.age >= youngest && standsStillNow(run);
    if (run.allowsCopies) {
        const bool outOfSight = run.workerSilentFor >= silentLong || run.unsure;
        return outOfSight || standing || (!run.throttledByScheduler && lags(run))
                       ? run_action::copy
                       : run_action::keep;
    }
    // Orders to a silent worker get no answer, so that nothing can be moved.
    const bool canMove =
            run.workerSilentFor < silentLong && !run.unsure && run.triedWorkerCount < enoughTries;
    return standing && canMove ? run_action::move : run_action::keep;
}

std::chrono::milliseconds backoffFor(const worker_health &health)
{
    const std::uint32_t worst = std::max(health.consecutiveFailures, health.consecutiveStalls);
    if (worst <= toleratedInRow) {
        return std::chrono::milliseconds(0);
    }
    const std::uint32_t doublings = std::min<std::uint32_t>(worst - toleratedInRow - 1, 4);
    return std::min<std::chrono::milliseconds>(firstRest * (1 << doublings), longestRest);
}

} // namespace mango
