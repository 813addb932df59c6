#pragma once

#include <compare>
#include <cstdint>
#include <limits>

#include "Scheduling/run_placement.h"

namespace mango {

// The most that one of several offers has free.
struct free_capacity
{
    // How well the offer suits a short task, and the highest score for a best-effort one.
    std::int64_t shortTaskScore = std::numeric_limits<std::int64_t>::min();
    std::int64_t bestEffortScore = std::numeric_limits<std::int64_t>::min();
    std::int64_t milliCores = -1;
    std::int64_t reclaimableMilliCores = -1;
    std::int64_t memoryMb = -1;
    std::int64_t accelerators = -1;
};

// The constraints of a request that the tree for it takes into account.
struct tree_key
{
    std::string service;
    std::string requiredLabel;
    std::string dataRack;
    // Workers in backoff count as well.
    bool starved = false;
    placement_doubts doubts;

    auto operator<=>(const tree_key &) const = default;
};

// A binary tree over the offers that meet the constraints of a key.
struct capacity_tree
{
    // The root has the index 1, the children of a node have twice its index and the next one.
    std::vector<free_capacity> nodes;
    std::size_t leaves = 0;
    // The number of changes of offers that the tree has followed.
    std::uint64_t changesFollowed = 0;
    std::uint64_t lastUse = 0;
};

// Finds offers with enough free resources for a task without a look at all of them. It lasts as
// long as the list of offers; whoever changes an offer tells it so.
struct offer_index
{
    std::map<tree_key, capacity_tree> trees;
    // The indexes of offers that have changed, of which the first has the number `firstChange`.
    std::vector<std::size_t> changes;
    std::uint64_t firstChange = 0;
    std::uint64_t uses = 0;
    // The number of offers that were looked at for a task, and that trees have followed.
    std::uint64_t offersScored = 0;
    std::uint64_t changesFollowed = 0;
};

// Tells the index that an offer has changed.
void noteOfferChange(offer_index &index, std::size_t at);

// Tells the index that all offers have changed.
void noteAllOffersChanged(offer_index &index);

// Returns the offers that have enough free resources for one more task of the step. Interference
// and earlier runs may keep the task from them.
std::vector<offer_with_room> offersWithRoom(offer_index &index,
                                            const std::vector<worker_offer> &offers,
                                            const placement_request &request);

// Returns true when some offer has enough free resources for one more task of the step.
bool isRoomFor(offer_index &index, const std::vector<worker_offer> &offers,
               const placement_request &request);

// Makes the same choice as chooseOffer(). Unless the task is long-running, it looks only at offers
// that may be better than the best one found so far, and counts only these as candidates.
offer_choice chooseIndexed(offer_index &index, const std::vector<worker_offer> &offers,
                           const placement_request &request);

} // namespace mango
