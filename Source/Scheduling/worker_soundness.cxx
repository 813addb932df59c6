#include "Scheduling/worker_soundness.h"

#include <algorithm>

namespace mango {

namespace {

// Scores of sound workers that fit equally well differ by less; see soundScoreOf().
constexpr std::int64_t singleFailureCost = 160'000;
// Higher than the cost of another rack.
constexpr std::int64_t unsoundCost = 400'000;
constexpr std::int64_t unprovenCost = 160'000;
// After this time a worker in doubt is tried again.
constexpr auto triedAfter = std::chrono::milliseconds(3000);
// How long a success counts as recent.
constexpr auto provenFor = std::chrono::milliseconds(4000);

} // namespace

worker_doubt doubtOf(const worker_soundness &worker, steady_time now)
{
    worker_doubt doubt;
    const bool inBackoff = backoffFor(worker.streak).count() > 0;
    doubt.rests = now < worker.backoffUntil || (inBackoff && worker.hasProbe);
    doubt.oneAtATime = inBackoff;
    if (inBackoff) {
        doubt.urgentCost = now < worker.backoffUntil + triedAfter ? unsoundCost : 0;
    } else if (worker.failedAt && now < *worker.failedAt + triedAfter) {
        doubt.urgentCost = singleFailureCost;
        doubt.otherCost = singleFailureCost;
    }
    const bool isProven = worker.doneAt && now - *worker.doneAt <= provenFor;
    doubt.retryCost = isProven ? 0 : unprovenCost;
    return doubt;
}

} // namespace mango
