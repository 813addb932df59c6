#include "Scheduling/crash_suspects.h"

#include <algorithm>

namespace mango {

namespace {

// A run that was reported for longer clears its task of earlier suspicions.
constexpr auto clearedAfter = std::chrono::seconds(10);
// A worker on trial is heard every 200 ms, others when a run ends, so that simultaneous crashes
// appear this far apart.
constexpr auto burstBefore = std::chrono::milliseconds(600);
constexpr auto burstAfter = std::chrono::milliseconds(300);
constexpr std::size_t minimumBurst = 4;
// The smallest share of the workers that counts as a burst, as a divisor.
constexpr std::size_t burstDivisor = 8;

} // namespace

std::vector<crash_blame> assignBlame(const std::vector<run_at_crash> &runs, bool otherCause)
{
    const auto unsettled = std::count_if(runs.begin(), runs.end(), [](const run_at_crash &run) {
        return run.survivedFor < startSurvivedAfter && !run.requestedLate;
    });
    std::vector<crash_blame> blames;
    blames.reserve(runs.size());
    for (const run_at_crash &run : runs) {
        if (run.survivedFor >= clearedAfter) {
            blames.push_back(crash_blame::cleared);
        } else if (run.survivedFor >= startSurvivedAfter || run.requestedLate) {
            blames.push_back(crash_blame::bystander);
        } else {
            blames.push_back(unsettled == 1 && run.onTrial && !otherCause ? crash_blame::sole
                                                                          : crash_blame::shared);
        }
    }
    return blames;
}

bool isCrashBurst(const std::vector<steady_time> &silentSince, steady_time at,
                  std::size_t workerCount)
{
    const auto count = static_cast<std::size_t>(
            std::count_if(silentSince.begin(), silentSince.end(), [at](steady_time since) {
                return since >= at - burstBefore && since <= at + burstAfter;
            }));
    return count >= std::max(minimumBurst, workerCount / burstDivisor);
}

} // namespace mango
