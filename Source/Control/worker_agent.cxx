#include "Control/worker_agent.h"

#include <algorithm>

#include "Common/log.h"
#include "Http/http_client.h"
#include "State/queries.h"

namespace mango {

namespace asio = boost::asio;

namespace {

constexpr auto activePollInterval = std::chrono::milliseconds(100);
constexpr auto leaseMargin = std::chrono::milliseconds(200);
constexpr auto retryDelay = std::chrono::milliseconds(250);
// The part of the start request validity, in percent, during which a nonce may be used for a start
// request.
constexpr int nonceFreshPercent = 60;
constexpr std::uint32_t failuresBeforeQuarantine = 3;
constexpr std::uint32_t jobsBeforeQuarantine = 2;
constexpr auto maximumQuarantine = std::chrono::minutes(5);
constexpr double sizeSmoothingFactor = 0.3;

bool nonceIsFresh(const leader_state &leader, const worker_state &worker)
{
    const auto validity = leader.shared.settings.timing.startRequestValidity;
    return !worker.nonce.empty()
           && leader.shared.clock.now() < worker.nonceReceived + validity * nonceFreshPercent / 100;
}

run_request makeStartRequest(const job_record &job, const task_id &id, const task_record &task)
{
    run_request request;
    request.kind = run_request_kind::start;
    request.task = id;
    request.epoch = task.epoch;
    request.size = job.spec.size;
    request.runTimeMs = job.spec.runTimeMs;
    request.payload = job.spec.payload;
    request.checkpoint = task.checkpoint;
    return request;
}

// A start request that was never sent can be dropped without a confirmation by the worker.
bool mayStart(const leader_state &leader, const worker_state &worker, const job_record &job,
              const task_record &task)
{
    return !job.cancelled && task.workerIncarnation == worker.announced.incarnation
           && !worker.leaving && isServing(leader, worker) && isCurrentLeader(leader);
}

void queueReport(leader_state &leader, const task_report &report)
{
    if (leader.reportedRuns.insert({report.task, report.epoch}).second) {
        leader.reports.push_back(report);
        leader.reportWake.notifyAll();
    }
}

void quarantine(leader_state &leader, worker_state &worker)
{
    worker_health &health = worker.health;
    if (health.nextQuarantine.count() == 0) {
        health.nextQuarantine = leader.shared.settings.timing.quarantine;
    }
    health.quarantinedUntil = leader.shared.clock.now() + health.nextQuarantine;
    health.nextQuarantine =
            std::min<std::chrono::milliseconds>(health.nextQuarantine * 2, maximumQuarantine);
    health.onProbation = true;
    ++leader.shared.metricsRegistry.at("mango_quarantines_total");
    leader.shared.events.record("worker quarantined", {"", "", worker.announced.name, ""});
    logWarn(log_part::scheduler,
            "Worker " + worker.announced.name + " is quarantined after task failures.");
    markStale(leader, worker.announced.name);
}

// Repeated failures of a single job are attributed to the job, those of several jobs to the worker.
void updateWorkerHealth(leader_state &leader, worker_state &worker, const task_report &report)
{
    worker_health &health = worker.health;
    if (report.change == task_change::finished) {
        health = {};
        return;
    }
    if (report.change != task_change::failed) {
        return;
    }
    leader.lastFailedWorkers[report.task] = worker.announced.name;
    ++health.consecutiveFailures;
    health.failedJobs.insert(report.task.job);
    const bool several = health.failedJobs.size() >= jobsBeforeQuarantine;
    if (health.onProbation || (health.consecutiveFailures >= failuresBeforeQuarantine && several)) {
        quarantine(leader, worker);
    }
}

void updateLearnedSize(leader_state &leader, const job_record &job, const run_status &status)
{
    if (status.cores <= 0 || job.spec.size.cores <= 0 || job.spec.size.memoryBytes == 0) {
        return;
    }
    learned_size &learned = leader.learnedSizes[job.spec.route];
    learned.cores += sizeSmoothingFactor * (status.cores / job.spec.size.cores - learned.cores);
    learned.memory +=
            sizeSmoothingFactor
            * (double(status.memoryBytes) / double(job.spec.size.memoryBytes) - learned.memory);
}

task_report makeReport(const run_status &status)
{
    task_report report;
    report.task = status.task;
    report.epoch = status.epoch;
    report.checkpoint = status.checkpoint;
    report.progressMs = status.progressMs;
    report.lostMs = status.lostMs;
    report.outcome = status.outcome;
    switch (status.state) {
    case run_state::finished:
        report.change = task_change::finished;
        break;
    case run_state::failed:
        report.change = task_change::failed;
        break;
    case run_state::stopped:
        report.change = task_change::evicted;
        break;
    case run_state::unknown:
        report.change = task_change::neverStarted;
        break;
    case run_state::running:
        report.change = task_change::checkpointed;
        break;
    }
    return report;
}

void processRunningTask(leader_state &leader, worker_state &worker, const run_status &status,
                        const task_record &task)
{
    task_run &run = worker.runs[status.task];
    run.startConfirmed = true;
    run.progressMs = status.progressMs;
    run.confirmedShare = status.share;
    run.measuredCores = status.cores;
    run.measuredMemory = status.memoryBytes;
    const job_record *job = findJob(leader.shared.machine.state(), status.task.job);
    if (job != nullptr) {
        updateLearnedSize(leader, *job, status);
    }
    if (!status.checkpoint.empty() && status.checkpoint != task.checkpoint) {
        run.checkpointMs = status.progressMs;
        queueReport(leader, makeReport(status));
    }
}

void processStatus(leader_state &leader, worker_state &worker, const run_status &status)
{
    const task_record *task = findTask(leader.shared.machine.state(), status.task);
    const bool current = task != nullptr && task->phase == task_phase::placed
                         && task->epoch == status.epoch && task->worker == worker.announced.name;
    if (!current) {
        // The run has ended in the replicated state or was never current: the worker need not
        // report it again.
        run_request request;
        request.kind = status.state == run_state::running ? run_request_kind::stop
                                                          : run_request_kind::forget;
        request.task = status.task;
        request.epoch = status.epoch;
        worker.cleanupRequests.push_back(request);
        return;
    }
    if (status.state == run_state::running) {
        processRunningTask(leader, worker, status, *task);
        return;
    }
    const task_report report = makeReport(status);
    if (!leader.reportedRuns.contains({report.task, report.epoch})) {
        updateWorkerHealth(leader, worker, report);
    }
    queueReport(leader, report);
}

agent_poll makePoll(leader_state &leader, worker_state &worker)
{
    const control_timing &timing = leader.shared.settings.timing;
    agent_poll poll;
    poll.term = leader.term;
    poll.nonce = worker.nonce;
    poll.leaseMs = static_cast<std::uint64_t>(timing.taskLease.count());
    poll.validForMs = static_cast<std::uint64_t>(timing.startRequestValidity.count());
    poll.complete = !worker.runsReported;
    if (!inEntryGracePeriod(leader) && leader.allowedSessions.version != 0) {
        poll.sessions = leader.allowedSessions;
    }
    poll.requests = dueRequests(leader, worker);
    return poll;
}

bool hasPendingRequests(const worker_state &worker)
{
    return !worker.cleanupRequests.empty()
           || std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto &item) {
                  const task_run &run = item.second;
                  return !run.startConfirmed || run.stopRequested
                         || run.targetShare != run.confirmedShare;
              });
}

} // namespace

