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
const serving_task &tightest(const std::vector<serving_task> &serving)
{
    return *std::max_element(
            serving.begin(), serving.end(), [](const serving_task &one, const serving_task &other) {
                return one.load + one.added - one.limit < other.load + other.added - other.limit;
            });
}

// The task that binds and its figures in percent of what its bound allows, for the log.
std::string toText(const serving_task &task)
{
    const auto percent = [](double share) {
        return std::to_string(static_cast<int>(share * 100));
    };
    return formatJobId(task.job) + "/" + std::to_string(task.number) + ":tail=" + percent(task.tail)
           + ",load=" + percent(task.load) + ",added=" + percent(task.added)
           + ",limit=" + percent(task.limit) + ",over_ms=" + std::to_string(task.overFor.count());
}

asio::awaitable<void> sendPace(dispatch_handle state, live_worker_handle worker, run_key key,
                               std::uint32_t pace, serving_task bound)
{
    const worker_call_target target{worker->record.incarnation, worker->record.address,
                                    state->term};
    const auto answer = co_await state->shared.workers.throttle(target, key, pace);
    const auto found = worker->runs.find(key);
    if (found == worker->runs.end()) {
        co_return;
    }
    logEvent(log_part::scheduler, "run-paced",
             {{"run", toText(key)},
              {"worker", worker->record.incarnation.id},
              {"from", found->second.pacedTo},
              {"to", pace},
              {"for", toText(bound)},
              {"answer", toText(answer.result)}});
    if (answer.result == worker_call_result::done) {
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
        if (run.longRunning && run.tailLatencyTarget.count() > 0 && isAtWork(run)) {
            serving_task task;
            task.image = run.image;
            task.job = key.task.job;
            task.number = key.task.index;
            task.milliCores = run.resources.milliCores;
            task.tail = run.recentLoad / static_cast<double>(run.tailLatencyTarget.count());
            task.settled = run.progressPercent == 100 && now - run.percentAt >= settledAfter;
            if (run.overSince) {
                task.overFor =
                        std::chrono::duration_cast<std::chrono::milliseconds>(now - *run.overSince);
            }
            images.serving.push_back(task);
        }
        if (run.bestEffort && !run.ending) {
            filling_task task;
            task.image = run.image;
            task.wantedShare = run.resources.milliCores / cores;
            task.share = isAtWork(run) ? run.recentLoad / cores : 0;
            task.pace = run.pacedTo;
            task.sinceChange =
                    std::chrono::duration_cast<std::chrono::milliseconds>(now - run.pacedSince);
            if (!run.checkpoints) {
                task.lostByStop = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::max(run.pacedSince, run.orderedAt) - run.orderedAt);
            }
            images.filling.push_back(task);
            images.fillingRuns.push_back(key);
        }
    }
    return images;
}

asio::awaitable<void> adjustPaces(dispatch_handle state, live_worker_handle worker)
{
    const steady_time now = state->shared.clock.now();
    worker_images images = imagesOf(*worker, now);
    if (images.serving.empty()) {
        co_return;
    }
    if (now - worker->learnedAt >= reportSpan) {
        worker->learnedAt = now;
        learnInterference(state->interference, images.serving, images.filling, now);
    }
    assessServing(state->interference, images.serving, images.filling, now, pacingHorizon);
    const serving_task bound = tightest(images.serving);
    const auto decisions = decidePaces(state->interference, images.serving, images.filling);
    for (std::size_t at = 0; at < decisions.size(); ++at) {
        const auto found = worker->runs.find(images.fillingRuns[at]);
        if (found == worker->runs.end() || !isAtWork(found->second) || !mayAct(*state)) {
            continue;
        }
        if (decisions[at].step == pacing_step::evict) {
            logEvent(log_part::scheduler, "run-evicted",
                     {{"run", toText(found->first)},
                      {"worker", worker->record.incarnation.id},
                      {"why", "disturbs"},
                      {"for", toText(bound)},
                      {"percent", found->second.progressPercent}});
            requestStop(state, worker, found->second);
        } else if (decisions[at].step == pacing_step::change) {
            co_await sendPace(state, worker, images.fillingRuns[at], decisions[at].pace, bound);
        }
    }
}

} // namespace mango
