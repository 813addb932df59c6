#include "Control/service_workers.h"

#include <algorithm>
#include <cmath>

#include "Control/interference_mitigation.h"

namespace mango {

namespace {

// The slots provided for each request in progress. More than one, so that bursts find a free slot.
constexpr double tailLatencySlotsPerRequest = 2.0;
constexpr double batchThroughputSlotsPerRequest = 1.25;
// Mean number of requests in progress below which a pool counts as idle.
constexpr double negligibleDemand = 0.02;
// The maximum number of workers that an idle pool keeps dedicated.
constexpr std::size_t idleServiceWorkers = 2;
// At most one worker in this number is dedicated while a pool is idle.
constexpr std::size_t workersPerIdleServiceWorker = 4;
// A pool releases a dedicated worker only after more than this number of consecutive windows with a
// surplus.
constexpr std::uint32_t surplusWindowLimit = 20;

struct pool_workers
{
    std::vector<worker_state *> dedicated;
    std::vector<worker_state *> open;
    std::map<std::string, std::size_t> dedicatedByDomain;
    std::set<std::string> domains;
    std::uint32_t slots = 0;
};

pool_workers workersOf(leader_state &leader, const pool &workerPool)
{
    pool_workers poolWorkers;
    for (auto &[name, worker] : leader.workers) {
        if (!poolIncludes(workerPool, name)) {
            continue;
        }
        if (!isServing(leader, *worker)) {
            worker->servicesOnly = false;
            continue;
        }
        poolWorkers.domains.insert(worker->announced.failureDomain);
        poolWorkers.slots = std::max(poolWorkers.slots, worker->announced.slots);
        if (worker->servicesOnly) {
            poolWorkers.dedicated.push_back(worker.get());
            ++poolWorkers.dedicatedByDomain[worker->announced.failureDomain];
        } else {
            poolWorkers.open.push_back(worker.get());
        }
    }
    return poolWorkers;
}

double demandOf(const leader_state &leader, const std::string &pool)
{
    double demand = 0;
    for (const auto &[id, session] : leader.sessions) {
        const auto found = session.smoothedDemand.find(pool);
        demand += found == session.smoothedDemand.end() ? 0 : found->second;
    }
    return demand;
}

// Returns the worker with the fewest tasks in the domain with the fewest dedicated workers.
worker_state *nextDedicatedWorker(pool_workers &poolWorkers)
{
    const auto best = std::min_element(
            poolWorkers.open.begin(), poolWorkers.open.end(),
            [&](const worker_state *one, const worker_state *other) {
                return std::pair(poolWorkers.dedicatedByDomain[one->announced.failureDomain],
                                 one->runs.size())
                       < std::pair(poolWorkers.dedicatedByDomain[other->announced.failureDomain],
                                   other->runs.size());
            });
    return best == poolWorkers.open.end() ? nullptr : *best;
}

void setServicesOnly(leader_state &leader, worker_state &worker, bool servicesOnly)
{
    worker.servicesOnly = servicesOnly;
    markStale(leader, worker.announced.name);
    leader.shared.events.record(servicesOnly ? "worker kept for services"
                                             : "worker open to batch work",
                                {"", "", worker.announced.name, ""});
}

// Evicts the tasks of a worker dedicated to services. Their eviction budgets limit the cost.
void evictBatchTasks(leader_state &leader, worker_state &worker)
{
    while (const auto victim = chooseVictim(evictionCandidates(leader, worker), std::nullopt)) {
        stopRun(leader, worker, *victim, "services");
    }
}

// Returns true when a route sends requests, not only jobs, to the pool.
bool servesRequests(const leader_state &leader, const pool &workerPool)
{
    const routes &table = leader.shared.machine.state().parsedRoutes;
    return std::any_of(table.begin(), table.end(), [&](const route &one) {
        return one.kind == route_kind::request && one.pool == workerPool.name;
    });
}

} // namespace

std::size_t neededServiceWorkers(double requestsInProgress, std::uint32_t slotsPerWorker,
                                 std::size_t workers, std::size_t domains, pool_weighting weighting)
{
    if (slotsPerWorker == 0) {
        return 0;
    }
    const bool forTailLatency = weighting == pool_weighting::tailLatency;
    const double slots =
            requestsInProgress
            * (forTailLatency ? tailLatencySlotsPerRequest : batchThroughputSlotsPerRequest);
    const auto needed = static_cast<std::size_t>(std::ceil(slots / slotsPerWorker));
    // Pools weighted for tail latency keep a few dedicated workers while idle, so that the first
    // requests are fast. Small pools keep fewer or none, since the workers would be missing for
    // batch tasks.
    const std::size_t idleWorkers =
            forTailLatency
                    ? std::min({idleServiceWorkers, domains, workers / workersPerIdleServiceWorker})
                    : 0;
    return std::min(std::max(requestsInProgress < negligibleDemand ? 0 : needed, idleWorkers),
                    workers / 2);
}

void chooseServiceWorkers(leader_state &leader)
{
    if (leader.shared.settings.interference != interference_policy::graduatedMitigation) {
        return;
    }
    for (const pool &workerPool : leader.shared.machine.state().parsedPools) {
        if (!servesRequests(leader, workerPool)) {
            continue;
        }
        pool_workers poolWorkers = workersOf(leader, workerPool);
        const std::size_t total = poolWorkers.dedicated.size() + poolWorkers.open.size();
        const std::size_t needed =
                neededServiceWorkers(demandOf(leader, workerPool.name), poolWorkers.slots, total,
                                     poolWorkers.domains.size(), workerPool.weighting);
        std::uint32_t &surplus = leader.surplusWindows[workerPool.name];
        surplus = poolWorkers.dedicated.size() > needed ? surplus + 1 : 0;
        if (poolWorkers.dedicated.size() < needed) {
            if (worker_state *next = nextDedicatedWorker(poolWorkers)) {
                setServicesOnly(leader, *next, true);
            }
        } else if (surplus > surplusWindowLimit) {
            setServicesOnly(leader, *poolWorkers.dedicated.back(), false);
            surplus = 0;
        }
        for (worker_state *worker : poolWorkers.dedicated) {
            evictBatchTasks(leader, *worker);
        }
    }
}

} // namespace mango
