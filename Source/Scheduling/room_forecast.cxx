#include "Scheduling/room_forecast.h"

#include <algorithm>
#include <utility>

namespace mango {

std::chrono::milliseconds expectedRemainingTime(const run_progress &run)
{
    const auto remaining = std::max(run.estimate - run.age, run.age / 2);
    if (!run.throttledByScheduler || run.progressPercent >= 100) {
        return remaining;
    }
    const auto done = std::max(1U, run.progressPercent);
    return std::max(remaining, run.age * (100 - done) / done);
}

std::optional<std::chrono::milliseconds>
timeUntilFree(const worker_offer &offer, const std::vector<expected_release> &releases,
              const resource_amounts &needed)
{
    const resource_amounts &capacity = offer.record->capacity;
    auto cores = std::int64_t(capacity.milliCores) - offer.used.milliCores;
    auto memory = std::int64_t(capacity.memoryMb) - offer.used.memoryMb;
    auto accelerators = std::int64_t(capacity.accelerators) - offer.used.accelerators;
    const auto suffice = [&] {
        return cores >= needed.milliCores && memory >= needed.memoryMb
               && accelerators >= needed.accelerators;
    };
    std::chrono::milliseconds in{0};
    for (const expected_release &release : releases) {
        if (suffice()) {
            break;
        }
        in = release.in;
        cores += release.resources.milliCores;
        memory += release.resources.memoryMb;
        accelerators += release.resources.accelerators;
    }
    if (!suffice()) {
        return std::nullopt;
    }
    return in;
}

int chooseOfferToHold(const std::vector<worker_offer> &offers, const release_source &releasesOf,
                      const placement_request &request)
{
    int best = -1;
    std::pair<std::chrono::milliseconds, std::int64_t> bestRank;
    for (std::size_t at = 0; at < offers.size(); ++at) {
        const worker_offer &offer = offers[at];
        if (!meetsConstraints(offer, request)) {
            continue;
        }
        const auto in = timeUntilFree(offer, releasesOf(at), request.step->resources);
        if (!in) {
            continue;
        }
        const std::pair rank{*in, std::int64_t(offer.used.milliCores)
                                          - offer.record->capacity.milliCores};
        if (best < 0 || rank < bestRank) {
            best = static_cast<int>(at);
            bestRank = rank;
        }
    }
    return best;
}

} // namespace mango
