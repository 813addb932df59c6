#include "Scheduling/offer_ranking.h"

#include <algorithm>
#include <numeric>

namespace mango {

namespace {

bool isWorse(const offer_ranking::entry &one, const offer_ranking::entry &other)
{
    return one.score != other.score ? one.score < other.score : one.index > other.index;
}

} // namespace

offer_ranking rankOffers(const std::vector<worker_offer> &offers, const placement_request &request)
{
    std::vector<std::size_t> all(offers.size());
    std::iota(all.begin(), all.end(), 0);
    return rankOffers(offers, all, request);
}

offer_ranking rankOffers(const std::vector<worker_offer> &offers,
                         const std::vector<std::size_t> &withRoom, const placement_request &request)
{
    offer_ranking ranking;
    for (const std::size_t at : withRoom) {
        const scored_offer scored = scoreOffer(offers[at], request);
        ranking.excludedByRuns += scored.excludedByRuns ? 1 : 0;
        if (scored.fits) {
            ranking.entries.push_back({scored.score, at});
        }
    }
    std::make_heap(ranking.entries.begin(), ranking.entries.end(), isWorse);
    return ranking;
}

int takeBestOffer(offer_ranking &ranking, const std::vector<worker_offer> &offers,
                  const placement_request &request)
{
    auto &entries = ranking.entries;
    while (!entries.empty()) {
        std::pop_heap(entries.begin(), entries.end(), isWorse);
        const offer_ranking::entry best = entries.back();
        entries.pop_back();
        const scored_offer scored = scoreOffer(offers[best.index], request);
        if (scored.fits && scored.score == best.score) {
            return static_cast<int>(best.index);
        }
        ranking.excludedByRuns += scored.excludedByRuns ? 1 : 0;
        if (scored.fits) {
            entries.push_back({scored.score, best.index});
            std::push_heap(entries.begin(), entries.end(), isWorse);
        }
    }
    return -1;
}

void returnOffer(offer_ranking &ranking, const std::vector<worker_offer> &offers,
                 const placement_request &request, std::size_t index)
{
    const scored_offer scored = scoreOffer(offers[index], request);
    ranking.excludedByRuns += scored.excludedByRuns ? 1 : 0;
    if (scored.fits) {
        ranking.entries.push_back({scored.score, index});
        std::push_heap(ranking.entries.begin(), ranking.entries.end(), isWorse);
    }
}

} // namespace mango
