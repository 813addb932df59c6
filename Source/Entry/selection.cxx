#include "Entry/selection.h"

#include <algorithm>

namespace mango {

namespace {

// The response time assumed for a worker that has not responded yet: short enough that it soon gets
// a request, long enough that it does not get all of them.
constexpr double assumedResponseMicroseconds = 200;

double expectedMicroseconds(const selection_candidate &candidate)
{
    const double responseMicroseconds = candidate.responseMicroseconds > 0
                                                ? candidate.responseMicroseconds
                                                : assumedResponseMicroseconds;
    return responseMicroseconds * (1.0 + double(candidate.inUse) / std::max(1U, candidate.limit));
}

} // namespace

std::optional<std::size_t> selectWorker(const std::vector<selection_candidate> &candidates,
                                        selection_policy policy, random_source &random)
{
    std::vector<std::size_t> usable;
    std::vector<std::size_t> lastResort;
    std::vector<std::size_t> preferred;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const selection_candidate &candidate = candidates[index];
        if (candidate.inUse >= candidate.limit) {
            continue;
        }
        if (candidate.avoided) {
            lastResort.push_back(index);
        } else {
            (candidate.preferred ? preferred : usable).push_back(index);
        }
    }
    if (!preferred.empty()) {
        usable = std::move(preferred);
    }
    if (usable.empty()) {
        usable = std::move(lastResort);
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    if (policy == selection_policy::leastOutstanding) {
        return *std::min_element(usable.begin(), usable.end(),
                                 [&](std::size_t one, std::size_t other) {
                                     return candidates[one].inUse < candidates[other].inUse;
                                 });
    }
    const std::size_t first = usable[random.below(usable.size())];
    if (policy == selection_policy::random) {
        return first;
    }
    const std::size_t second = usable[random.below(usable.size())];
    const bool secondIsFaster =
            expectedMicroseconds(candidates[second]) < expectedMicroseconds(candidates[first]);
    return secondIsFaster ? second : first;
}

} // namespace mango
