#include "Dispatch/run_pacing.h"

#include <algorithm>

#include "Common/event_log.h"
#include "Common/log.h"

namespace mango {

namespace asio = boost::asio;

namespace {

// A listing covers the half second before it; one that follows sooner than this adds little.
constexpr auto reportInterval = std::chrono::milliseconds(400);

// Longer than the half second that a listing covers, so that its tail latency is of running time
// only.
constexpr auto settledAfter = std::chrono::milliseconds(600);

bool isRunning(const tracked_run &run)
{
    return run.phase == run_phase::running && !run.endPending && !run.stopRequested;
}

// The latency-critical task with the least headroom between its expected utilisation and its limit.
const serving_task &mostConstrained(const std::vector<serving_task> &serving)
{
    return *std::max_element(
            serving.begin(), serving.end(), [](const serving_task &one, const serving_task &other) {
                return one.load + one.added - one.limit < other.load + other.added - other.limit;
            });
}

// A latency-critical task and its figures in percent, for the log.
std::string toText(const serving_task &task)
{
    const auto percent = [](double share) {
        return std::to_string(static_cast<int>(share * 100));
    };
    return jobName(task.job) + "/" + std::to_string(task.number) + ":tail=" + percent(task.tail)
           + ",load=" + percent(task.load) + ",added=" + percent(task.added)
           + ",limit=" + percent(task.limit) + ",over_ms=" + std::to_string(task.overFor.count());
}

asio::awaitable<void> sendPace(dispatch_handle state, tracked_worker_handle worker, run_key key,
                               std::uint32_t pace, serving_task limitingTask)
{
    const order_target target{worker->record.life, worker->record.address, state->term};
    const auto answer = co_await state->context.workers.pace(target, key, pace);
    const auto found = worker->runs.find(key);
    if (found == worker->runs.end()) {
        co_return;
    }
    logEvent(log_part::scheduler, "run-paced",
             {{"run", toText(key)},
              {"worker", worker->record.life.id},
              {"from", found->second.pacePercent},
              {"to", pace},
              {"for", toText(limitingTask)},
              {"answer", toText(answer.result)}});
    if (answer.result == order_result::done) {
        found->second.pacePercent = pace;
        found->second.paceChangedAt = state->context.clock.now();
    }
}

} // namespace

colocated_tasks colocatedTasksOf(const tracked_worker &worker, steady_time now)
{
    colocated_tasks tasks;
    const auto cores = static_cast<double>(std::max(1U, worker.record.capacity.milliCores));
    for (const auto &[key, run] : worker.runs) {
        if (run.longRunning && run.tailTarget.count() > 0 && isRunning(run)) {
            serving_task task;
            task.image = run.image;
            task.job = key.task.job;
            task.number = key.task.index;
            task.milliCores = run.room.milliCores;
            task.tail = run.recentLoad / static_cast<double>(run.tailTarget.count());
            task.settled = run.percent == 100 && now - run.progressedAt >= settledAfter;
            if (run.overTargetSince) {
                task.overFor = std::chrono::duration_cast<std::chrono::milliseconds>(
                        now - *run.overTargetSince);
            }
            tasks.serving.push_back(task);
        }
        if (run.fillsGaps && !run.endPending) {
            filling_task task;
            task.image = run.image;
            task.wantedShare = run.room.milliCores / cores;
            task.share = isRunning(run) ? run.recentLoad / cores : 0;
            task.pace = run.pacePercent;
            task.sinceChange =
                    std::chrono::duration_cast<std::chrono::milliseconds>(now - run.paceChangedAt);
            if (!run.checkpoints) {
                task.lostByStop = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::max(run.paceChangedAt, run.orderedAt) - run.orderedAt);
            }
            tasks.filling.push_back(task);
            tasks.fillingRuns.push_back(key);
        }
    }
    return tasks;
}

asio::awaitable<void> adjustPaces(dispatch_handle state, tracked_worker_handle worker)
{
    const steady_time now = state->context.clock.now();
    colocated_tasks tasks = colocatedTasksOf(*worker, now);
    if (tasks.serving.empty()) {
        co_return;
    }
    if (now - worker->interferenceLearnedAt >= reportInterval) {
        worker->interferenceLearnedAt = now;
        learnInterference(state->interference, tasks.serving, tasks.filling, now);
    }
    assessServing(state->interference, tasks.serving, tasks.filling, now, pacingHorizon);
    const serving_task limitingTask = mostConstrained(tasks.serving);
    const auto decisions = decidePaces(state->interference, tasks.serving, tasks.filling);
    for (std::size_t at = 0; at < decisions.size(); ++at) {
        const auto found = worker->runs.find(tasks.fillingRuns[at]);
        if (found == worker->runs.end() || !isRunning(found->second) || !holdsLeadership(*state)) {
            continue;
        }
        if (decisions[at].step == pacing_step::evict) {
            logEvent(log_part::scheduler, "run-evicted",
                     {{"run", toText(found->first)},
                      {"worker", worker->record.life.id},
                      {"why", "disturbs"},
                      {"for", toText(limitingTask)},
                      {"percent", found->second.percent}});
            requestStop(state, worker, found->second);
        } else if (decisions[at].step == pacing_step::change) {
            co_await sendPace(state, worker, tasks.fillingRuns[at], decisions[at].pace,
                              limitingTask);
        }
    }
}

} // namespace mango
