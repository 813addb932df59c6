#include "Scheduling/crash_trials.h"

#include <algorithm>

namespace mango {

namespace {

// The largest share of the workers that may have a trial, as a divisor.
constexpr std::size_t trialDivisor = 8;

// The cost of losing what runs on a worker; lower is better.
std::uint32_t costOf(const trial_candidate &candidate)
{
    constexpr std::uint32_t longRunningCost = 3;
    constexpr std::uint32_t unheardCost = 500;
    constexpr std::uint32_t recentCrashCost = 1000;
    constexpr std::uint32_t suspectCost = 200'000;
    constexpr std::uint32_t unsettledCost = 100'000;
    return candidate.runs + candidate.longRunningRuns * (longRunningCost - 1)
           + (candidate.hasUnsettledRuns ? unsettledCost : 0)
           + (candidate.suspectRuns > 0 ? suspectCost : 0) + (candidate.unheard ? unheardCost : 0)
           + candidate.recentCrashes * recentCrashCost;
}

} // namespace

std::size_t maximumTrials(std::size_t workerCount)
{
    return std::max<std::size_t>(1, workerCount / trialDivisor);
}

int chooseTrialOffer(const std::vector<worker_offer> &offers, const trial_source &candidates,
                     const placement_request &request, trial_company company)
{
    int best = -1;
    std::uint32_t bestCost = 0;
    for (std::size_t at = 0; at < offers.size(); ++at) {
        if (!fits(offers[at], request)) {
            continue;
        }
        const trial_candidate candidate = candidates(at);
        if (candidate.hasUnsettledRuns && company == trial_company::settledRuns) {
            continue;
        }
        const std::uint32_t cost = costOf(candidate);
        if (best < 0 || cost < bestCost) {
            best = static_cast<int>(at);
            bestCost = cost;
        }
    }
    return best;
}

} // namespace mango
