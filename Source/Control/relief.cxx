#include "Control/relief.h"

#include <algorithm>

#include "State/queries.h"

namespace mango {

namespace {

constexpr double throttledShare = 0.5;
// How much of the way up a pool's quiet answer time follows its workers in one window.
constexpr double baselineRise = 0.005;
constexpr auto reservationTime = std::chrono::milliseconds(3000);
// A domain that is evacuated stops at most that many tasks of a worker at once.
constexpr std::size_t evacuationsAtOnce = 4;

void setShares(worker_state &worker, double share)
{
    for (auto &[id, run] : worker.runs) {
        run.shareWanted = share;
    }
    worker.wake.notifyAll();
}

const pool *firstPoolOf(const leader_state &leader, const std::string &worker)
{
    for (const pool &row : leader.shared.machine.state().parsedPools) {
        if (poolIncludes(row, worker)) {
            return &row;
        }
    }
    return nullptr;
}

// Follows quiet workers down at once and up slowly, so that noise on all of them at the same time
// is not taken for the usual answer time.
void followBaselines(leader_state &leader)
{
    for (const pool &row : leader.shared.machine.state().parsedPools) {
        std::vector<double> times;
        for (const auto &[name, worker] : leader.workers) {
            if (poolIncludes(row, name)) {
                times.push_back(worker->interference.responseMicroseconds);
            }
        }
        const double current = baselineResponseTime(std::move(times));
        double &baseline = leader.quietMicroseconds[row.name];
        if (baseline == 0 || (current > 0 && current < baseline)) {
            baseline = current;
        } else {
            baseline += baselineRise * (current - baseline);
        }
    }
}

void relieveWorker(leader_state &leader, worker_state &worker, const pool &row)
{
    const auto batchTasks = static_cast<std::uint32_t>(worker.runs.size());
    switch (nextMitigation(worker.interference, thresholdsFor(row.weighting), batchTasks,
                           leader.shared.clock.now())) {
    case mitigation_action::throttle:
        ++leader.shared.counted.at("mango_throttles_total");
        leader.shared.events.record("tasks throttled", {"", "", worker.announced.name, ""});
        setShares(worker, throttledShare);
        break;
    case mitigation_action::release:
        leader.shared.events.record("tasks released", {"", "", worker.announced.name, ""});
        setShares(worker, 1);
        break;
    case mitigation_action::evict:
        if (const auto victim = chooseVictim(candidatesOn(leader, worker), std::nullopt)) {
            stopRun(leader, worker, *victim, "interference");
        }
        break;
    case mitigation_action::none:
        break;
    }
}

} // namespace

void stopRun(leader_state &leader, worker_state &worker, const task_id &id, const char *why)
{
    task_run &run = worker.runs[id];
    if (run.stopWanted) {
        return;
    }
    run.stopWanted = true;
    run.stopWithCheckpoint = true;
    ++leader.shared.counted.at(std::string("mango_evictions_total{reason=\"") + why + "\"}");
    leader.shared.events.record("eviction ordered", {toText(id), "", worker.announced.name, why});
    worker.wake.notifyAll();
}

std::vector<eviction_candidate> candidatesOn(const leader_state &leader, const worker_state &worker)
{
    std::vector<eviction_candidate> candidates;
    for (const auto &[id, run] : worker.runs) {
        const task_record *task = findTask(leader.shared.machine.state(), id);
        const job_record *job = findJob(leader.shared.machine.state(), id.job);
        if (task == nullptr || job == nullptr || run.stopWanted || !run.startConfirmed) {
            continue;
        }
        eviction_candidate candidate;
        candidate.task = id;
        candidate.priority = job->spec.priority;
        candidate.unsavedMs = run.progressMs - std::min(run.progressMs, run.checkpointMs);
        candidate.evictions = task->evictions;
        candidate.budget = job->spec.evictionBudget;
        candidate.cores = job->spec.size.cores;
        candidates.push_back(candidate);
    }
    return candidates;
}

void relieveServices(leader_state &leader)
{
    followBaselines(leader);
    for (auto &[name, worker] : leader.workers) {
        const pool *row = firstPoolOf(leader, name);
        if (row == nullptr) {
            continue;
        }
        if (worker->windowAnswers > 0) {
            observeResponses(worker->interference,
                             worker->windowMicroseconds / worker->windowAnswers,
                             worker->windowAnswers, leader.quietMicroseconds[row->name]);
            worker->windowMicroseconds = 0;
            worker->windowAnswers = 0;
            markStale(leader, name);
        }
        if (leader.shared.settings.interference == interference_policy::ladder) {
            relieveWorker(leader, *worker, *row);
        }
    }
}

void evacuateDomains(leader_state &leader)
{
    for (auto &[name, worker] : leader.workers) {
        const bool out =
                !domainInService(leader.shared.machine.state(), worker->announced.failureDomain);
        if (!out && !worker->leaving) {
            continue;
        }
        std::size_t stopping = 0;
        for (auto &[id, run] : worker->runs) {
            stopping += run.stopWanted ? 1 : 0;
        }
        for (auto &[id, run] : worker->runs) {
            if (stopping >= evacuationsAtOnce) {
                break;
            }
            if (!run.stopWanted && run.startConfirmed) {
                stopRun(leader, *worker, id, out ? "domain" : "leaving");
                ++stopping;
            }
        }
    }
}

void makeRoomFor(leader_state &leader, const task_id &id, const job_record &job)
{
    const steady_time now = leader.shared.clock.now();
    const pool *row = findPool(leader.shared.machine.state().parsedPools, job.spec.pool);
    if (job.spec.priority != priority_class::urgent || row == nullptr) {
        return;
    }
    worker_state *best = nullptr;
    std::optional<task_id> victim;
    std::uint64_t leastUnsaved = 0;
    for (auto &[name, worker] : leader.workers) {
        const bool reserved = worker->reservedFor && now < worker->reservedUntil;
        if (reserved && *worker->reservedFor == id) {
            return;
        }
        if (reserved || !isServing(leader, *worker) || !poolIncludes(*row, name)) {
            continue;
        }
        const auto candidates = candidatesOn(leader, *worker);
        const auto found = chooseVictim(candidates, priority_class::urgent);
        if (!found) {
            continue;
        }
        const auto chosen = std::find_if(candidates.begin(), candidates.end(),
                                         [&](const eviction_candidate &one) {
                                             return one.task == *found;
                                         });
        if (best == nullptr || chosen->unsavedMs < leastUnsaved) {
            best = worker.get();
            victim = found;
            leastUnsaved = chosen->unsavedMs;
        }
    }
    if (best == nullptr) {
        return;
    }
    best->reservedFor = id;
    best->reservedUntil = now + reservationTime;
    stopRun(leader, *best, *victim, "urgent");
}

} // namespace mango