std::vector<run_request> dueRequests(leader_state &leader, worker_state &worker)
{
    const cluster_state &state = leader.shared.machine.state();
    std::vector<run_request> requests = std::exchange(worker.cleanupRequests, {});
    for (auto &[id, run] : worker.runs) {
        const task_record *task = findTask(state, id);
        const job_record *job = findJob(state, id.job);
        // A restarted worker does not know the runs of its previous process.
        if (task == nullptr || job == nullptr || task->phase != task_phase::placed
            || task->workerIncarnation != worker.announced.incarnation) {
            continue;
        }
        run_request request;
        request.task = id;
        request.epoch = task->epoch;
        if (run.stopRequested || job->cancelled) {
            request.kind = run_request_kind::stop;
            request.withCheckpoint = run.stopWithCheckpoint && !job->cancelled;
            requests.push_back(request);
        } else if (!run.startConfirmed) {
            if (mayStart(leader, worker, *job, *task) && nonceIsFresh(leader, worker)) {
                requests.push_back(makeStartRequest(*job, id, *task));
            } else if (!domainInService(state, worker.announced.failureDomain)) {
                run.stopRequested = true;
            }
        } else if (run.targetShare != run.confirmedShare) {
            request.kind = run_request_kind::throttle;
            request.share = run.targetShare;
            requests.push_back(request);
        }
    }
    return requests;
}

