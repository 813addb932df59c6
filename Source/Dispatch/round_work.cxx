#include "Dispatch/round_work.h"

#include <algorithm>
#include <utility>

namespace mango {

namespace {

// A round that has placed so many tasks ends. Sending their start requests must not delay lease
// renewals and heartbeats for long.
constexpr std::size_t maximumStartsPerRound = 200;
// A round that has taken so long ends; the most urgent steps come first in the next one.
constexpr auto roundBudget = std::chrono::milliseconds(20);

} // namespace

std::optional<round_end> endOfRound(const round_progress &progress)
{
    if (progress.starts >= maximumStartsPerRound) {
        return round_end::starts;
    }
    const steady_span mostPlacing = std::max(roundBudget - progress.prepared, progress.prepared);
    if (progress.stepsTried > 0 && progress.placing > mostPlacing) {
        return round_end::budget;
    }
    return std::nullopt;
}

round_part enterPart(round_work &work, round_part part, steady_time now)
{
    if (work.part != round_part::outside) {
        work.spent[static_cast<std::size_t>(work.part)] += now - work.partSince;
    }
    work.partSince = now;
    return std::exchange(work.part, part);
}

} // namespace mango
