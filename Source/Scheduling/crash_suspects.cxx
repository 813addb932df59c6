#include "Scheduling/crash_suspects.h"

#include <algorithm>

namespace mango {

namespace {

// A run that was reported for longer clears its task of earlier suspicions.
constexpr auto clearedAfter = std::chrono::seconds(10);
// Idle workers are heard once per second, so that simultaneous crashes appear this far apart.
constexpr auto burstWindow = std::chrono::milliseconds(1000);
constexpr std::size_t minimumBurst = 3;
// The smallest share of the workers that counts as a burst, as a divisor.
constexpr std::size_t burstDivisor = 20;

} // namespace

std::vector<crash_blame> assignBlame(const std::vector<run_at_crash> &runs, bool otherCause)
{
    const auto unsettled = std::count_if(runs.begin(), runs.end(), [](const run_at_crash &run) {
        return run.survivedFor < startSurvivedAfter;
    });
    std::vector<crash_blame> blames;
    blames.reserve(runs.size());
    for (const run_at_crash &run : runs) {
        if (run.survivedFor >= clearedAfter) {
            blames.push_back(crash_blame::cleared);
        } else if (run.survivedFor >= startSurvivedAfter) {
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
                return since >= at - burstWindow && since <= at + burstWindow;
            }));
    return count >= std::max(minimumBurst, workerCount / burstDivisor);
}

} // namespace mango
