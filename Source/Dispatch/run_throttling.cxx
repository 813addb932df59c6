#include "Dispatch/run_throttling.h"

#include <algorithm>

#include "Common/event_log.h"
#include "Common/log.h"

namespace mango {

namespace asio = boost::asio;

namespace {

// A report covers the half second before it; one that follows sooner than this adds little.
constexpr auto reportInterval = std::chrono::milliseconds(400);

// Longer than the half second that a report covers, so that its tail latency is of running time
// only.
constexpr auto settledAfter = std::chrono::milliseconds(600);

bool isRunning(const tracked_run &run)
{
    return run.phase == run_phase::running && !run.endPending && !run.stopRequested;
}

// The latency-critical task with the least headroom between its expected utilisation and its limit.
const latency_critical_task &
mostConstrained(const std::vector<latency_critical_task> &latencyCritical)
{
    return *std::max_element(
            latencyCritical.begin(), latencyCritical.end(),
            [](const latency_critical_task &one, const latency_critical_task &other) {
                return one.load + one.addedLoad - one.loadLimit
                       < other.load + other.addedLoad - other.loadLimit;
            });
}

// A latency-critical task and its figures in percent, for the log.
std::string toText(const latency_critical_task &task)
{
    const auto percent = [](double share) {
        return std::to_string(static_cast<int>(share * 100));
    };
    return formatJobId(task.job) + "/" + std::to_string(task.number)
           + ":tail=" + percent(task.tailRatio) + ",load=" + percent(task.load)
           + ",added=" + percent(task.addedLoad) + ",limit=" + percent(task.loadLimit)
           + ",over_ms=" + std::to_string(task.violationTime.count());
}

asio::awaitable<void> sendThrottle(dispatch_handle state, tracked_worker_handle worker, run_key key,
                                   std::uint32_t percent, latency_critical_task limitingTask)
{
    const worker_call_target target{worker->record.incarnation, worker->record.address,
                                    worker->fencingToken, state->term};
    const auto response = co_await state->context.workers.throttle(target, key, percent);
    const auto found = worker->runs.find(key);
    if (found == worker->runs.end()) {
        co_return;
    }
    logEvent(log_part::scheduler, "run-paced",
             {{"run", toText(key)},
              {"worker", worker->record.incarnation.id},
              {"from", found->second.throttlePercent},
              {"to", percent},
              {"for", toText(limitingTask)},
              {"answer", toText(response.result)}});
    if (response.result == worker_call_result::done) {
        found->second.throttlePercent = percent;
        found->second.throttleChangedAt = state->context.clock.now();
    }
}

} // namespace

colocated_tasks colocatedTasksOf(const tracked_worker &worker, steady_time now)
{
    colocated_tasks tasks;
    if (worker.latencyCriticalRuns == 0) {
        return tasks;
    }
    tasks.latencyCritical.reserve(worker.latencyCriticalRuns);
    const auto cores = static_cast<double>(std::max(1U, worker.record.capacity.milliCores));
    for (const auto &[key, run] : worker.runs) {
        if (run.longRunning && run.tailLatencyTarget.count() > 0 && isRunning(run)) {
            latency_critical_task task;
            task.image = run.image;
            task.job = key.task.job;
            task.number = key.task.index;
            task.milliCores = run.resources.milliCores;
            task.tailRatio = run.recentLoad / static_cast<double>(run.tailLatencyTarget.count());
            task.settled = run.progressPercent == 100 && now - run.progressedAt >= settledAfter;
            if (run.overTargetSince) {
                task.violationTime = std::chrono::duration_cast<std::chrono::milliseconds>(
                        now - *run.overTargetSince);
            }
            tasks.latencyCritical.push_back(task);
        }
        if (run.bestEffort && !run.endPending) {
            best_effort_task task;
            task.image = run.image;
            task.requestedShare = run.resources.milliCores / cores;
            task.usedShare = isRunning(run) ? run.recentLoad / cores : 0;
            task.throttlePercent = run.throttlePercent;
            task.sinceThrottleChange = std::chrono::duration_cast<std::chrono::milliseconds>(
                    now - run.throttleChangedAt);
            if (!run.checkpoints) {
                task.unsavedWork = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::max(run.throttleChangedAt, run.startSentAt) - run.startSentAt);
            }
            tasks.bestEffort.push_back(task);
            tasks.bestEffortRuns.push_back(key);
        }
    }
    return tasks;
}

asio::awaitable<void> adjustThrottles(dispatch_handle state, tracked_worker_handle worker)
{
    const steady_time now = state->context.clock.now();
    colocated_tasks tasks = colocatedTasksOf(*worker, now);
    if (tasks.latencyCritical.empty()) {
        co_return;
    }
    if (now - worker->interferenceLearnedAt >= reportInterval) {
        worker->interferenceLearnedAt = now;
        learnInterference(state->interference, tasks.latencyCritical, tasks.bestEffort, now);
    }
    predictLoads(state->interference, tasks.latencyCritical, tasks.bestEffort, now,
                 throttlingHorizon);
    const latency_critical_task limitingTask = mostConstrained(tasks.latencyCritical);
    const auto decisions =
            decideThrottling(state->interference, tasks.latencyCritical, tasks.bestEffort);
    for (std::size_t at = 0; at < decisions.size(); ++at) {
        const auto found = worker->runs.find(tasks.bestEffortRuns[at]);
        if (found == worker->runs.end() || !isRunning(found->second) || !holdsLeadership(*state)) {
            continue;
        }
        if (decisions[at].action == throttle_action::evict) {
            logEvent(log_part::scheduler, "run-evicted",
                     {{"run", toText(found->first)},
                      {"worker", worker->record.incarnation.id},
                      {"why", "disturbs"},
                      {"for", toText(limitingTask)},
                      {"percent", found->second.progressPercent}});
            requestStop(state, worker, found->second);
        } else if (decisions[at].action == throttle_action::change) {
            co_await sendThrottle(state, worker, tasks.bestEffortRuns[at],
                                  decisions[at].throttlePercent, limitingTask);
        }
    }
}

} // namespace mango
