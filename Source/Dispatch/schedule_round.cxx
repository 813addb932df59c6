#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Common/event_log.h"
#include "Common/log.h"
#include "Dispatch/straggler_runs.h"
#include "Dispatch/task_placement.h"

namespace mango {

namespace asio = boost::asio;

namespace {

// Changes that come within that time share one round and one entry of the log.
constexpr auto roundPause = std::chrono::milliseconds(4);
// The longest time without a round, for what only time decides.
constexpr auto idleRound = std::chrono::milliseconds(100);
// How often what was learned of images is kept for the next leader.
constexpr auto pressureInterval = std::chrono::seconds(3);
// A job earns nothing past that many times its objective.
constexpr int worthlessFactor = 3;

bool dependenciesMet(const job_step &step, const std::vector<live_step> &steps)
{
    return std::all_of(step.dependsOn.begin(), step.dependsOn.end(), [&](std::uint32_t earlier) {
        return steps[earlier].notDone == 0;
    });
}

bool isDue(const dispatch_state &state, const job_graph &graph, std::uint32_t occurrence)
{
    if (!graph.schedule) {
        return true;
    }
    const auto due = graph.schedule->firstAt + graph.schedule->interval * occurrence;
    const auto wall = state.shared.clock.wallTime().time_since_epoch();
    return wall >= due;
}

std::vector<ready_step> collectReady(dispatch_state &state)
{
    std::vector<ready_step> ready;
    const auto &agreed = state.shared.machine.state().jobs;
    for (auto &[number, job] : state.jobs) {
        const auto found = agreed.find(number);
        if (found == agreed.end()) {
            continue;
        }
        const job_graph &graph = found->second.graph;
        const run_times &seen = state.runTimes[found->second.queueParameters.pathPrefix];
        for (auto &[at, steps] : job.occurrences) {
            for (std::uint32_t step = 0; step < steps.size(); ++step) {
                if (steps[step].waiting.empty() || !dependenciesMet(graph.steps[step], steps)
                    || !isDue(state, graph, at)) {
                    continue;
                }
                const auto objective = objectiveOf(state, found->second);
                const step_urgency urgency{found->second.queueParameters.priority,
                                           graph.steps[step].longRunning, job.since + objective,
                                           job.since + objective * worthlessFactor,
                                           expectedChain(seen, graph, step)};
                ready.push_back({number, at, step, &found->second, &steps[step], urgency});
            }
        }
    }
    const steady_time now = state.shared.clock.now();
    std::sort(ready.begin(), ready.end(), [now](const ready_step &one, const ready_step &other) {
        return goesFirst(one.urgency, other.urgency, now);
    });
    return ready;
}

// Has the ends that have come in agreed on.
void flushEnds(const dispatch_handle &state)
{
    if (state->pendingEnds.empty() && state->pendingReceipts.empty()) {
        return;
    }
    std::vector<end_receipt> receipts = std::exchange(state->pendingReceipts, {});
    if (state->pendingEnds.empty() && state->receipts.empty()) {
        // Ends of runs that are over already need no agreement, unless that is still on its way.
        for (const end_receipt &receipt : receipts) {
            receipt.worker->endsAgreed = std::max(receipt.worker->endsAgreed, receipt.number);
            receipt.worker->wake.notifyAll();
        }
        return;
    }
    end_runs ended{state->nextBatch++, std::exchange(state->pendingEnds, {})};
    state->receipts[ended.proposalId] = std::move(receipts);
    asio::co_spawn(state->shared.executor, agree(state, std::move(ended)), asio::detached);
}

// Runs on workers that are silent for longer than their lease are over.
void expireSilentWorkers(const dispatch_handle &state)
{
    const dispatch_timing &timing = state->shared.timing;
    const steady_time now = state->shared.clock.now();
    std::vector<worker_incarnation> forgotten;
    forgetOldLoads(state->interference, now);
    for (const auto &[incarnation, worker] : state->workers) {
        const steady_time leaseOver = worker->answered && worker->clock
                                              ? certainlyPast(*worker->clock, worker->leasedUntil)
                                              : state->began + longestWait(timing.workerLease);
        if (now > leaseOver && !worker->gone) {
            for (auto &[key, run] : worker->runs) {
                if (run.phase != live_phase::planned) {
                    queueEnd(*state, *worker, run, run_outcome::lost, run.checkpoint);
                }
            }
        }
        const bool isOver =
                worker->gone || !worker->current || now - worker->heardAt > timing.forgetAfter;
        if (isOver && worker->runs.empty()) {
            forgotten.push_back(incarnation);
        }
    }
    for (const worker_incarnation &incarnation : forgotten) {
        const auto &agreed = state->shared.machine.state().workers;
        const auto known = agreed.find(incarnation.id);
        if (known != agreed.end() && known->second.incarnation == incarnation) {
            asio::co_spawn(state->shared.executor, agree(state, remove_worker{incarnation}),
                           asio::detached);
        }
        if (const live_worker_handle worker = findWorker(*state, incarnation)) {
            worker->gone = true;
        }
        state->workers.erase(incarnation);
    }
}

// Keeps what was learned for the next leader.
void notePressures(const dispatch_handle &state)
{
    const steady_time now = state->shared.clock.now();
    if (now - state->pressuresNotedAt < pressureInterval || state->interference.pressure.empty()) {
        return;
    }
    state->pressuresNotedAt = now;
    record_pressures noted{exportPressures(state->interference)};
    asio::co_spawn(state->shared.executor, agree(state, std::move(noted)), asio::detached);
}

} // namespace

asio::awaitable<void> runScheduler(dispatch_handle state)
{
    while (state->active) {
        if (!state->changed) {
            co_await state->wake.waitFor(idleRound);
        }
        co_await state->shared.clock.sleepFor(roundPause);
        if (!mayAct(*state)) {
            co_await state->shared.clock.sleepFor(roundPause * 5);
            continue;
        }
        state->changed = false;
        expireSilentWorkers(state);
        flushEnds(state);
        notePressures(state);
        begin_runs begun;
        round_offers round = collectOffers(*state);
        for (const ready_step &ready : collectReady(*state)) {
            placeStep(state, round, ready, begun);
        }
        helpLaggingRuns(state, round, begun);
        if (!begun.runs.empty()) {
            asio::co_spawn(state->shared.executor, agree(state, std::move(begun)), asio::detached);
        }
    }
}

} // namespace mango
