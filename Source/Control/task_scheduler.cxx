#include "Control/task_scheduler.h"

#include <algorithm>

#include "Common/log.h"
#include "Control/entry_service.h"
#include "Control/interference_mitigation.h"
#include "Control/service_workers.h"
#include "State/queries.h"

namespace mango {

namespace asio = boost::asio;

namespace {

constexpr auto schedulingInterval = std::chrono::milliseconds(50);
constexpr auto creditBalanceInterval = std::chrono::milliseconds(100);
constexpr auto mitigationInterval = std::chrono::milliseconds(500);
constexpr auto expiryInterval = std::chrono::seconds(60);
constexpr auto leaderCheckInterval = std::chrono::milliseconds(100);
constexpr std::size_t placementsPerRound = 64;
constexpr std::size_t maximumUnconfirmedStarts = 4;
constexpr std::size_t reportsPerCommand = 256;
// Jobs with more tasks are placed without regard to the racks and domains of their other tasks.
constexpr std::uint32_t spreadTaskLimit = 256;
// The share of cores that batch work may use under a fixed reservation.
constexpr double reservationBatchShare = 0.5;

template<class Number>
Number remaining(Number total, Number taken)
{
    return total > taken ? total - taken : Number{0};
}

std::uint32_t reservedSlotsOn(const leader_state &leader, const std::string &worker)
{
    std::uint32_t reserved = 0;
    for (const pool &workerPool : leader.shared.machine.state().parsedPools) {
        if (poolIncludes(workerPool, worker)) {
            reserved = std::max(reserved, workerPool.reservedSlots);
        }
    }
    return reserved;
}

worker_availability availabilityOf(const leader_state &leader, const worker_state &worker)
{
    const worker_announcement &announced = worker.announced;
    const task_size request = largestRequestSize(leader, announced.name);
    const std::uint32_t credits = grantedCredits(worker.credits);
    const std::uint32_t batchSlots = worker.placed.slots + worker.tentative.slots;
    const std::uint32_t reserved = reservedSlotsOn(leader, announced.name);
    worker_availability availability;
    availability.name = announced.name;
    availability.failureDomain = announced.failureDomain;
    availability.rack = announced.rack;
    availability.totalCores = announced.cores;
    double batchCores = announced.cores;
    if (leader.shared.settings.interference == interference_policy::reservation) {
        batchCores *= reservationBatchShare;
    }
    const double batchTaken = worker.placed.cores + worker.tentative.cores;
    availability.free.cores =
            std::min(remaining(announced.cores, batchTaken + credits * request.cores),
                     remaining(batchCores, batchTaken));
    availability.free.memoryBytes = remaining(
            announced.memoryBytes, worker.placed.memoryBytes + worker.tentative.memoryBytes
                                           + credits * request.memoryBytes);
    availability.free.accelerators = remaining(
            announced.accelerators, worker.placed.accelerators + worker.tentative.accelerators
                                            + credits * request.accelerators);
    availability.free.slots =
            std::min(remaining(announced.slots, batchSlots + credits * request.slots),
                     remaining(announced.slots, batchSlots + reserved));
    availability.tasks = static_cast<std::uint32_t>(worker.runs.size());
    availability.interference = std::max(0.0, worker.interference.slowdown - 1.0);
    const steady_time now = leader.shared.clock.now();
    availability.usable = isServing(leader, worker) && now >= worker.health.quarantinedUntil
                          && !worker.servicesOnly;
    if (worker.health.onProbation) {
        availability.usable = availability.usable && worker.runs.empty();
    }
    return availability;
}

void addSize(task_size &sum, const task_size &size)
{
    sum.cores += size.cores;
    sum.memoryBytes += size.memoryBytes;
    sum.accelerators += size.accelerators;
    sum.slots += size.slots;
}

void subtractSize(task_size &sum, const task_size &size)
{
    sum.cores -= size.cores;
    sum.memoryBytes -= size.memoryBytes;
    sum.accelerators -= size.accelerators;
    sum.slots -= size.slots;
}

job_spread spreadOf(const leader_state &leader, std::uint64_t job, const job_record &record)
{
    job_spread spread;
    if (record.spec.taskCount > spreadTaskLimit) {
        return spread;
    }
    for (std::uint32_t number = 0; number < record.spec.taskCount; ++number) {
        const task_record *task = findTask(leader.shared.machine.state(), {job, number});
        if (task == nullptr || task->phase != task_phase::placed) {
            continue;
        }
        const auto worker = leader.workers.find(task->worker);
        if (worker != leader.workers.end()) {
            ++spread.tasksByRack[worker->second->announced.rack];
            ++spread.tasksByDomain[worker->second->announced.failureDomain];
        }
    }
    return spread;
}

bool withinQuota(const leader_state &leader, const pool &workerPool, const job_spec &spec)
{
    const auto quota = workerPool.quotaCores.find(spec.team);
    if (quota == workerPool.quotaCores.end()) {
        return true;
    }
    const auto used = leader.usedCoresByTeam.find(spec.team);
    return (used == leader.usedCoresByTeam.end() ? 0 : used->second) + spec.size.cores
           <= quota->second;
}

std::size_t unconfirmedStarts(const worker_state &worker)
{
    return static_cast<std::size_t>(
            std::count_if(worker.runs.begin(), worker.runs.end(), [](const auto &item) {
                return !item.second.startConfirmed;
            }));
}

bool mayRunTask(const leader_state &leader, const worker_availability &availability,
                const task_id &id)
{
    const auto found = leader.workers.find(availability.name);
    if (found == leader.workers.end()) {
        return false;
    }
    const worker_state &worker = *found->second;
    const bool reservedForOther = worker.reservedFor && *worker.reservedFor != id
                                  && leader.shared.clock.now() < worker.reservedUntil;
    const auto failedOn = leader.lastFailedWorkers.find(id);
    const bool failedHere = failedOn != leader.lastFailedWorkers.end()
                            && failedOn->second == availability.name && leader.workers.size() > 1;
    return !reservedForOther && !failedHere && unconfirmedStarts(worker) < maximumUnconfirmedStarts;
}

// Chooses a worker for one pending task; returns nothing when no worker has the free resources.
std::optional<task_placement> placeOne(leader_state &leader, const task_id &id,
                                       const job_record &job, const job_spread &spread)
{
    const auto index = leader.placementIndexes.find(job.spec.pool);
    const task_record *task = findTask(leader.shared.machine.state(), id);
    if (index == leader.placementIndexes.end() || task == nullptr) {
        return std::nullopt;
    }
    const task_size size = effectiveSize(leader, job.spec);
    const auto chosen = index->second.choose(size, spread, leader.shared.settings.placement,
                                             leader.shared.random,
                                             [&](const worker_availability &availability) {
                                                 return mayRunTask(leader, availability, id);
                                             });
    leader.shared.metricsRegistry.at("mango_placement_examined_total") +=
            index->second.lastExamined();
    if (!chosen) {
        return std::nullopt;
    }
    worker_state &worker = *leader.workers[*chosen];
    addSize(worker.tentative, job.spec.size);
    leader.usedCoresByTeam[job.spec.team] += job.spec.size.cores;
    markStale(leader, *chosen);
    refreshPlacementIndexes(leader);
    return task_placement{id, task->epoch + 1, *chosen, worker.announced.incarnation};
}

// Sets the slots that entries should release on workers of pools in which batch tasks wait.
void requestBatchSlots(leader_state &leader, const std::set<std::string> &starvedPools)
{
    for (auto &[name, worker] : leader.workers) {
        std::uint32_t wanted = 0;
        for (const pool &workerPool : leader.shared.machine.state().parsedPools) {
            if (starvedPools.contains(workerPool.name) && poolIncludes(workerPool, name)
                && !worker->servicesOnly) {
                const std::uint32_t maximumBatchSlots =
                        remaining(worker->announced.slots, workerPool.reservedSlots);
                wanted = std::min(maximumBatchSlots,
                                  worker->placed.slots + worker->tentative.slots + 1);
            }
        }
        worker->requestedBatchSlots = wanted;
    }
}

void releaseTentative(leader_state &leader, const std::vector<task_placement> &placements)
{
    for (const task_placement &placement : placements) {
        const job_record *job = findJob(leader.shared.machine.state(), placement.task.job);
        const auto worker = leader.workers.find(placement.worker);
        if (job != nullptr && worker != leader.workers.end()) {
            subtractSize(worker->second->tentative, job->spec.size);
            leader.usedCoresByTeam[job->spec.team] -= job->spec.size.cores;
            markStale(leader, placement.worker);
        }
    }
}

asio::awaitable<void> placeTasks(leader_handle leader)
{
    const std::vector<task_placement> placements = planPlacements(*leader);
    if (placements.empty() || !isCurrentLeader(*leader)) {
        releaseTentative(*leader, placements);
        co_return;
    }
    const place_tasks_command change{placements};
    const auto committed = co_await proposeCommand(leader->shared.consensus, change);
    releaseTentative(*leader, placements);
    if (failed(committed)) {
        logWarn(log_part::scheduler,
                "Could not commit task placements; they are planned again in a later round.");
        co_return;
    }
    leader->shared.metricsRegistry.at("mango_tasks_placed_total") += placements.size();
    for (const task_placement &placement : placements) {
        leader->shared.events.record("task placed", {toText(placement.task), "", placement.worker,
                                                     "epoch " + std::to_string(placement.epoch)});
    }
}

// Records workers that started or stopped serving since the last call.
void updateServingStates(leader_state &leader)
{
    for (auto &[name, worker] : leader.workers) {
        const bool serving = isServing(leader, *worker);
        if (serving != worker->wasServing) {
            worker->wasServing = serving;
            markStale(leader, name);
            leader.shared.events.record(serving ? "worker serving" : "worker not serving",
                                        {"", "", name, ""});
        }
        if (worker->health.onProbation) {
            markStale(leader, name);
        }
    }
}

} // namespace

void refreshPlacementIndexes(leader_state &leader)
{
    const cluster_state &state = leader.shared.machine.state();
    if (leader.indexedConfigVersion != state.configVersion) {
        leader.indexedConfigVersion = state.configVersion;
        leader.placementIndexes.clear();
        for (const auto &[name, worker] : leader.workers) {
            leader.staleWorkers.insert(name);
        }
    }
    for (const std::string &name : std::exchange(leader.staleWorkers, {})) {
        const auto worker = leader.workers.find(name);
        if (worker == leader.workers.end()) {
            continue;
        }
        const worker_availability availability = availabilityOf(leader, *worker->second);
        for (const pool &workerPool : state.parsedPools) {
            if (poolIncludes(workerPool, name)) {
                leader.placementIndexes[workerPool.name].update(availability);
            }
        }
    }
}

std::vector<task_placement> planPlacements(leader_state &leader)
{
    refreshPlacementIndexes(leader);
    const cluster_state &state = leader.shared.machine.state();
    std::vector<task_placement> placements;
    std::set<std::string> starvedPools;
    for (const auto &[key, numbers] : leader.pending) {
        const job_record *job = findJob(state, key.second);
        const pool *workerPool =
                job == nullptr ? nullptr : findPool(state.parsedPools, job->spec.pool);
        if (workerPool == nullptr || job->cancelled) {
            continue;
        }
        const job_spread spread = spreadOf(leader, key.second, *job);
        for (const std::uint32_t number : numbers) {
            if (placements.size() >= placementsPerRound
                || !withinQuota(leader, *workerPool, job->spec)) {
                break;
            }
            const auto placement = placeOne(leader, {key.second, number}, *job, spread);
            if (!placement) {
                starvedPools.insert(job->spec.pool);
                preemptFor(leader, {key.second, number}, *job);
                break;
            }
            placements.push_back(*placement);
        }
    }
    requestBatchSlots(leader, starvedPools);
    return placements;
}

std::string whyJobNeverRuns(const leader_state &leader, const job_spec &spec)
{
    const cluster_state &state = leader.shared.machine.state();
    const pool *workerPool = findPool(state.parsedPools, spec.pool);
    if (workerPool == nullptr) {
        return "there is no pool " + spec.pool;
    }
    if (workerPool->workers.empty()) {
        return "the pool " + spec.pool + " lists no worker";
    }
    const auto quota = workerPool->quotaCores.find(spec.team);
    if (quota != workerPool->quotaCores.end() && quota->second < spec.size.cores) {
        return "the quota of team " + spec.team + " is smaller than one task";
    }
    std::vector<task_size> sizes;
    for (const auto &[name, worker] : leader.workers) {
        const worker_announcement &announced = worker->announced;
        if (poolIncludes(*workerPool, name) && announced.address.port != 0) {
            sizes.push_back({announced.cores, announced.memoryBytes, announced.accelerators,
                             remaining(announced.slots, workerPool->reservedSlots)});
        }
    }
    return sizes.empty() ? "" : whyNeverFits(spec.size, sizes);
}

asio::awaitable<void> runScheduler(leader_handle leader)
{
    clock_source &clock = leader->shared.clock;
    steady_time nextBalance = clock.now();
    steady_time nextMitigation = clock.now();
    while (leader->active) {
        if (!isCurrentLeader(*leader)) {
            co_await clock.sleepFor(leaderCheckInterval);
            continue;
        }
        if (clock.now() >= nextBalance) {
            nextBalance = clock.now() + creditBalanceInterval;
            updateServingStates(*leader);
            balanceCredits(*leader);
            evacuateDomains(*leader);
        }
        if (clock.now() >= nextMitigation) {
            nextMitigation = clock.now() + mitigationInterval;
            chooseServiceWorkers(*leader);
            mitigateInterference(*leader);
        }
        if (!leader->pending.empty() && !inEntryGracePeriod(*leader)) {
            co_await placeTasks(leader);
        }
        co_await leader->scheduleWake.waitFor(schedulingInterval);
    }
}

asio::awaitable<void> runReporter(leader_handle leader)
{
    while (leader->active) {
        if (leader->reports.empty() || !isCurrentLeader(*leader)) {
            co_await leader->reportWake.waitFor(leaderCheckInterval);
            continue;
        }
        report_tasks_command change;
        change.wallTimeMs = currentWallTimeMs(*leader);
        while (!leader->reports.empty() && change.reports.size() < reportsPerCommand) {
            change.reports.push_back(std::move(leader->reports.front()));
            leader->reports.pop_front();
        }
        const auto committed = co_await proposeCommand(leader->shared.consensus, change);
        if (failed(committed)) {
            // Workers repeat the reports that were not committed.
            for (const task_report &report : change.reports) {
                leader->reportedRuns.erase({report.task, report.epoch});
            }
            continue;
        }
        static constexpr const char *eventNames[] = {
                "task checkpointed", "task evicted",     "task finished", "task failed",
                "task lost",         "task not started", "task lost"};
        for (const task_report &report : change.reports) {
            leader->shared.events.record(eventNames[static_cast<int>(report.change)],
                                         {toText(report.task), "", "", report.outcome});
        }
        leader->shared.metricsRegistry.at("mango_task_reports_total") += change.reports.size();
    }
}

asio::awaitable<void> runExpiry(leader_handle leader)
{
    const control_timing &timing = leader->shared.settings.timing;
    while (leader->active) {
        co_await leader->shared.clock.sleepFor(expiryInterval);
        if (!isCurrentLeader(*leader)) {
            continue;
        }
        const expire_command change{currentWallTimeMs(*leader),
                                    static_cast<std::uint64_t>(timing.claimRetention.count()),
                                    static_cast<std::uint64_t>(timing.jobRetention.count())};
        co_await proposeCommand(leader->shared.consensus, change);
    }
}

} // namespace mango
