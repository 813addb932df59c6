#include "Dispatch/dispatch_state.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Common/event_log.h"
#include "Common/log.h"

namespace mango {

namespace asio = boost::asio;

namespace {

// Stalls that follow sooner belong to the one before.
constexpr auto stallSpan = std::chrono::milliseconds(2000);

template<class Key>
void countDown(std::map<Key, std::uint32_t> &counts, const Key &key)
{
    const auto found = counts.find(key);
    if (found != counts.end() && --found->second == 0) {
        counts.erase(found);
    }
}

void countRun(dispatch_state &state, const tracked_worker &worker, const run_key &key)
{
    if (live_step *step = findStep(state, key.task)) {
        ++step->onWorkers[worker.record.life];
        ++step->onDomains[worker.record.failureDomain];
    }
}

void addToRoom(tracked_worker &worker, const live_run &run)
{
    worker.used.memoryMb += run.room.memoryMb;
    worker.used.accelerators += run.room.accelerators;
    if (run.fillsGaps) {
        worker.fillingMilliCores += run.room.milliCores;
        return;
    }
    worker.used.milliCores += run.room.milliCores;
    if (run.longRunning) {
        worker.lastingMilliCores += run.room.milliCores;
        ++worker.longRunningImages[run.image];
    }
}

void removeFromRoom(tracked_worker &worker, const live_run &run)
{
    worker.used.memoryMb -= run.room.memoryMb;
    worker.used.accelerators -= run.room.accelerators;
    if (run.fillsGaps) {
        worker.fillingMilliCores -= run.room.milliCores;
        return;
    }
    worker.used.milliCores -= run.room.milliCores;
    if (run.longRunning) {
        worker.lastingMilliCores -= run.room.milliCores;
        countDown(worker.longRunningImages, run.image);
    }
}

} // namespace

live_step *findStep(dispatch_state &state, const task_key &key)
{
    const auto job = state.jobs.find(key.job);
    if (job == state.jobs.end()) {
        return nullptr;
    }
    const auto occurrence = job->second.occurrences.find(key.occurrence);
    return occurrence == job->second.occurrences.end() ? nullptr : &occurrence->second[key.step];
}

void removeRun(dispatch_state &state, const run_key &key)
{
    const auto where = state.whereRuns.find(key);
    if (where == state.whereRuns.end()) {
        return;
    }
    const live_worker_handle worker = where->second;
    state.whereRuns.erase(where);
    const auto run = worker->runs.find(key);
    if (run != worker->runs.end()) {
        removeFromRoom(*worker, run->second);
        worker->runs.erase(run);
    }
    if (live_step *step = findStep(state, key.task)) {
        countDown(step->onWorkers, worker->record.life);
        countDown(step->onDomains, worker->record.failureDomain);
    }
}

bool mayAct(const dispatch_state &state)
{
    return state.active && !state.outranked && state.shared.agreement.hasLeaderLease()
           && state.shared.agreement.term() == state.term;
}

std::chrono::milliseconds objectiveOf(const dispatch_state &state, const graph_job &job)
{
    const auto seen = state.runTimes.find(job.terms.pathPrefix);
    const auto chain =
            expectedChain(seen == state.runTimes.end() ? run_times{} : seen->second, job.graph, 0);
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(chain.count())
                                                               * job.terms.stretch))
           + job.terms.targetLatency;
}

live_worker_handle findWorker(const dispatch_state &state, const worker_life &life)
{
    const auto found = state.workers.find(life);
    return found == state.workers.end() ? nullptr : found->second;
}

void wakeScheduler(dispatch_state &state)
{
    state.changed = true;
    state.wake.notifyAll();
}

live_run &addRun(dispatch_state &state, const live_worker_handle &worker, const run_key &key,
                 const graph_step &step, live_phase phase)
{
    live_run run;
    run.key = key;
    run.room = step.room;
    run.fillsGaps = step.fillsGaps;
    run.longRunning = step.longRunning;
    run.tailTarget = step.tailTarget;
    run.image = imageId(state.interference, step.image);
    run.checkpoints = step.checkpoints;
    run.phase = phase;
    run.orderedAt = state.shared.clock.now();
    run.percentAt = run.orderedAt;
    run.estimate = step.estimate;
    run.allowsCopies = step.allowsCopies;
    addToRoom(*worker, run);
    state.whereRuns[key] = worker;
    countRun(state, *worker, key);
    return worker->runs[key] = std::move(run);
}

void queueEnd(dispatch_state &state, tracked_worker &worker, live_run &run, run_outcome outcome,
              const std::string &checkpoint)
{
    if (run.ending) {
        return;
    }
    run.ending = true;
    state.pendingEnds.push_back({run.key, outcome, checkpoint});
    if (outcome != run_outcome::done) {
        logEvent(log_part::scheduler, "run-over",
                 {{"run", toText(run.key)},
                  {"outcome", toText(outcome)},
                  {"worker", worker.record.life.id}});
    }
    wakeScheduler(state);
}

void noteHealth(dispatch_state &state, tracked_worker &worker, const live_run &run,
                run_outcome outcome, bool stalled)
{
    if (outcome == run_outcome::done) {
        worker.health = {};
        return;
    }
    const steady_time now = state.shared.clock.now();
    // What began before the last rest tells nothing new: many runs of a worker fail together.
    if (run.orderedAt < worker.restSince) {
        return;
    }
    worker.health.failuresInRow += outcome == run_outcome::failed ? 1 : 0;
    // All runs of a worker stand still together: that is one stall.
    if (stalled && now - worker.stalledAt > stallSpan) {
        worker.stalledAt = now;
        ++worker.health.stallsInRow;
    }
    const auto rest = restFor(worker.health);
    if (rest.count() > 0) {
        worker.restSince = now;
        worker.restUntil = std::max(worker.restUntil, now + rest);
        logEvent(log_part::scheduler, "worker-rests",
                 {{"worker", worker.record.life.id},
                  {"failures", worker.health.failuresInRow},
                  {"stalls", worker.health.stallsInRow},
                  {"for_ms", rest.count()}});
    }
}

void requestStop(const dispatch_handle &state, const live_worker_handle &worker, live_run &run)
{
    if (run.stopWanted || run.ending) {
        return;
    }
    run.stopWanted = true;
    if (run.phase == live_phase::planned) {
        return;
    }
    asio::co_spawn(state->shared.executor, sendStop(state, worker, run.key), asio::detached);
}

void noteGone(const dispatch_handle &state, const live_worker_handle &worker)
{
    if (worker->gone) {
        return;
    }
    worker->gone = true;
    logEvent(log_part::scheduler, "worker-gone",
             {{"worker", worker->record.life.id}, {"runs", worker->runs.size()}});
    for (auto &[key, run] : worker->runs) {
        if (run.phase != live_phase::planned) {
            queueEnd(*state, *worker, run, run_outcome::lost, run.checkpoint);
        }
    }
    worker->wake.notifyAll();
}

asio::awaitable<std::optional<fleet_verdict>> agree(dispatch_handle state, fleet_command change)
{
    const steady_time begin = state->shared.clock.now();
    auto agreed = co_await state->shared.agreement.propose(encodeFleetCommand(change));
    state->shared.counted.durations("mango_agree_seconds")
            .observe(state->shared.clock.now() - begin);
    if (failed(agreed)) {
        co_return std::nullopt;
    }
    co_return std::any_cast<fleet_verdict>(valueOf(agreed));
}

} // namespace mango
