#include "Scheduling/worker_soundness.h"

#include <algorithm>

namespace mango {

namespace {

// A span in which a run at the expected pace advances by less tells nothing.
constexpr int minimumExpectedPercent = 20;
// A run is slow when it takes more than this percentage of its expected time. Estimates are off by
// up to 90%.
constexpr int slowPercent = 250;
constexpr int normalPercent = 170;
// Scores of sound workers that fit equally well differ by less; see soundScoreOf().
constexpr std::int64_t singleFailureCost = 160'000;
// Higher than the cost of another rack.
constexpr std::int64_t unsoundCost = 400'000;
constexpr std::int64_t unprovenCost = 160'000;
// After this time a worker in doubt is tried again, by tasks of the highest priority later.
constexpr auto triedAfter = std::chrono::milliseconds(3000);
constexpr auto triedByUrgentAfter = std::chrono::milliseconds(12'000);
// How long a success counts as recent.
constexpr auto provenFor = std::chrono::milliseconds(4000);

} // namespace

run_pace paceOf(const pace_sample &sample)
{
    if (sample.expected.count() <= 0
        || sample.span * 100 < sample.expected * minimumExpectedPercent) {
        return run_pace::unknown;
    }
    // The percentage is rounded down.
    if (sample.span * 100 * 100 > sample.expected * slowPercent * (sample.percent + 1)) {
        return run_pace::slow;
    }
    return sample.span * 100 * 100 <= sample.expected * normalPercent * sample.percent
                   ? run_pace::normal
                   : run_pace::unknown;
}

worker_doubt doubtOf(const worker_soundness &worker, steady_time now)
{
    worker_doubt doubt;
    const bool inBackoff = backoffFor(worker.streak).count() > 0;
    doubt.rests = now < worker.backoffUntil || (inBackoff && worker.hasProbe);
    doubt.oneAtATime = inBackoff || worker.slowAt;
    if (inBackoff) {
        doubt.urgentCost = now < worker.backoffUntil + triedAfter ? unsoundCost : 0;
    } else if (worker.failedAt && now < *worker.failedAt + triedAfter) {
        doubt.urgentCost = singleFailureCost;
        doubt.otherCost = singleFailureCost;
    }
    if (worker.slowAt && (worker.hasProbe || now < *worker.slowAt + triedByUrgentAfter)) {
        doubt.urgentCost = unsoundCost;
    }
    if (worker.slowAt && (worker.hasProbe || now < *worker.slowAt + triedAfter)) {
        doubt.otherCost = unsoundCost;
    }
    const bool isProven = worker.doneAt && now - *worker.doneAt <= provenFor;
    doubt.retryCost = isProven ? 0 : unprovenCost;
    return doubt;
}

} // namespace mango
