#include "Scheduling/crash_suspects.h"

#include <algorithm>

namespace mango {

namespace {

// A run that was reported for longer clears its task of earlier suspicions.
constexpr auto clearedAfter = std::chrono::seconds(10);
// A worker that was not heard for longer than this after a start has crashed immediately after it.
constexpr auto immediatelyAfter = std::chrono::milliseconds(150);
// A worker with a trial is heard every 100 ms, others when a run ends, so that simultaneous crashes
// appear this far apart.
constexpr auto burstBefore = std::chrono::milliseconds(600);
constexpr auto burstAfter = std::chrono::milliseconds(300);
constexpr std::size_t minimumBurst = 4;
// The smallest share of the workers that counts as a burst, as a divisor.
constexpr std::size_t burstDivisor = 8;

crash_blame blameOf(const run_at_crash &run, bool onlyUnsettled, bool otherCause)
{
    if (run.survivedFor >= clearedAfter) {
        return crash_blame::cleared;
    }
    if (run.survivedFor >= startSurvivedAfter) {
        return crash_blame::bystander;
    }
    if (run.confirmation != run_confirmation::confirmed) {
        return run.confirmation == run_confirmation::unknown ? crash_blame::possible
                                                             : crash_blame::unanswered;
    }
    const bool immediately = run.survivedFor < immediatelyAfter;
    if (!run.onTrial || !onlyUnsettled) {
        return immediately ? crash_blame::immediate : crash_blame::shared;
    }
    return immediately && !otherCause ? crash_blame::sole : crash_blame::likely;
}

} // namespace

std::vector<crash_blame> assignBlame(const std::vector<run_at_crash> &runs, bool otherCause)
{
    const auto unsettled = std::count_if(runs.begin(), runs.end(), [](const run_at_crash &run) {
        return run.survivedFor < startSurvivedAfter;
    });
    std::vector<crash_blame> blames;
    blames.reserve(runs.size());
    for (const run_at_crash &run : runs) {
        blames.push_back(blameOf(run, unsettled == 1, otherCause));
    }
    const bool trialToBlame = std::any_of(blames.begin(), blames.end(), [](crash_blame blame) {
        return blame == crash_blame::likely || blame == crash_blame::sole;
    });
    if (trialToBlame) {
        std::replace(blames.begin(), blames.end(), crash_blame::bystander, crash_blame::unrelated);
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
