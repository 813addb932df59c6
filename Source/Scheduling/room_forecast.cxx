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

namespace {

// On more workers the time until resources are free is computed only for those that lack the least.
constexpr std::size_t mostForecastOffers = 512;
constexpr std::size_t forecastOffersOfMany = 64;

// Returns the share of the needed cores and memory that the worker lacks, in thousandths.
std::int64_t shortfallOf(const worker_offer &offer, const resource_amounts &needed)
{
    const auto lacking = [](std::int64_t used, std::int64_t wanted, std::int64_t capacity) {
        const std::int64_t shortfall = std::max<std::int64_t>(0, used + wanted - capacity);
        return shortfall * 1000 / std::max<std::int64_t>(1, wanted);
    };
    const resource_amounts &capacity = offer.record->capacity;
    return lacking(offer.used.milliCores, needed.milliCores, capacity.milliCores)
           + lacking(offer.used.memoryMb, needed.memoryMb, capacity.memoryMb)
           + lacking(offer.used.accelerators, needed.accelerators, capacity.accelerators);
}

// Returns the indexes of the offers that nothing but their resources keeps from the task, in
// ascending order; of very many, those that lack the least.
std::vector<std::size_t> holdCandidates(const std::vector<worker_offer> &offers,
                                        const placement_request &request)
{
    std::vector<std::size_t> candidates;
    for (std::size_t at = 0; at < offers.size(); ++at) {
        // The cores of long-running tasks are not released.
        const worker_offer &offer = offers[at];
        const bool canBeFree = offer.longRunningMilliCores + request.step->resources.milliCores
                               <= offer.record->capacity.milliCores;
        if (canBeFree && meetsConstraints(offer, request)) {
            candidates.push_back(at);
        }
    }
    if (candidates.size() <= mostForecastOffers) {
        return candidates;
    }
    std::vector<std::pair<std::int64_t, std::size_t>> ranked;
    ranked.reserve(candidates.size());
    for (const std::size_t at : candidates) {
        ranked.emplace_back(shortfallOf(offers[at], request.step->resources), at);
    }
    std::nth_element(ranked.begin(), ranked.begin() + forecastOffersOfMany, ranked.end());
    candidates.clear();
    for (std::size_t number = 0; number < forecastOffersOfMany; ++number) {
        candidates.push_back(ranked[number].second);
    }
    std::sort(candidates.begin(), candidates.end());
    return candidates;
}

} // namespace

int chooseOfferToHold(const std::vector<worker_offer> &offers, const release_source &releasesOf,
                      const placement_request &request)
{
    int best = -1;
    std::pair<std::chrono::milliseconds, std::int64_t> bestRank;
    for (const std::size_t at : holdCandidates(offers, request)) {
        const worker_offer &offer = offers[at];
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
