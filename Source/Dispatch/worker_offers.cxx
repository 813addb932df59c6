#include "Dispatch/worker_offers.h"

#include <algorithm>

#include "Dispatch/room_refusals.h"
#include "Dispatch/run_throttling.h"
#include "Dispatch/service_rooms.h"

namespace mango {

namespace {

// Within about this time the offers of all workers that have not changed are updated, in slices, so
// that the cost does not grow with the number of rounds. Each round updates at least a few.
constexpr auto unchangedUpdateInterval = std::chrono::milliseconds(400);
constexpr std::size_t fewestUnchangedPerRound = 20;

// Returns the number of unchanged workers whose offers the round updates.
std::size_t countUnchangedDue(const round_offers &round, steady_time now)
{
    const std::size_t count = round.offers.size();
    const auto elapsed = now - round.unchangedUpdatedAt;
    if (elapsed >= unchangedUpdateInterval) {
        return count;
    }
    const auto due = count * static_cast<std::size_t>(elapsed.count())
                     / static_cast<std::size_t>(steady_span(unchangedUpdateInterval).count());
    return std::min(count, std::max(due, fewestUnchangedPerRound));
}

worker_exclusion exclusionOf(const dispatch_state &state, const tracked_worker &worker,
                             steady_time now)
{
    if (!worker.current || worker.exited) {
        return worker_exclusion::gone;
    }
    if (worker.record.draining) {
        return worker_exclusion::draining;
    }
    const auto &domainsOutOfService = state.context.machine.state().domainsOutOfService;
    if (domainsOutOfService.contains(worker.record.failureDomain)) {
        return worker_exclusion::domainOutOfService;
    }
    if (!worker.answered) {
        return worker_exclusion::unanswered;
    }
    if (now - worker.heardAt >= state.context.timing.silentAfter) {
        return worker_exclusion::silent;
    }
    if (now < worker.refusesUntil || awaitsStartAnswer(worker)) {
        return worker_exclusion::refusing;
    }
    return worker.runsOnTrial > 0 ? worker_exclusion::onTrial : worker_exclusion::none;
}

worker_offer makeOffer(const dispatch_state &state, const tracked_worker &worker,
                       worker_exclusion exclusion, steady_time now)
{
    worker_offer offer;
    offer.record = &worker.record;
    offer.unavailable = exclusion != worker_exclusion::none;
    if (offer.unavailable) {
        return offer;
    }
    colocated_tasks tasks = colocatedTasksOf(worker, now);
    predictLoads(state.interference, tasks.latencyCritical, tasks.bestEffort, now,
                 placementHorizon);
    offer.used = usedInOffer(worker, now);
    offer.longRunningMilliCores = worker.longRunningMilliCores;
    offer.longRunningImages = worker.longRunningImages;
    // Cores that may not be there are not left unused by others either.
    offer.bestEffortMilliCores = worker.bestEffortMilliCores
                                 + (isLimited(worker, now) ? worker.record.capacity.milliCores : 0);
    offer.latencyCritical = std::move(tasks.latencyCritical);
    const worker_doubt doubt = doubtOf(soundnessOf(worker), now);
    offer.inBackoff = doubt.rests;
    offer.oneAtATime = doubt.oneAtATime;
    offer.urgentCost = doubt.urgentCost;
    offer.otherCost = doubt.otherCost;
    offer.retryCost = doubt.retryCost;
    return offer;
}

// Returns true when the offers of a worker, whose record has not changed, differ in their resources
// or their scores.
bool differInRoom(const worker_offer &one, const worker_offer &other)
{
    return other.record == nullptr || one.unavailable != other.unavailable
           || one.inBackoff != other.inBackoff || !(one.used == other.used)
           || one.longRunningMilliCores != other.longRunningMilliCores
           || one.latencyCritical.empty() != other.latencyCritical.empty()
           || one.urgentCost != other.urgentCost || one.otherCost != other.otherCost
           || one.retryCost != other.retryCost
           || (!one.unavailable && reclaimableMilliCores(one) != reclaimableMilliCores(other));
}

// Makes the offer of a worker anew. `isForced` is set when the record of the worker may differ.
void updateOffer(const dispatch_state &state, round_offers &round, std::size_t at, steady_time now,
                 bool isForced)
{
    tracked_worker &worker = *round.workers[at];
    worker.offerChanged = false;
    round_offers::contribution &added = round.contributions[at];
    --round.workersByExclusion[static_cast<std::size_t>(added.exclusion)];
    round.usedMilliCores -= added.usedMilliCores;
    round.capacityMilliCores -= added.capacityMilliCores;
    added = {exclusionOf(state, worker, now)};
    worker_offer offer = makeOffer(state, worker, added.exclusion, now);
    if (isForced || differInRoom(offer, round.offers[at])) {
        noteOfferChange(round.index, at);
    }
    round.offers[at] = std::move(offer);
    if (added.exclusion == worker_exclusion::none) {
        added.usedMilliCores = worker.used.milliCores;
        added.capacityMilliCores = worker.record.capacity.milliCores;
    }
    ++round.workersByExclusion[static_cast<std::size_t>(added.exclusion)];
    round.usedMilliCores += added.usedMilliCores;
    round.capacityMilliCores += added.capacityMilliCores;
}

// Lists the workers anew. The offers of those that were listed before stay as they are.
void listWorkers(dispatch_state &state, round_offers &round)
{
    round_offers earlier = std::exchange(round, {});
    round.nextUnchanged = earlier.nextUnchanged;
    round.unchangedUpdatedAt =
            earlier.workers.empty() ? state.context.clock.now() : earlier.unchangedUpdatedAt;
    round.usedMilliCores = earlier.usedMilliCores;
    round.capacityMilliCores = earlier.capacityMilliCores;
    const std::size_t count = state.workers.size();
    round.workers.reserve(count);
    round.offers.resize(count);
    round.contributions.resize(count);
    for (const auto &[incarnation, worker] : state.workers) {
        const std::size_t before = std::exchange(worker->offerIndex, round.workers.size());
        const std::size_t at = worker->offerIndex;
        round.workers.push_back(worker);
        if (before < earlier.workers.size() && earlier.workers[before] == worker) {
            round.offers[at] = std::move(earlier.offers[before]);
            round.contributions[at] = earlier.contributions[before];
            earlier.workers[before].reset();
        } else {
            markOfferChanged(state, worker);
        }
        ++round.workersByExclusion[static_cast<std::size_t>(round.contributions[at].exclusion)];
    }
    for (std::size_t gone = 0; gone < earlier.workers.size(); ++gone) {
        if (earlier.workers[gone] != nullptr) {
            round.usedMilliCores -= earlier.contributions[gone].usedMilliCores;
            round.capacityMilliCores -= earlier.contributions[gone].capacityMilliCores;
        }
    }
}

} // namespace

void updateOffers(dispatch_state &state, round_offers &round)
{
    const steady_time now = state.context.clock.now();
    round_work &work = state.roundSummary.work;
    if (!std::exchange(state.workersListed, true)) {
        listWorkers(state, round);
    }
    for (const tracked_worker_handle &worker : state.changedWorkers) {
        // A worker that was removed may still be reported as changed.
        if (worker->offerIndex < round.workers.size()
            && round.workers[worker->offerIndex] == worker) {
            updateOffer(state, round, worker->offerIndex, now, true);
            ++work.offersUpdated;
        }
    }
    state.changedWorkers.clear();
    const std::size_t count = round.offers.size();
    const std::size_t due = countUnchangedDue(round, now);
    const std::size_t updated = std::exchange(state.allOffersChanged, false) ? count : due;
    round.unchangedUpdatedAt = now;
    work.offersUpdated += updated;
    for (std::size_t number = 0; number < updated; ++number) {
        round.nextUnchanged = round.nextUnchanged + 1 < count ? round.nextUnchanged + 1 : 0;
        updateOffer(state, round, round.nextUnchanged, now, false);
    }
    countServiceRooms(state, round);
    round.mostlyIdle = round.usedMilliCores * 2 < round.capacityMilliCores;
    round.rejected.clear();
    round.releases.clear();
    round.held = 0;
    round.heldFirstRuns = 0;
}

std::int64_t mostFreeMilliCores(const round_offers &round)
{
    std::int64_t most = 0;
    for (const round_offers::contribution &one : round.contributions) {
        most = std::max(most, std::int64_t(one.capacityMilliCores) - one.usedMilliCores);
    }
    return most;
}

} // namespace mango
