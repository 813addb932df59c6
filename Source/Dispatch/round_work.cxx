#include "Dispatch/round_work.h"

#include <utility>

namespace mango {

namespace {

constexpr std::uint32_t highestPriority = 0;
// A round that has placed so many tasks ends. Sending their start requests must not delay lease
// renewals and heartbeats for long.
constexpr std::size_t maximumStartsPerRound = 200;
// A round that has looked for workers for so long ends; the most urgent steps come first in the
// next one.
constexpr auto roundBudget = std::chrono::milliseconds(20);

} // namespace

round_end endBefore(std::uint32_t nextPriority, const round_progress &progress)
{
    if (progress.starts >= maximumStartsPerRound) {
        return round_end::starts;
    }
    if (progress.elapsed > roundBudget) {
        return round_end::budget;
    }
    const bool lastWasTooShort =
            progress.lastEnd == round_end::budget || progress.lastEnd == round_end::starts;
    return lastWasTooShort && progress.starts > 0 && nextPriority > highestPriority
                   ? round_end::urgent
                   : round_end::done;
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
