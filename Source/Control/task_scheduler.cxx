#include "Control/task_scheduler.h"

#include <algorithm>

#include "Common/log.h"
#include "Control/entry_service.h"
#include "Control/relief.h"
#include "Control/service_workers.h"
#include "State/queries.h"

namespace mango {

namespace asio = boost::asio;

namespace {

constexpr auto roundInterval = std::chrono::milliseconds(50);
constexpr auto balanceInterval = std::chrono::milliseconds(100);
constexpr auto reliefInterval = std::chrono::milliseconds(500);
constexpr auto expiryInterval = std::chrono::seconds(60);
constexpr auto leaderCheckInterval = std::chrono::milliseconds(100);
constexpr std::size_t placementsPerRound = 64;
constexpr std::size_t unconfirmedPerWorker = 4;
constexpr std::size_t reportsPerCommand = 256;
constexpr std::uint32_t spreadTaskLimit = 256;
// The share of cores that batch work may use under a fixed reservation.
constexpr double reservationBatchShare = 0.5;

template<class Number>
Number rest(Number total, Number taken)
{
    return total > taken ? total - taken : Number{0};
}

std::uint32_t reservedSlotsOn(const leader_state &leader, const std::string &worker)
{
    std::uint32_t reserved = 0;
    for (const pool &row : leader.shared.machine.state().parsedPools) {
        if (poolIncludes(row, worker)) {
            reserved = std::max(reserved, row.reservedSlots);
        }
    }
    return reserved;
}

worker_availability roomOf(const leader_state &leader, const worker_state &worker)
{
    const worker_announcement &has = worker.announced;
    const task_size request = requestSizeOn(leader, has.name);
    const std::uint32_t credits = grantedCredits(worker.credits);
    const std::uint32_t batchSlots = worker.placed.slots + worker.tentative.slots;
    const std::uint32_t reserved = reservedSlotsOn(leader, has.name);
    worker_availability room;
    room.name = has.name;
    room.failureDomain = has.failureDomain;
    room.rack = has.rack;
    room.totalCores = has.cores;
    double batchCores = has.cores;
    if (leader.shared.settings.interference == interference_policy::reservation) {
        batchCores *= reservationBatchShare;
    }
    const double batchTaken = worker.placed.cores + worker.tentative.cores;
    room.free.cores = std::min(rest(has.cores, batchTaken + credits * request.cores),
                               rest(batchCores, batchTaken));
    room.free.memoryBytes =
            rest(has.memoryBytes, worker.placed.memoryBytes + worker.tentative.memoryBytes
                                          + credits * request.memoryBytes);
    room.free.accelerators =
            rest(has.accelerators, worker.placed.accelerators + worker.tentative.accelerators
                                           + credits * request.accelerators);
    room.free.slots = std::min(rest(has.slots, batchSlots + credits * request.slots),
                               rest(has.slots, batchSlots + reserved));
    room.tasks = static_cast<std::uint32_t>(worker.runs.size());
    room.interference = std::max(0.0, worker.interference.slowdown - 1.0);
    const steady_time now = leader.shared.clock.now();
    room.usable = isServing(leader, worker) && now >= worker.health.quarantinedUntil
                  && !worker.servicesOnly;
    if (worker.health.onTrial) {
        room.usable = room.usable && worker.runs.empty();
    }
    return room;
}

void addTo(task_size &sum, const task_size &size)
{
    sum.cores += size.cores;
    sum.memoryBytes += size.memoryBytes;
    sum.accelerators += size.accelerators;
    sum.slots += size.slots;
}

void takeFrom(task_size &sum, const task_size &size)
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

bool withinQuota(const leader_state &leader, const pool &row, const job_spec &spec)
{
    const auto quota = row.quotaCores.find(spec.team);
    if (quota == row.quotaCores.end()) {
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

bool mayTakeTask(const leader_state &leader, const worker_availability &room, const task_id &id)
{
    const auto found = leader.workers.find(room.name);
    if (found == leader.workers.end()) {
        return false;
    }
    const worker_state &worker = *found->second;
    const bool reservedForOther = worker.reservedFor && *worker.reservedFor != id
                                  && leader.shared.clock.now() < worker.reservedUntil;
    const auto failedOn = leader.lastFailedOn.find(id);
    const bool failedHere = failedOn != leader.lastFailedOn.end() && failedOn->second == room.name
                            && leader.workers.size() > 1;
    return !reservedForOther && !failedHere && unconfirmedStarts(worker) < unconfirmedPerWorker;
}

// Places one pending task when some worker has room for it now.
std::optional<task_placement> placeOne(leader_state &leader, const task_id &id,
                                       const job_record &job, const job_spread &spread)
{
    const auto rooms = leader.rooms.find(job.spec.pool);
    const task_record *task = findTask(leader.shared.machine.state(), id);
    if (rooms == leader.rooms.end() || task == nullptr) {
        return std::nullopt;
    }
    const task_size size = effectiveSize(leader, job.spec);
    const auto chosen =
            rooms->second.choose(size, spread, leader.shared.settings.placement,
                                 leader.shared.random, [&](const worker_availability &room) {
                                     return mayTakeTask(leader, room, id);
                                 });
    leader.shared.counted.at("mango_placement_examined_total") += rooms->second.lastExamined();
    if (!chosen) {
        return std::nullopt;
    }
    worker_state &worker = *leader.workers[*chosen];
    addTo(worker.tentative, job.spec.size);
    leader.usedCoresByTeam[job.spec.team] += job.spec.size.cores;
    markStale(leader, *chosen);
    refreshRooms(leader);
    return task_placement{id, task->epoch + 1, *chosen, worker.announced.incarnation};
}

// Asks entries to give slots back where batch work waits for them.
void wantBatchSlots(leader_state &leader, const std::set<std::string> &starvedPools)
{
    for (auto &[name, worker] : leader.workers) {
        std::uint32_t wanted = 0;
        for (const pool &row : leader.shared.machine.state().parsedPools) {
            if (starvedPools.contains(row.name) && poolIncludes(row, name)
                && !worker->servicesOnly) {
                const std::uint32_t most = rest(worker->announced.slots, row.reservedSlots);
                wanted = std::min(most, worker->placed.slots + worker->tentative.slots + 1);
            }
        }
        worker->wantedBatchSlots = wanted;
    }
}

void undoTentative(leader_state &leader, const std::vector<task_placement> &placements)
{
    for (const task_placement &placement : placements) {
        const job_record *job = findJob(leader.shared.machine.state(), placement.task.job);
        const auto worker = leader.workers.find(placement.worker);
        if (job != nullptr && worker != leader.workers.end()) {
            takeFrom(worker->second->tentative, job->spec.size);
            leader.usedCoresByTeam[job->spec.team] -= job->spec.size.cores;
            markStale(leader, placement.worker);
        }
    }
}

asio::awaitable<void> placeTasks(leader_handle leader)
{
    const std::vector<task_placement> placements = planPlacements(*leader);
    if (placements.empty() || !stillLeads(*leader)) {
        undoTentative(*leader, placements);
        co_return;
    }
    const place_tasks_command change{placements};
    const auto agreed = co_await proposeCommand(leader->shared.consensus, change);
    undoTentative(*leader, placements);
    if (failed(agreed)) {
        logWarn(log_part::scheduler, "Could not agree on placements.");
        co_return;
    }
    leader->shared.counted.at("mango_tasks_placed_total") += placements.size();
    for (const task_placement &placement : placements) {
        leader->shared.events.record("task placed", {toText(placement.task), "", placement.worker,
                                                     "epoch " + std::to_string(placement.epoch)});
    }
}

// Notices workers that began or ceased to serve since the last look.
void followServing(leader_state &leader)
{
    for (auto &[name, worker] : leader.workers) {
        const bool serving = isServing(leader, *worker);
        if (serving != worker->wasServing) {
            worker->wasServing = serving;
            markStale(leader, name);
            leader.shared.events.record(serving ? "worker serving" : "worker not serving",
                                        {"", "", name, ""});
        }
        if (worker->health.onTrial) {
            markStale(leader, name);
        }
    }
}

} // namespace

void refreshRooms(leader_state &leader)
{
    const cluster_state &state = leader.shared.machine.state();
    if (leader.roomsVersion != state.configVersion) {
        leader.roomsVersion = state.configVersion;
        leader.rooms.clear();
        for (const auto &[name, worker] : leader.workers) {
            leader.staleRooms.insert(name);
        }
    }
    for (const std::string &name : std::exchange(leader.staleRooms, {})) {
        const auto worker = leader.workers.find(name);
        if (worker == leader.workers.end()) {
            continue;
        }
        const worker_availability room = roomOf(leader, *worker->second);
        for (const pool &row : state.parsedPools) {
            if (poolIncludes(row, name)) {
                leader.rooms[row.name].update(room);
            }
        }
    }
}

std::vector<task_placement> planPlacements(leader_state &leader)
{
    refreshRooms(leader);
    const cluster_state &state = leader.shared.machine.state();
    std::vector<task_placement> placements;
    std::set<std::string> starvedPools;
    for (const auto &[key, numbers] : leader.pending) {
        const job_record *job = findJob(state, key.second);
        const pool *row = job == nullptr ? nullptr : findPool(state.parsedPools, job->spec.pool);
        if (row == nullptr || job->cancelled) {
            continue;
        }
        const job_spread spread = spreadOf(leader, key.second, *job);
        for (const std::uint32_t number : numbers) {
            if (placements.size() >= placementsPerRound || !withinQuota(leader, *row, job->spec)) {
                break;
            }
            const auto placement = placeOne(leader, {key.second, number}, *job, spread);
            if (!placement) {
                starvedPools.insert(job->spec.pool);
                makeRoomFor(leader, {key.second, number}, *job);
                break;
            }
            placements.push_back(*placement);
        }
    }
    wantBatchSlots(leader, starvedPools);
    return placements;
}

std::string whyJobNeverRuns(const leader_state &leader, const job_spec &spec)
{
    const cluster_state &state = leader.shared.machine.state();
    const pool *row = findPool(state.parsedPools, spec.pool);
    if (row == nullptr) {
        return "there is no pool " + spec.pool;
    }
    if (row->workers.empty()) {
        return "the pool " + spec.pool + " lists no worker";
    }
    const auto quota = row->quotaCores.find(spec.team);
    if (quota != row->quotaCores.end() && quota->second < spec.size.cores) {
        return "the quota of team " + spec.team + " is smaller than one task";
    }
    std::vector<task_size> sizes;
    for (const auto &[name, worker] : leader.workers) {
        const worker_announcement &has = worker->announced;
        if (poolIncludes(*row, name) && has.address.port != 0) {
            sizes.push_back({has.cores, has.memoryBytes, has.accelerators,
                             rest(has.slots, row->reservedSlots)});
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
        if (!stillLeads(*leader)) {
            co_await clock.sleepFor(leaderCheckInterval);
            continue;
        }
        if (clock.now() >= nextBalance) {
            nextBalance = clock.now() + balanceInterval;
            followServing(*leader);
            balanceCredits(*leader);
            evacuateDomains(*leader);
        }
        if (clock.now() >= nextMitigation) {
            nextMitigation = clock.now() + reliefInterval;
            chooseServiceWorkers(*leader);
            relieveServices(*leader);
        }
        if (!leader->pending.empty() && !inEntryGrace(*leader)) {
            co_await placeTasks(leader);
        }
        co_await leader->scheduleWake.waitFor(roundInterval);
    }
}

asio::awaitable<void> runReporter(leader_handle leader)
{
    while (leader->active) {
        if (leader->reports.empty() || !stillLeads(*leader)) {
            co_await leader->reportWake.waitFor(leaderCheckInterval);
            continue;
        }
        report_tasks_command change;
        change.wallTimeMs = wallMilliseconds(*leader);
        while (!leader->reports.empty() && change.reports.size() < reportsPerCommand) {
            change.reports.push_back(std::move(leader->reports.front()));
            leader->reports.pop_front();
        }
        const auto agreed = co_await proposeCommand(leader->shared.consensus, change);
        if (failed(agreed)) {
            // The workers tell again what was not recorded.
            for (const task_report &report : change.reports) {
                leader->reported.erase({report.task, report.epoch});
            }
            continue;
        }
        static constexpr const char *names[] = {"task checkpointed", "task evicted",
                                                "task finished",     "task failed",
                                                "task lost",         "task not started"};
        for (const task_report &report : change.reports) {
            leader->shared.events.record(names[static_cast<int>(report.change)],
                                         {toText(report.task), "", "", report.outcome});
        }
        leader->shared.counted.at("mango_task_reports_total") += change.reports.size();
    }
}

asio::awaitable<void> runExpiry(leader_handle leader)
{
    const control_timing &timing = leader->shared.settings.timing;
    while (leader->active) {
        co_await leader->shared.clock.sleepFor(expiryInterval);
        if (!stillLeads(*leader)) {
            continue;
        }
        const expire_command change{wallMilliseconds(*leader),
                                    static_cast<std::uint64_t>(timing.claimRetention.count()),
                                    static_cast<std::uint64_t>(timing.jobRetention.count())};
        co_await proposeCommand(leader->shared.consensus, change);
    }
}

} // namespace mango