void processReply(leader_state &leader, worker_state &worker, const agent_reply &reply)
{
    const steady_time now = leader.shared.clock.now();
    const bool wasNotServing = !isServing(leader, worker);
    worker.lastResponse = now;
    worker.nonce = reply.nonce;
    worker.nonceReceived = now;
    // The worker counts a lease from when it issued the nonce, which is before now.
    worker.leaseEnd = now + leader.shared.settings.timing.taskLease + leaseMargin;
    worker.leaving = worker.announced.leaving || reply.leaving;
    worker.runsReported = worker.runsReported || reply.complete;
    if (reply.sessions.version != 0) {
        worker.confirmedListVersion = reply.sessions.version;
        confirmSessions(worker.credits, reply.sessions.sessions, reply.requests);
        markStale(leader, worker.announced.name);
    }
    for (const run_status &status : reply.runs) {
        processStatus(leader, worker, status);
    }
    if (wasNotServing) {
        markStale(leader, worker.announced.name);
        leader.scheduleWake.notifyAll();
    }
}

void reportLostTasks(leader_state &leader, worker_state &worker)
{
    const steady_time now = leader.shared.clock.now();
    if (now < std::min(worker.leaseEnd, worker.formerLeaseEnd) || !isCurrentLeader(leader)) {
        return;
    }
    for (const auto &[id, run] : worker.runs) {
        const task_record *task = findTask(leader.shared.machine.state(), id);
        if (task == nullptr || task->phase != task_phase::placed) {
            continue;
        }
        const bool former = task->workerIncarnation != worker.announced.incarnation;
        if (now < (former ? worker.formerLeaseEnd : worker.leaseEnd)) {
            continue;
        }
        task_report report;
        report.task = id;
        report.epoch = task->epoch;
        report.change = former ? task_change::workerRestarted : task_change::lost;
        report.lostMs = run.progressMs - std::min(run.progressMs, task->progressMs);
        queueReport(leader, report);
        leader.shared.events.record("task lost", {toText(id), "", worker.announced.name,
                                                  former ? "worker restarted" : "lease ran out"});
    }
}

bool handlePollResponse(leader_state &leader, worker_state &worker, const std::string &incarnation,
                        const result<http_response, http_failure> &response)
{
    bool accepted = false;
    if (!failed(response) && valueOf(response).status == 200) {
        const auto reply = decodeReply(valueOf(response).body);
        accepted = !failed(reply) && valueOf(reply).incarnation == incarnation
                   && incarnation == worker.announced.incarnation;
        if (accepted) {
            processReply(leader, worker, valueOf(reply));
        }
    }
    // Only after the reply, which may tell that a task has finished.
    reportLostTasks(leader, worker);
    return accepted;
}

asio::awaitable<void> runWorkerAgent(leader_handle leader, std::string name)
{
    const control_timing &timing = leader->shared.settings.timing;
    worker_state &worker = *leader->workers[name];
    host_address address;
    std::unique_ptr<http_client> client;
    while (leader->active) {
        if (!isCurrentLeader(*leader)) {
            co_await worker.wake.waitFor(retryDelay);
            continue;
        }
        if (!client || address != worker.announced.address) {
            address = worker.announced.address;
            client = makeHttpClient(leader->shared.executor, {address, "", 16ULL << 20U});
        }
        const std::string incarnation = worker.announced.incarnation;
        http_request request{
                "POST", "/mango/v1/agent", {{"Content-Type", "application/json"}}, "", {}};
        request.body = encodePoll(makePoll(*leader, worker));
        const auto response = co_await client->exchange(request, timing.pollTimeout);
        if (!leader->active) {
            break;
        }
        metrics_registry &metricsRegistry = leader->shared.metricsRegistry;
        ++metricsRegistry.at("mango_worker_calls_total");
        metricsRegistry.at("mango_worker_call_bytes_total{direction=\"out\"}") +=
                request.body.size();
        if (!failed(response)) {
            metricsRegistry.at("mango_worker_call_bytes_total{direction=\"in\"}") +=
                    valueOf(response).body.size();
        }
        if (!handlePollResponse(*leader, worker, incarnation, response)) {
            ++leader->shared.metricsRegistry.at("mango_worker_call_failures_total");
            co_await worker.wake.waitFor(retryDelay);
        } else {
            co_await worker.wake.waitFor(hasPendingRequests(worker)
                                                 ? steady_span(activePollInterval)
                                                 : steady_span(timing.pollInterval));
        }
    }
}

} // namespace mango
