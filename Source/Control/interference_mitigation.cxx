#include "Control/interference_mitigation.h"

#include <algorithm>

#include "State/queries.h"

namespace mango {

namespace {

constexpr double throttledShare = 0.5;
// Smoothing factor per window for a rising baseline.
constexpr double baselineRiseFactor = 0.005;
constexpr auto reservationDuration = std::chrono::milliseconds(3000);
// Limits the tasks that an evacuation stops on one worker at the same time.
constexpr std::size_t maximumStopsPerWorker = 4;

void setTargetShares(worker_state &worker, double share)
{
    for (auto &[id, run] : worker.runs) {
        run.targetShare = share;
    }
    worker.wake.notifyAll();
}

const pool *firstPoolOf(const leader_state &leader, const std::string &worker)
{
    for (const pool &workerPool : leader.shared.machine.state().parsedPools) {
        if (poolIncludes(workerPool, worker)) {
            return &workerPool;
        }
    }
    return nullptr;
}

// Lowers the baseline of each pool at once but raises it slowly, so that interference on all
// workers at the same time does not become the baseline.
void updateBaselines(leader_state &leader)
{
    for (const pool &workerPool : leader.shared.machine.state().parsedPools) {
        std::vector<double> times;
        for (const auto &[name, worker] : leader.workers) {
            if (poolIncludes(workerPool, name)) {
                times.push_back(worker->interference.responseMicroseconds);
            }
        }
        const double current = baselineResponseTime(std::move(times));
        double &baseline = leader.baselineMicroseconds[workerPool.name];
        if (baseline == 0 || (current > 0 && current < baseline)) {
            baseline = current;
        } else {
            baseline += baselineRiseFactor * (current - baseline);
        }
    }
}

void mitigateWorker(leader_state &leader, worker_state &worker, const pool &workerPool)
{
    const auto batchTasks = static_cast<std::uint32_t>(worker.runs.size());
    switch (nextMitigation(worker.interference, thresholdsFor(workerPool.weighting), batchTasks,
                           leader.shared.clock.now())) {
    case mitigation_action::throttle:
        ++leader.shared.metricsRegistry.at("mango_throttles_total");
        leader.shared.events.record("tasks throttled", {"", "", worker.announced.name, ""});
        setTargetShares(worker, throttledShare);
        break;
    case mitigation_action::release:
        leader.shared.events.record("tasks released", {"", "", worker.announced.name, ""});
        setTargetShares(worker, 1);
        break;
    case mitigation_action::evict:
        if (const auto victim = chooseVictim(evictionCandidates(leader, worker), std::nullopt)) {
            stopRun(leader, worker, *victim, "interference");
        }
        break;
    case mitigation_action::none:
        break;
    }
}

} // namespace

void stopRun(leader_state &leader, worker_state &worker, const task_id &id, const char *reason)
{
    task_run &run = worker.runs[id];
    if (run.stopRequested) {
        return;
    }
    run.stopRequested = true;
    run.stopWithCheckpoint = true;
    ++leader.shared.metricsRegistry.at(std::string("mango_evictions_total{reason=\"") + reason
                                       + "\"}");
    leader.shared.events.record("eviction ordered",
                                {toText(id), "", worker.announced.name, reason});
    worker.wake.notifyAll();
}

std::vector<eviction_candidate> evictionCandidates(const leader_state &leader,
                                                   const worker_state &worker)
{
    std::vector<eviction_candidate> candidates;
    for (const auto &[id, run] : worker.runs) {
        const task_record *task = findTask(leader.shared.machine.state(), id);
        const job_record *job = findJob(leader.shared.machine.state(), id.job);
        if (task == nullptr || job == nullptr || run.stopRequested || !run.startConfirmed) {
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

void mitigateInterference(leader_state &leader)
{
    updateBaselines(leader);
    for (auto &[name, worker] : leader.workers) {
        const pool *workerPool = firstPoolOf(leader, name);
        if (workerPool == nullptr) {
            continue;
        }
        if (worker->windowResponses > 0) {
            observeResponses(
                    worker->interference, worker->windowMicroseconds / worker->windowResponses,
                    worker->windowResponses, leader.baselineMicroseconds[workerPool->name]);
            worker->windowMicroseconds = 0;
            worker->windowResponses = 0;
            markStale(leader, name);
        }
        if (leader.shared.settings.interference == interference_policy::graduatedMitigation) {
            mitigateWorker(leader, *worker, *workerPool);
        }
    }
}

void evacuateDomains(leader_state &leader)
{
    for (auto &[name, worker] : leader.workers) {
        const bool outOfService =
                !domainInService(leader.shared.machine.state(), worker->announced.failureDomain);
        if (!outOfService && !worker->leaving) {
            continue;
        }
        std::size_t stopping = 0;
        for (auto &[id, run] : worker->runs) {
            stopping += run.stopRequested ? 1 : 0;
        }
        for (auto &[id, run] : worker->runs) {
            if (stopping >= maximumStopsPerWorker) {
                break;
            }
            if (!run.stopRequested && run.startConfirmed) {
                stopRun(leader, *worker, id, outOfService ? "domain" : "leaving");
                ++stopping;
            }
        }
    }
}

void preemptFor(leader_state &leader, const task_id &id, const job_record &job)
{
    const steady_time now = leader.shared.clock.now();
    const pool *workerPool = findPool(leader.shared.machine.state().parsedPools, job.spec.pool);
    if (job.spec.priority != priority_class::urgent || workerPool == nullptr) {
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
        if (reserved || !isServing(leader, *worker) || !poolIncludes(*workerPool, name)) {
            continue;
        }
        const auto candidates = evictionCandidates(leader, *worker);
        const auto found = chooseVictim(candidates, priority_class::urgent);
        if (!found) {
            continue;
        }
        const auto chosen = std::find_if(candidates.begin(), candidates.end(),
                                         [&](const eviction_candidate &candidate) {
                                             return candidate.task == *found;
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
    best->reservedUntil = now + reservationDuration;
    stopRun(leader, *best, *victim, "urgent");
}

} // namespace mango
