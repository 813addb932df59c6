#pragma once

#include "Scheduling/run_placement.h"

namespace mango {

// The workers that fit the next task of one step, best first. It serves large steps on large
// services: one look at all offers is enough for all tasks of the step, since a placement changes
// only the chosen offer and, for a long-running step, lowers the scores of its failure domain.
struct offer_ranking
{
    struct entry
    {
        // Not lower than the present score, except of an offer that takeBestOffer() returned.
        std::int64_t score = 0;
        std::size_t index = 0;
    };
    // A heap with the best entry first.
    std::vector<entry> entries;
    // The number of offers that would fit but for the earlier runs of the step.
    std::uint32_t excludedByRuns = 0;
};

// Ranks the offers that fit the request, which must not exclude workers for a single task.
offer_ranking rankOffers(const std::vector<worker_offer> &offers, const placement_request &request);

// Returns the same from the offers that have enough free resources.
offer_ranking rankOffers(const std::vector<worker_offer> &offers,
                         const std::vector<offer_with_room> &withRoom,
                         const placement_request &request);

// Takes the best offer out of the ranking and returns its index; -1 when no offer fits. The choice
// is that of chooseOffer().
int takeBestOffer(offer_ranking &ranking, const std::vector<worker_offer> &offers,
                  const placement_request &request);

// Puts an offer back into the ranking after its resources or the runs of the step have changed.
void returnOffer(offer_ranking &ranking, const std::vector<worker_offer> &offers,
                 const placement_request &request, std::size_t index);

} // namespace mango
