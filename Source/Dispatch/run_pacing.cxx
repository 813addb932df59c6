#include "Dispatch/run_pacing.h"

#include <algorithm>

#include "Common/event_log.h"
#include "Common/log.h"

namespace mango {

namespace asio = boost::asio;

namespace {

// The figures of a listing cover that span: a listing that follows sooner tells the same again.
constexpr auto reportSpan = std::chrono::milliseconds(400);

// A listing covers the half second before it.
constexpr auto settledAfter = std::chrono::milliseconds(600);

bool isAtWork(const live_run &run)
{
    return run.phase == live_phase::running && !run.ending && !run.stopWanted;
}

// The serving task that binds most, by what its load and what fills beside it exceed its limit.
const latency_critical_task &tightest(const std::vector<latency_critical_task> &latencyCritical)
{
    return *std::max_element(
            latencyCritical.begin(), latencyCritical.end(),
            [](const latency_critical_task &one, const latency_critical_task &other) {
                return one.load + one.addedLoad - one.loadLimit
                       < other.load + other.addedLoad - other.loadLimit;
            });
}

// The task that binds and its figures in percent of what its bound allows, for the log.
std::string toText(const latency_critical_task &task)
{
    const auto percent = [](double share) {
        return std::to_string(static_cast<int>(share * 100));
    };
    return jobName(task.job) + "/" + std::to_string(task.number)
           + ":tail=" + percent(task.tailRatio) + ",load=" + percent(task.load)
           + ",added=" + percent(task.addedLoad) + ",limit=" + percent(task.loadLimit)
           + ",over_ms=" + std::to_string(task.violationTime.count());
}

asio::awaitable<void> sendPace(dispatch_handle state, live_worker_handle worker, run_key key,
                               std::uint32_t pace, latency_critical_task bound)
{
    const order_target target{worker->record.life, worker->record.address, state->term};
    const auto answer = co_await state->shared.workers.pace(target, key, pace);
    const auto found = worker->runs.find(key);
    if (found == worker->runs.end()) {
        co_return;
    }
    logEvent(log_part::scheduler, "run-paced",
             {{"run", toText(key)},
              {"worker", worker->record.life.id},
              {"from", found->second.pacedTo},
              {"to", pace},
              {"for", toText(bound)},
              {"answer", toText(answer.result)}});
    if (answer.result == order_result::done) {
        found->second.pacedTo = pace;
        found->second.pacedSince = state->shared.clock.now();
    }
}

} // namespace

worker_images imagesOf(const tracked_worker &worker, steady_time now)
{
    worker_images images;
    const auto cores = static_cast<double>(std::max(1U, worker.record.capacity.milliCores));
    for (const auto &[key, run] : worker.runs) {
        if (run.longRunning && run.tailTarget.count() > 0 && isAtWork(run)) {
            latency_critical_task task;
            task.image = run.image;
            task.job = key.task.job;
            task.number = key.task.index;
            task.milliCores = run.room.milliCores;
            task.tailRatio = run.recentLoad / static_cast<double>(run.tailTarget.count());
            task.settled = run.percent == 100 && now - run.percentAt >= settledAfter;
            if (run.overSince) {
                task.violationTime =
                        std::chrono::duration_cast<std::chrono::milliseconds>(now - *run.overSince);
            }
            images.latencyCritical.push_back(task);
        }
        if (run.fillsGaps && !run.ending) {
            best_effort_task task;
            task.image = run.image;
            task.requestedShare = run.room.milliCores / cores;
            task.usedShare = isAtWork(run) ? run.recentLoad / cores : 0;
            task.pacePercent = run.pacedTo;
            task.sincePaceChange =
                    std::chrono::duration_cast<std::chrono::milliseconds>(now - run.pacedSince);
            if (!run.checkpoints) {
                task.unsavedWork = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::max(run.pacedSince, run.orderedAt) - run.orderedAt);
            }
            images.bestEffort.push_back(task);
            images.bestEffortRuns.push_back(key);
        }
    }
    return images;
}

asio::awaitable<void> adjustPaces(dispatch_handle state, live_worker_handle worker)
{
    const steady_time now = state->shared.clock.now();
    worker_images images = imagesOf(*worker, now);
    if (images.latencyCritical.empty()) {
        co_return;
    }
    if (now - worker->learnedAt >= reportSpan) {
        worker->learnedAt = now;
        learnInterference(state->interference, images.latencyCritical, images.bestEffort, now);
    }
    predictLoads(state->interference, images.latencyCritical, images.bestEffort, now,
                 pacingHorizon);
    const latency_critical_task bound = tightest(images.latencyCritical);
    const auto decisions =
            decidePaces(state->interference, images.latencyCritical, images.bestEffort);
    for (std::size_t at = 0; at < decisions.size(); ++at) {
        const auto found = worker->runs.find(images.bestEffortRuns[at]);
        if (found == worker->runs.end() || !isAtWork(found->second) || !mayAct(*state)) {
            continue;
        }
        if (decisions[at].action == pacing_action::evict) {
            logEvent(log_part::scheduler, "run-evicted",
                     {{"run", toText(found->first)},
                      {"worker", worker->record.life.id},
                      {"why", "disturbs"},
                      {"for", toText(bound)},
                      {"percent", found->second.percent}});
            requestStop(state, worker, found->second);
        } else if (decisions[at].action == pacing_action::change) {
            co_await sendPace(state, worker, images.bestEffortRuns[at], decisions[at].pacePercent,
                              bound);
        }
    }
}

} // namespace mango
