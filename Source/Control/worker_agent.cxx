#include "Control/worker_agent.h"

#include <algorithm>

#include "Common/log.h"
#include "Http/http_client.h"
#include "State/queries.h"

namespace mango {

namespace asio = boost::asio;

namespace {

constexpr auto busyInterval = std::chrono::milliseconds(100);
constexpr auto leaseMargin = std::chrono::milliseconds(200);
constexpr auto retryDelay = std::chrono::milliseconds(250);
// The share of the order validity after which a nonce is too old to send a start with.
constexpr int nonceFreshPercent = 60;
constexpr std::uint32_t failuresBeforeQuarantine = 3;
constexpr std::uint32_t jobsBeforeQuarantine = 2;
constexpr auto longestQuarantine = std::chrono::minutes(5);
constexpr double learnWeight = 0.3;

bool nonceIsFresh(const leader_state &leader, const worker_state &worker)
{
    const auto validity = leader.shared.settings.timing.orderValidity;
    return !worker.nonce.empty()
           && leader.shared.clock.now() < worker.nonceAt + validity * nonceFreshPercent / 100;
}

task_order startOrder(const job_record &job, const task_id &id, const task_record &task)
{
    task_order order;
    order.kind = order_kind::start;
    order.task = id;
    order.epoch = task.epoch;
    order.size = job.spec.size;
    order.runTimeMs = job.spec.runTimeMs;
    order.payload = job.spec.payload;
    order.checkpoint = task.checkpoint;
    return order;
}

// A start that was never sent needs no word of the worker to be taken back.
bool mayStart(const leader_state &leader, const worker_state &worker, const job_record &job,
              const task_record &task)
{
    return !job.cancelled && task.workerIncarnation == worker.announced.incarnation
           && !worker.leaving && isServing(leader, worker) && stillLeads(leader);
}

void queueReport(leader_state &leader, const task_report &report)
{
    if (leader.reported.insert({report.task, report.epoch}).second) {
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
            std::min<std::chrono::milliseconds>(health.nextQuarantine * 2, longestQuarantine);
    health.onTrial = true;
    ++leader.shared.counted.at("mango_quarantines_total");
    leader.shared.events.record("worker quarantined", {"", "", worker.announced.name, ""});
    logWarn(log_part::scheduler,
            "Worker " + worker.announced.name + " failed its tasks and gets no more for now.");
    markStale(leader, worker.announced.name);
}

// Failures of one job alone speak against the job; those of several speak against the worker.
void judgeWorker(leader_state &leader, worker_state &worker, const task_report &report)
{
    worker_health &health = worker.health;
    if (report.change == task_change::finished) {
        health = {};
        return;
    }
    if (report.change != task_change::failed) {
        return;
    }
    leader.lastFailedOn[report.task] = worker.announced.name;
    ++health.consecutiveFailures;
    health.failedJobs.insert(report.task.job);
    const bool several = health.failedJobs.size() >= jobsBeforeQuarantine;
    if (health.onTrial || (health.consecutiveFailures >= failuresBeforeQuarantine && several)) {
        quarantine(leader, worker);
    }
}

void learnSize(leader_state &leader, const job_record &job, const task_status &status)
{
    if (status.cores <= 0 || job.spec.size.cores <= 0 || job.spec.size.memoryBytes == 0) {
        return;
    }
    learned_size &learned = leader.learned[job.spec.route];
    learned.cores += learnWeight * (status.cores / job.spec.size.cores - learned.cores);
    learned.memory +=
            learnWeight
            * (double(status.memoryBytes) / double(job.spec.size.memoryBytes) - learned.memory);
}

task_report reportOf(const task_status &status)
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

void takeRunning(leader_state &leader, worker_state &worker, const task_status &status,
                 const task_record &task)
{
    task_run &run = worker.runs[status.task];
    run.startConfirmed = true;
    run.progressMs = status.progressMs;
    run.shareConfirmed = status.share;
    run.measuredCores = status.cores;
    run.measuredMemory = status.memoryBytes;
    const job_record *job = findJob(leader.shared.machine.state(), status.task.job);
    if (job != nullptr) {
        learnSize(leader, *job, status);
    }
    if (!status.checkpoint.empty() && status.checkpoint != task.checkpoint) {
        run.checkpointMs = status.progressMs;
        queueReport(leader, reportOf(status));
    }
}

void takeStatus(leader_state &leader, worker_state &worker, const task_status &status)
{
    const task_record *task = findTask(leader.shared.machine.state(), status.task);
    const bool current = task != nullptr && task->phase == task_phase::placed
                         && task->epoch == status.epoch && task->worker == worker.announced.name;
    if (!current) {
        // What is recorded already, or never counted, need not be told again.
        task_order order;
        order.kind = status.state == run_state::running ? order_kind::stop : order_kind::forget;
        order.task = status.task;
        order.epoch = status.epoch;
        worker.forgets.push_back(order);
        return;
    }
    if (status.state == run_state::running) {
        takeRunning(leader, worker, status, *task);
        return;
    }
    const task_report report = reportOf(status);
    if (!leader.reported.contains({report.task, report.epoch})) {
        judgeWorker(leader, worker, report);
    }
    queueReport(leader, report);
}

agent_poll nextPoll(leader_state &leader, worker_state &worker)
{
    const control_timing &timing = leader.shared.settings.timing;
    agent_poll poll;
    poll.term = leader.term;
    poll.nonce = worker.nonce;
    poll.leaseMs = static_cast<std::uint64_t>(timing.taskLease.count());
    poll.validForMs = static_cast<std::uint64_t>(timing.orderValidity.count());
    poll.complete = !worker.known;
    if (!inEntryGrace(leader) && leader.allowed.version != 0) {
        poll.sessions = leader.allowed;
    }
    poll.orders = dueOrders(leader, worker);
    return poll;
}

bool hasWork(const worker_state &worker)
{
    return !worker.forgets.empty()
           || std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto &item) {
                  const task_run &run = item.second;
                  return !run.startConfirmed || run.stopWanted
                         || run.shareWanted != run.shareConfirmed;
              });
}

} // namespace

