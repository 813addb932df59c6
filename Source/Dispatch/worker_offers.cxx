#include "Dispatch/worker_offers.h"

#include <algorithm>

#include "Dispatch/room_refusals.h"
#include "Dispatch/run_throttling.h"

namespace mango {

namespace {

// The number of unchanged workers whose offers each round updates.
constexpr std::size_t unchangedPerRound = 200;

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
    offer.inBackoff = now < worker.backoffUntil;
    return offer;
}

void updateOffer(const dispatch_state &state, round_offers &round, std::size_t at, steady_time now)
{
    tracked_worker &worker = *round.workers[at];
    worker.offerChanged = false;
    round_offers::contribution &added = round.contributions[at];
    --round.workersByExclusion[static_cast<std::size_t>(added.exclusion)];
    round.usedMilliCores -= added.usedMilliCores;
    round.capacityMilliCores -= added.capacityMilliCores;
    added = {exclusionOf(state, worker, now)};
    round.offers[at] = makeOffer(state, worker, added.exclusion, now);
    if (added.exclusion == worker_exclusion::none) {
        added.usedMilliCores = worker.used.milliCores;
        added.capacityMilliCores = worker.record.capacity.milliCores;
    }
    ++round.workersByExclusion[static_cast<std::size_t>(added.exclusion)];
    round.usedMilliCores += added.usedMilliCores;
    round.capacityMilliCores += added.capacityMilliCores;
}

void listWorkers(dispatch_state &state, round_offers &round)
{
    round = {};
    round.workers.reserve(state.workers.size());
    for (const auto &[incarnation, worker] : state.workers) {
        worker->offerIndex = round.workers.size();
        round.workers.push_back(worker);
    }
    round.offers.resize(round.workers.size());
    round.contributions.resize(round.workers.size());
    round.workersByExclusion[static_cast<std::size_t>(worker_exclusion::none)] =
            static_cast<std::uint32_t>(round.workers.size());
}

} // namespace

void updateOffers(dispatch_state &state, round_offers &round)
{
    const steady_time now = state.context.clock.now();
    if (std::exchange(state.workersListed, true)) {
        for (const tracked_worker_handle &worker : state.changedWorkers) {
            // A worker that was removed may still be reported as changed.
            if (worker->offerIndex < round.workers.size()
                && round.workers[worker->offerIndex] == worker) {
                updateOffer(state, round, worker->offerIndex, now);
            }
        }
    } else {
        listWorkers(state, round);
        state.allOffersChanged = true;
    }
    state.changedWorkers.clear();
    const std::size_t count = round.offers.size();
    const std::size_t updated = std::exchange(state.allOffersChanged, false)
                                        ? count
                                        : std::min(count, unchangedPerRound);
    for (std::size_t number = 0; number < updated; ++number) {
        round.nextUnchanged = round.nextUnchanged + 1 < count ? round.nextUnchanged + 1 : 0;
        updateOffer(state, round, round.nextUnchanged, now);
    }
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
