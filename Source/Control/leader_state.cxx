#include "Control/leader_state.h"

#include <algorithm>

#include "State/queries.h"

namespace mango {

namespace {

// Allows for clock drift between the leader and the holder of a lease.
constexpr auto clockMargin = std::chrono::milliseconds(100);
constexpr double maximumLearnedRatio = 4.0;

std::pair<int, std::uint64_t> pendingKey(const job_record &job, std::uint64_t id)
{
    return {-static_cast<int>(job.spec.priority), id};
}

void addPending(leader_state &leader, const task_id &id)
{
    const job_record *job = findJob(leader.shared.machine.state(), id.job);
    if (job != nullptr) {
        leader.pending[pendingKey(*job, id.job)].insert(id.number);
    }
}

void removePending(leader_state &leader, const task_id &id)
{
    const job_record *job = findJob(leader.shared.machine.state(), id.job);
    if (job == nullptr) {
        return;
    }
    const auto found = leader.pending.find(pendingKey(*job, id.job));
    if (found == leader.pending.end()) {
        return;
    }
    found->second.erase(id.number);
    if (found->second.empty()) {
        leader.pending.erase(found);
    }
}

void addSize(task_size &sum, const task_size &size, int sign)
{
    sum.cores += sign * size.cores;
    sum.memoryBytes += static_cast<std::uint64_t>(sign) * size.memoryBytes;
    sum.accelerators += static_cast<std::uint32_t>(sign) * size.accelerators;
    sum.slots += static_cast<std::uint32_t>(sign) * size.slots;
}

// Uses declared sizes, not learned ones, which change over time, so that adding and removing a task
// always cancel out.
void updateUsage(leader_state &leader, const task_id &id, worker_state &worker, int sign)
{
    const job_record *job = findJob(leader.shared.machine.state(), id.job);
    if (job == nullptr) {
        return;
    }
    addSize(worker.placed, job->spec.size, sign);
    leader.usedCoresByTeam[job->spec.team] += sign * job->spec.size.cores;
    markStale(leader, worker.announced.name);
}

void addRun(leader_state &leader, const task_id &id, const task_record &task)
{
    worker_state &worker = findOrAddWorker(leader, task.worker);
    if (worker.runs.try_emplace(id).second) {
        worker.runs[id].checkpointMs = task.progressMs;
        worker.runs[id].progressMs = task.progressMs;
        updateUsage(leader, id, worker, 1);
    }
    worker.wake.notifyAll();
}

void removeRun(leader_state &leader, const task_id &id)
{
    for (auto &[name, worker] : leader.workers) {
        if (worker->runs.erase(id) > 0) {
            updateUsage(leader, id, *worker, -1);
            worker->wake.notifyAll();
            return;
        }
    }
}

// Updates the indexes from the record of one task.
void updateTaskIndexes(leader_state &leader, const task_id &id)
{
    const task_record *task = findTask(leader.shared.machine.state(), id);
    if (task == nullptr) {
        return;
    }
    if (task->phase == task_phase::placed) {
        removePending(leader, id);
        addRun(leader, id, *task);
        return;
    }
    removeRun(leader, id);
    if (task->phase == task_phase::pending) {
        addPending(leader, id);
    } else {
        removePending(leader, id);
        leader.lastFailedWorkers.erase(id);
    }
}

} // namespace

worker_state &findOrAddWorker(leader_state &leader, const std::string &name)
{
    auto &worker = leader.workers[name];
    if (!worker) {
        worker = std::make_unique<worker_state>(leader.shared.clock);
        worker->announced.name = name;
        worker->leaseEnd =
                leader.leadershipStart + leader.shared.settings.timing.taskLease + clockMargin;
        worker->formerLeaseEnd = worker->leaseEnd;
    }
    return *worker;
}

bool isCurrentLeader(const leader_state &leader)
{
    return leader.active && leader.shared.consensus.hasLeaderLease()
           && leader.shared.consensus.term() == leader.term;
}

bool inEntryGracePeriod(const leader_state &leader)
{
    return leader.shared.clock.now()
           < leader.leadershipStart + leader.shared.settings.timing.entryLease + clockMargin;
}

std::uint64_t currentWallTimeMs(const leader_state &leader)
{
    const auto wall = leader.shared.clock.wallTime().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(wall).count());
}

void onCommandApplied(leader_state &leader, const command &change)
{
    const cluster_state &state = leader.shared.machine.state();
    std::visit(overloaded{
                       [&](const submit_job_command &) {
                           // The newest job is the submitted one, unless the submission was refused
                           // or repeated an earlier one.
                           const std::uint64_t job = state.nextJob - 1;
                           const job_record *record = findJob(state, job);
                           for (std::uint32_t number = 0;
                                record != nullptr && number < record->spec.taskCount; ++number) {
                               updateTaskIndexes(leader, {job, number});
                           }
                       },
                       [&](const cancel_job_command &cancelled) {
                           const job_record *record = findJob(state, cancelled.job);
                           for (std::uint32_t number = 0;
                                record != nullptr && number < record->spec.taskCount; ++number) {
                               updateTaskIndexes(leader, {cancelled.job, number});
                           }
                       },
                       [&](const place_tasks_command &placed) {
                           for (const task_placement &placement : placed.placements) {
                               updateTaskIndexes(leader, placement.task);
                           }
                       },
                       [&](const report_tasks_command &reported) {
                           for (const task_report &report : reported.reports) {
                               updateTaskIndexes(leader, report.task);
                               leader.reportedRuns.erase({report.task, report.epoch});
                           }
                       },
                       [&](const auto &) {},
               },
               change);
    leader.scheduleWake.notifyAll();
}

void rebuildIndexes(leader_state &leader)
{
    for (const task_id &id : leader.shared.machine.state().unfinishedTasks) {
        updateTaskIndexes(leader, id);
    }
}

bool isServing(const leader_state &leader, const worker_state &worker)
{
    const control_timing &timing = leader.shared.settings.timing;
    return worker.runsReported && !worker.leaving
           && leader.shared.clock.now() < worker.lastResponse + timing.silentAfter
           && domainInService(leader.shared.machine.state(), worker.announced.failureDomain);
}

task_size effectiveSize(const leader_state &leader, const job_spec &spec)
{
    task_size size = spec.size;
    const auto found = leader.learnedSizes.find(spec.route);
    if (found != leader.learnedSizes.end()) {
        size.cores *= std::clamp(found->second.cores, 1.0, maximumLearnedRatio);
        size.memoryBytes = static_cast<std::uint64_t>(
                static_cast<double>(size.memoryBytes)
                * std::clamp(found->second.memory, 1.0, maximumLearnedRatio));
    }
    return size;
}

void markStale(leader_state &leader, const std::string &worker)
{
    leader.staleWorkers.insert(worker);
}

} // namespace mango