std::vector<task_order> dueOrders(leader_state &leader, worker_state &worker)
{
    const cluster_state &state = leader.shared.machine.state();
    std::vector<task_order> orders = std::exchange(worker.forgets, {});
    for (auto &[id, run] : worker.runs) {
        const task_record *task = findTask(state, id);
        const job_record *job = findJob(state, id.job);
        // A process that started again knows nothing of runs of the one before it.
        if (task == nullptr || job == nullptr || task->phase != task_phase::placed
            || task->workerIncarnation != worker.announced.incarnation) {
            continue;
        }
        task_order order;
        order.task = id;
        order.epoch = task->epoch;
        if (run.stopWanted || job->cancelled) {
            order.kind = order_kind::stop;
            order.withCheckpoint = run.stopWithCheckpoint && !job->cancelled;
            orders.push_back(order);
        } else if (!run.startConfirmed) {
            if (mayStart(leader, worker, *job, *task) && nonceIsFresh(leader, worker)) {
                orders.push_back(startOrder(*job, id, *task));
            } else if (!domainInService(state, worker.announced.failureDomain)) {
                run.stopWanted = true;
            }
        } else if (run.shareWanted != run.shareConfirmed) {
            order.kind = order_kind::throttle;
            order.share = run.shareWanted;
            orders.push_back(order);
        }
    }
    return orders;
}

void takeReply(leader_state &leader, worker_state &worker, const agent_reply &reply)
{
    const steady_time now = leader.shared.clock.now();
    const bool changed = !isServing(leader, worker);
    worker.lastAnswer = now;
    worker.nonce = reply.nonce;
    worker.nonceAt = now;
    // Whatever lease this nonce carries was counted from before it arrived here.
    worker.leaseEnd = now + leader.shared.settings.timing.taskLease + leaseMargin;
    worker.leaving = worker.announced.leaving || reply.leaving;
    worker.known = worker.known || reply.complete;
    if (reply.sessions.version != 0) {
        worker.confirmedList = reply.sessions.version;
        confirmSessions(worker.credits, reply.sessions.sessions, reply.requests);
        markStale(leader, worker.announced.name);
    }
    for (const task_status &status : reply.tasks) {
        takeStatus(leader, worker, status);
    }
    if (changed) {
        markStale(leader, worker.announced.name);
        leader.scheduleWake.notifyAll();
    }
}

void reportLostTasks(leader_state &leader, worker_state &worker)
{
    const steady_time now = leader.shared.clock.now();
    if (now < std::min(worker.leaseEnd, worker.formerLeaseEnd) || !stillLeads(leader)) {
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
        report.change = task_change::lost;
        report.lostMs = run.progressMs - std::min(run.progressMs, task->progressMs);
        queueReport(leader, report);
        leader.shared.events.record("task lost",
                                    {toText(id), "", worker.announced.name, "lease ran out"});
    }
}

asio::awaitable<void> runWorkerAgent(leader_handle leader, std::string name)
{
    const control_timing &timing = leader->shared.settings.timing;
    worker_state &worker = *leader->workers[name];
    host_address address;
    std::unique_ptr<http_client> client;
    while (leader->active) {
        if (!stillLeads(*leader)) {
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
        request.body = encodePoll(nextPoll(*leader, worker));
        const auto answered = co_await client->exchange(request, timing.pollTimeout);
        if (!leader->active) {
            break;
        }
        counters &counted = leader->shared.counted;
        ++counted.at("mango_worker_calls_total");
        counted.at("mango_worker_call_bytes_total{direction=\"out\"}") += request.body.size();
        if (!failed(answered)) {
            counted.at("mango_worker_call_bytes_total{direction=\"in\"}") +=
                    valueOf(answered).body.size();
        }
        reportLostTasks(*leader, worker);
        bool taken = false;
        if (!failed(answered) && valueOf(answered).status == 200) {
            const auto reply = decodeReply(valueOf(answered).body);
            taken = !failed(reply) && valueOf(reply).incarnation == incarnation
                    && incarnation == worker.announced.incarnation;
            if (taken) {
                takeReply(*leader, worker, valueOf(reply));
            }
        }
        if (!taken) {
            ++leader->shared.counted.at("mango_worker_call_failures_total");
            co_await worker.wake.waitFor(retryDelay);
        } else {
            co_await worker.wake.waitFor(hasWork(worker) ? steady_span(busyInterval)
                                                         : steady_span(timing.pollInterval));
        }
    }
}

} // namespace mango
