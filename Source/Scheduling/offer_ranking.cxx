#include "Scheduling/offer_ranking.h"

#include <algorithm>

namespace mango {

namespace {

bool isWorse(const offer_ranking::entry &one, const offer_ranking::entry &other)
{
    return one.score != other.score ? one.score < other.score : one.index > other.index;
}

void addScored(offer_ranking &ranking, const scored_offer &scored, std::size_t at)
{
    ranking.excludedByRuns += scored.excludedByRuns ? 1 : 0;
    if (scored.fits) {
        ranking.entries.push_back({scored.score, at});
    }
}

} // namespace

offer_ranking rankOffers(const std::vector<worker_offer> &offers, const placement_request &request)
{
    offer_ranking ranking;
    for (std::size_t at = 0; at < offers.size(); ++at) {
        addScored(ranking, scoreOffer(offers[at], request), at);
    }
    std::make_heap(ranking.entries.begin(), ranking.entries.end(), isWorse);
    return ranking;
}

offer_ranking rankOffers(const std::vector<worker_offer> &offers,
                         const std::vector<offer_with_room> &withRoom,
                         const placement_request &request)
{
    offer_ranking ranking;
    ranking.entries.reserve(withRoom.size());
    const image_pressures pressures = pressuresFor(request);
    for (const offer_with_room &known : withRoom) {
        addScored(ranking, scoreOfferWithRoom(offers[known.index], known, request, pressures),
                  known.index);
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
    addScored(ranking, scored, index);
    if (scored.fits) {
        std::push_heap(ranking.entries.begin(), ranking.entries.end(), isWorse);
    }
}

} // namespace mango
