#include "Control/service_workers.h"

#include <algorithm>
#include <cmath>

#include "Control/relief.h"

namespace mango {

namespace {

// Slots kept for each request in progress, so that bursts find one free.
constexpr double slotsPerRequestForTail = 2.0;
constexpr double slotsPerRequestForBatch = 1.25;
constexpr double noDemand = 0.02;
constexpr std::size_t idleServiceWorkers = 2;
// At most one worker in so many is kept while nobody asks.
constexpr std::size_t idlePoolShare = 4;
// A pool gives a worker back only after that many windows in which it had one too many.
constexpr std::uint32_t surplusWindowLimit = 20;

struct pool_workers
{
    std::vector<worker_state *> kept;
    std::vector<worker_state *> others;
    std::map<std::string, std::size_t> keptByDomain;
    std::set<std::string> domains;
    std::uint32_t slots = 0;
};

pool_workers workersOf(leader_state &leader, const pool &row)
{
    pool_workers sorted;
    for (auto &[name, worker] : leader.workers) {
        if (!poolIncludes(row, name)) {
            continue;
        }
        if (!isServing(leader, *worker)) {
            worker->servicesOnly = false;
            continue;
        }
        sorted.domains.insert(worker->announced.failureDomain);
        sorted.slots = std::max(sorted.slots, worker->announced.slots);
        if (worker->servicesOnly) {
            sorted.kept.push_back(worker.get());
            ++sorted.keptByDomain[worker->announced.failureDomain];
        } else {
            sorted.others.push_back(worker.get());
        }
    }
    return sorted;
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

// The worker with the fewest tasks, in the domain with the fewest kept workers.
worker_state *nextToKeep(pool_workers &sorted)
{
    const auto best = std::min_element(
            sorted.others.begin(), sorted.others.end(),
            [&](const worker_state *one, const worker_state *other) {
                return std::pair(sorted.keptByDomain[one->announced.failureDomain],
                                 one->runs.size())
                       < std::pair(sorted.keptByDomain[other->announced.failureDomain],
                                   other->runs.size());
            });
    return best == sorted.others.end() ? nullptr : *best;
}

void setServicesOnly(leader_state &leader, worker_state &worker, bool servicesOnly)
{
    worker.servicesOnly = servicesOnly;
    markStale(leader, worker.announced.name);
    leader.shared.events.record(servicesOnly ? "worker kept for services"
                                             : "worker open to batch work",
                                {"", "", worker.announced.name, ""});
}

// Moves the tasks away from a worker that is kept for services; their eviction budgets bound what
// that costs.
void clearWorker(leader_state &leader, worker_state &worker)
{
    while (const auto victim = chooseVictim(candidatesOn(leader, worker), std::nullopt)) {
        stopRun(leader, worker, *victim, "services");
    }
}

// True when a route sends requests, not jobs, to the pool.
bool servesRequests(const leader_state &leader, const pool &row)
{
    const routes &table = leader.shared.machine.state().parsedRoutes;
    return std::any_of(table.begin(), table.end(), [&](const route &one) {
        return one.kind == route_kind::request && one.pool == row.name;
    });
}

} // namespace

std::size_t neededServiceWorkers(double requestsInProgress, std::uint32_t slotsPerWorker,
                                 std::size_t workers, std::size_t domains, pool_weighting weighting)
{
    if (slotsPerWorker == 0) {
        return 0;
    }
    const bool tail = weighting == pool_weighting::tailLatency;
    const double slots =
            requestsInProgress * (tail ? slotsPerRequestForTail : slotsPerRequestForBatch);
    const auto needed = static_cast<std::size_t>(std::ceil(slots / slotsPerWorker));
    // The tail weighting keeps a few workers also while nobody asks, for the first who does; a
    // small pool cannot afford that.
    const std::size_t idle =
            tail ? std::min({idleServiceWorkers, domains, workers / idlePoolShare}) : 0;
    return std::min(std::max(requestsInProgress < noDemand ? 0 : needed, idle), workers / 2);
}

void chooseServiceWorkers(leader_state &leader)
{
    if (leader.shared.settings.interference != interference_policy::ladder) {
        return;
    }
    for (const pool &row : leader.shared.machine.state().parsedPools) {
        if (!servesRequests(leader, row)) {
            continue;
        }
        pool_workers sorted = workersOf(leader, row);
        const std::size_t total = sorted.kept.size() + sorted.others.size();
        const std::size_t needed =
                neededServiceWorkers(demandOf(leader, row.name), sorted.slots, total,
                                     sorted.domains.size(), row.weighting);
        std::uint32_t &surplus = leader.surplusWindows[row.name];
        surplus = sorted.kept.size() > needed ? surplus + 1 : 0;
        if (sorted.kept.size() < needed) {
            if (worker_state *next = nextToKeep(sorted)) {
                setServicesOnly(leader, *next, true);
            }
        } else if (surplus > surplusWindowLimit) {
            setServicesOnly(leader, *sorted.kept.back(), false);
            surplus = 0;
        }
        for (worker_state *worker : sorted.kept) {
            clearWorker(leader, *worker);
        }
    }
}

} // namespace mango
