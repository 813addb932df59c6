#include "Scheduling/offer_index.h"

#include <algorithm>
#include <bit>

namespace mango {

namespace {

// The most keys for which trees are kept.
constexpr std::size_t mostTrees = 64;
// So many changes are kept. Trees that have not followed those that are forgotten are built anew.
constexpr std::size_t mostChanges = 8192;

free_capacity capacityOf(const worker_offer &offer, const tree_key &key)
{
    const worker_record &record = *offer.record;
    if (offer.unavailable || (offer.inBackoff && !key.starved) || record.service != key.service
        || (!key.requiredLabel.empty() && !record.hasLabel(key.requiredLabel))) {
        return {};
    }
    const std::int64_t doubt = doubtCost(offer, key.doubts);
    return {shortTaskScore(offer, key.dataRack) - doubt,
            mostBestEffortScore(offer, key.dataRack) - doubt,
            std::int64_t(record.capacity.milliCores) - offer.used.milliCores,
            reclaimableMilliCores(offer),
            std::int64_t(record.capacity.memoryMb) - offer.used.memoryMb,
            std::int64_t(record.capacity.accelerators) - offer.used.accelerators};
}

free_capacity mostOf(const free_capacity &one, const free_capacity &other)
{
    return {std::max(one.shortTaskScore, other.shortTaskScore),
            std::max(one.bestEffortScore, other.bestEffortScore),
            std::max(one.milliCores, other.milliCores),
            std::max(one.reclaimableMilliCores, other.reclaimableMilliCores),
            std::max(one.memoryMb, other.memoryMb),
            std::max(one.accelerators, other.accelerators)};
}

void buildTree(capacity_tree &tree, const tree_key &key, const std::vector<worker_offer> &offers)
{
    tree.leaves = std::bit_ceil(std::max<std::size_t>(1, offers.size()));
    tree.nodes.assign(tree.leaves * 2, {});
    for (std::size_t at = 0; at < offers.size(); ++at) {
        tree.nodes[tree.leaves + at] = capacityOf(offers[at], key);
    }
    for (std::size_t node = tree.leaves - 1; node > 0; --node) {
        tree.nodes[node] = mostOf(tree.nodes[node * 2], tree.nodes[node * 2 + 1]);
    }
}

void updateLeaf(capacity_tree &tree, std::size_t at, const free_capacity &capacity)
{
    std::size_t node = tree.leaves + at;
    tree.nodes[node] = capacity;
    for (node /= 2; node > 0; node /= 2) {
        tree.nodes[node] = mostOf(tree.nodes[node * 2], tree.nodes[node * 2 + 1]);
    }
}

void dropUnusedTrees(offer_index &index)
{
    while (index.trees.size() > mostTrees) {
        index.trees.erase(std::min_element(index.trees.begin(), index.trees.end(),
                                           [](const auto &one, const auto &other) {
                                               return one.second.lastUse < other.second.lastUse;
                                           }));
    }
}

// Returns the tree for the request, after it has followed all changes.
const capacity_tree &treeFor(offer_index &index, const std::vector<worker_offer> &offers,
                             const placement_request &request)
{
    const tree_key key{*request.service, request.step->requiredLabel, request.step->dataRack,
                       request.starved, doubtsOf(request)};
    const std::uint64_t changeCount = index.firstChange + index.changes.size();
    auto found = index.trees.find(key);
    const bool isNew = found == index.trees.end();
    if (isNew) {
        found = index.trees.try_emplace(key).first;
        found->second.lastUse = index.uses + 1;
        dropUnusedTrees(index);
    }
    capacity_tree &tree = found->second;
    tree.lastUse = ++index.uses;
    if (isNew || tree.changesFollowed < index.firstChange) {
        buildTree(tree, key, offers);
        index.changesFollowed += offers.size();
    } else {
        index.changesFollowed += changeCount - tree.changesFollowed;
        for (std::uint64_t number = tree.changesFollowed; number < changeCount; ++number) {
            const std::size_t at = index.changes[number - index.firstChange];
            updateLeaf(tree, at, capacityOf(offers[at], key));
        }
    }
    tree.changesFollowed = changeCount;
    return tree;
}

bool hasRoom(const free_capacity &capacity, const job_step &step)
{
    const std::int64_t cores =
            step.bestEffort ? capacity.reclaimableMilliCores : capacity.milliCores;
    return cores >= step.resources.milliCores && capacity.memoryMb >= step.resources.memoryMb
           && capacity.accelerators >= step.resources.accelerators;
}

// Returns the highest score that an offer with no more free can have; the same for all offers when
// the task is long-running.
std::int64_t mostScore(const free_capacity &capacity, const job_step &step)
{
    if (step.longRunning) {
        return std::numeric_limits<std::int64_t>::max();
    }
    return step.bestEffort ? capacity.bestEffortScore : capacity.shortTaskScore;
}

offer_with_room withRoom(const worker_offer &offer, std::size_t at, const free_capacity &capacity,
                         const job_step &step)
{
    return {at, mostScore(capacity, step), capacity.milliCores + offer.used.milliCores};
}

// A node of the tree, with the first offer below it.
struct tree_place
{
    std::size_t node = 1;
    std::size_t first = 0;
    // The number of leaves below it.
    std::size_t size = 0;
};

// Visits the offers with room for the step, of those below two nodes first those below the one with
// the higher score. `mayMatter` is asked for each node, and `visit` for each offer.
template<class MayMatter, class Visit>
void visitOffersWithRoom(const capacity_tree &tree, const job_step &step, MayMatter mayMatter,
                         Visit visit)
{
    std::vector<tree_place> open{{1, 0, tree.leaves}};
    while (!open.empty()) {
        const tree_place place = open.back();
        open.pop_back();
        const free_capacity &capacity = tree.nodes[place.node];
        if (!hasRoom(capacity, step) || !mayMatter(capacity, place.first)) {
            continue;
        }
        if (place.size == 1) {
            visit(capacity, place.first);
            continue;
        }
        const std::size_t half = place.size / 2;
        const tree_place left{place.node * 2, place.first, half};
        const tree_place right{place.node * 2 + 1, place.first + half, half};
        const bool leftFirst =
                mostScore(tree.nodes[left.node], step) >= mostScore(tree.nodes[right.node], step);
        open.push_back(leftFirst ? right : left);
        open.push_back(leftFirst ? left : right);
    }
}

} // namespace

void noteOfferChange(offer_index &index, std::size_t at)
{
    if (index.changes.size() >= mostChanges) {
        index.firstChange += index.changes.size();
        index.changes.clear();
    }
    index.changes.push_back(at);
}

void noteAllOffersChanged(offer_index &index)
{
    index.trees.clear();
    index.changes.clear();
    index.firstChange = 0;
}

std::vector<offer_with_room> offersWithRoom(offer_index &index,
                                            const std::vector<worker_offer> &offers,
                                            const placement_request &request)
{
    std::vector<offer_with_room> found;
    const capacity_tree &tree = treeFor(index, offers, request);
    if (!hasRoom(tree.nodes[1], *request.step)) {
        return found;
    }
    found.reserve(offers.size());
    for (std::size_t at = 0; at < offers.size(); ++at) {
        const free_capacity &capacity = tree.nodes[tree.leaves + at];
        if (hasRoom(capacity, *request.step)) {
            found.push_back(withRoom(offers[at], at, capacity, *request.step));
        }
    }
    return found;
}

bool isRoomFor(offer_index &index, const std::vector<worker_offer> &offers,
               const placement_request &request)
{
    bool found = false;
    visitOffersWithRoom(
            treeFor(index, offers, request), *request.step,
            [&](const free_capacity &, std::size_t) {
                return !found;
            },
            [&](const free_capacity &, std::size_t) {
                found = true;
            });
    return found;
}

offer_choice chooseIndexed(offer_index &index, const std::vector<worker_offer> &offers,
                           const placement_request &request)
{
    offer_choice best;
    std::int64_t bestScore = 0;
    const image_pressures pressures = pressuresFor(request);
    const auto precedesBest = [&](std::int64_t score, std::size_t at) {
        return best.index < 0 || score > bestScore
               || (score == bestScore && at < static_cast<std::size_t>(best.index));
    };
    visitOffersWithRoom(
            treeFor(index, offers, request), *request.step,
            [&](const free_capacity &capacity, std::size_t first) {
                return precedesBest(mostScore(capacity, *request.step), first);
            },
            [&](const free_capacity &capacity, std::size_t at) {
                ++index.offersScored;
                const scored_offer scored = scoreOfferWithRoom(
                        offers[at], withRoom(offers[at], at, capacity, *request.step), request,
                        pressures);
                best.excludedByRuns += scored.excludedByRuns ? 1 : 0;
                if (!scored.fits) {
                    return;
                }
                ++best.candidates;
                if (precedesBest(scored.score, at)) {
                    best.index = static_cast<int>(at);
                    bestScore = scored.score;
                }
            });
    return best;
}

} // namespace mango
