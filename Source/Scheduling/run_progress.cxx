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
    return run.progressPercent == 0 ? run.age * 4 : run.age * 100 / run.progressPercent;
}

// True when the run has done nothing for far longer than it took for a hundredth of its work.
bool standsStillNow(const run_progress &run)
{
    const auto forOnePercent =
            run.progressPercent == 0
                    ? run.estimate * longestFactor / 100
                    : (run.age - run.standing) / static_cast<int>(run.progressPercent);
    return run.standing >= std::max<std::chrono::milliseconds>(standsStill, forOnePercent * 3);
}

bool lags(const run_progress &run)
{
    return run.age >= youngest && expectedTotal(run) > run.estimate * laggingPercent / 100;
}

} // namespace

progress_step adviseOnRun(const run_progress &run)
{
    if (run.longRunning) {
        return progress_step::keep;
    }
    const bool standing = !run.heldBack && run.age >= youngest && standsStillNow(run);
    if (run.allowsSpeculativeCopies) {
        const bool outOfSight = run.silent >= silentLong || run.unsure;
        return outOfSight || standing || (!run.heldBack && lags(run)) ? progress_step::copy
                                                                      : progress_step::keep;
    }
    // Orders to a silent worker get no answer, so that nothing can be moved.
    const bool canMove = run.silent < silentLong && !run.unsure && run.triedElsewhere < enoughTries;
    return standing && canMove ? progress_step::move : progress_step::keep;
}

std::chrono::milliseconds restFor(const worker_health &health)
{
    const std::uint32_t worst = std::max(health.failuresInRow, health.stallsInRow);
    if (worst <= toleratedInRow) {
        return std::chrono::milliseconds(0);
    }
    const std::uint32_t doublings = std::min<std::uint32_t>(worst - toleratedInRow - 1, 4);
    return std::min<std::chrono::milliseconds>(firstRest * (1 << doublings), longestRest);
}

} // namespace mango
