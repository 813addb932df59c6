#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Common/event_log.h"
#include "Common/log.h"
#include "Dispatch/run_pacing.h"

namespace mango {

namespace asio = boost::asio;

namespace {

// Changes that come within that time share one round and one entry of the log.
constexpr auto roundPause = std::chrono::milliseconds(4);
// The longest time without a round, for what only time decides.
constexpr auto idleRound = std::chrono::milliseconds(100);
// How often what was learned of images is kept for the next leader.
constexpr auto pressureInterval = std::chrono::seconds(3);
// How often runs are looked over for those that lag.
constexpr auto helpInterval = std::chrono::milliseconds(200);
// A step with room waits that long at most; the platform's bound is 3 s.
constexpr auto starvingTime = std::chrono::milliseconds(1500);
// A job earns nothing past that many times its objective.
constexpr int worthlessFactor = 3;

// A step with waiting tasks that may start now.
struct ready_step
{
    std::uint64_t job = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    const graph_job *agreed = nullptr;
    live_step *live = nullptr;
    step_urgency urgency;
};

bool dependenciesMet(const graph_step &step, const std::vector<live_step> &steps)
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
        const run_times &seen = state.runTimes[found->second.terms.pathPrefix];
        for (auto &[at, steps] : job.occurrences) {
            for (std::uint32_t step = 0; step < steps.size(); ++step) {
                if (steps[step].waiting.empty() || !dependenciesMet(graph.steps[step], steps)
                    || !isDue(state, graph, at)) {
                    continue;
                }
                const auto objective = objectiveOf(state, found->second);
                const step_urgency urgency{found->second.terms.priority, graph.steps[step].lasting,
                                           job.since + objective,
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

struct round_offers
{
    // Less than half of the cores are in use by tasks that do not fill gaps.
    bool mostlyIdle = false;
    std::vector<worker_offer> offers;
    std::vector<live_worker_handle> workers;
};

round_offers collectOffers(const dispatch_state &state)
{
    round_offers round;
    const steady_time now = state.shared.clock.now();
    const auto &domainsOut = state.shared.machine.state().domainsOut;
    for (const auto &[life, worker] : state.workers) {
        const bool usable = worker->current && !worker->gone && worker->answered
                            && !worker->record.draining && now >= worker->restUntil
                            && now - worker->heardAt < state.shared.timing.silentAfter
                            && !domainsOut.contains(worker->record.failureDomain);
        if (!usable) {
            continue;
        }
        worker_images images = imagesOf(*worker, now);
        assessServing(state.interference, images.serving, images.filling, now, joiningHorizon);
        round.offers.push_back({&worker->record, worker->used, worker->lastingMilliCores,
                                worker->lastingImages, worker->fillingMilliCores,
                                std::move(images.serving)});
        round.workers.push_back(worker);
    }
    std::uint64_t used = 0;
    std::uint64_t capacity = 0;
    for (const worker_offer &offer : round.offers) {
        used += offer.used.milliCores;
        capacity += offer.record->capacity.milliCores;
    }
    round.mostlyIdle = used * 2 < capacity;
    return round;
}

// True when nothing of the step has run for long though most of the room is free.
bool isStarved(const round_offers &round, live_step &step, steady_time now)
{
    if (!step.onWorkers.empty()) {
        step.starvingSince.reset();
        return false;
    }
    if (!step.starvingSince) {
        step.starvingSince = now;
    }
    return round.mostlyIdle && now - *step.starvingSince > starvingTime;
}

// Chooses a worker for one waiting task; false when none has room.
bool placeTask(const dispatch_handle &state, round_offers &round, const ready_step &ready,
               std::uint32_t index, std::uint32_t run, begin_runs &begun)
{
    const graph_step &step = ready.agreed->graph.steps[ready.step];
    const auto avoided = ready.live->avoided.find(index);
    placement_need need{&step,
                        &ready.agreed->terms.service,
                        &ready.live->onWorkers,
                        &ready.live->onDomains,
                        avoided == ready.live->avoided.end() ? nullptr : &avoided->second,
                        &state->interference,
                        imageId(state->interference, step.image)};
    offer_choice chosen = chooseOffer(round.offers, need);
    const char *why = "fits";
    if (chosen.at < 0 && isStarved(round, *ready.live, state->shared.clock.now())) {
        need.starved = true;
        why = "starved";
        chosen = chooseOffer(round.offers, need);
    }
    if (chosen.at < 0 && need.avoided != nullptr) {
        need.avoided = nullptr;
        why = "tried-before";
        chosen = chooseOffer(round.offers, need);
    }
    if (chosen.at < 0) {
        return false;
    }
    worker_offer &offer = round.offers[static_cast<std::size_t>(chosen.at)];
    const live_worker_handle &worker = round.workers[static_cast<std::size_t>(chosen.at)];
    const auto free = step.fillsGaps ? gapMilliCores(offer)
                                     : std::int64_t(offer.record->capacity.milliCores)
                                               - offer.used.milliCores;
    takeRoom(offer, need);
    const run_key key{{ready.job, ready.occurrence, ready.step, index}, run};
    live_run &added = addRun(*state, worker, key, step, live_phase::planned);
    added.placed = {why, chosen.candidates, free, worker->heardAt};
    begun.runs.push_back({key, worker->record.life});
    return true;
}

// All members of a gang, or none.
void placeGang(const dispatch_handle &state, round_offers &round, const ready_step &ready,
               begin_runs &begun)
{
    const auto &tasks = ready.agreed->occurrences.at(ready.occurrence).steps[ready.step];
    if (ready.live->waiting.size() < tasks.size()) {
        return;
    }
    std::uint32_t run = 0;
    for (const graph_task &task : tasks) {
        run = std::max(run, task.lastRun);
    }
    // Tries on a copy first, so that no member takes room before all have some.
    const graph_step &step = ready.agreed->graph.steps[ready.step];
    std::vector<worker_offer> trial = round.offers;
    std::map<worker_life, std::uint32_t> onWorkers;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const placement_need need{&step,
                                  &ready.agreed->terms.service,
                                  &onWorkers,
                                  &ready.live->onDomains,
                                  nullptr,
                                  &state->interference,
                                  imageId(state->interference, step.image)};
        const offer_choice chosen = chooseOffer(trial, need);
        if (chosen.at < 0) {
            return;
        }
        takeRoom(trial[static_cast<std::size_t>(chosen.at)], need);
        ++onWorkers[trial[static_cast<std::size_t>(chosen.at)].record->life];
    }
    ready.live->waiting.clear();
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (!placeTask(state, round, ready, index, run + 1, begun)) {
            ready.live->waiting.push_back(index);
        }
    }
}

void placeStep(const dispatch_handle &state, round_offers &round, const ready_step &ready,
               begin_runs &begun)
{
    if (ready.agreed->graph.steps[ready.step].gang) {
        placeGang(state, round, ready, begun);
        return;
    }
    const auto &tasks = ready.agreed->occurrences.at(ready.occurrence).steps[ready.step];
    std::vector<std::uint32_t> &waiting = ready.live->waiting;
    while (!waiting.empty()) {
        const std::uint32_t index = waiting.back();
        if (!tasks[index].done
            && !placeTask(state, round, ready, index, tasks[index].lastRun + 1, begun)) {
            return;
        }
        waiting.pop_back();
    }
}

run_progress progressOf(const live_worker &worker, const live_run &run,
                        std::chrono::milliseconds expected, steady_time now)
{
    const auto since = [now](steady_time at) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - at);
    };
    run_progress progress;
    progress.age = since(run.orderedAt);
    progress.standing = since(run.percentAt);
    progress.percent = run.percent;
    progress.estimate = expected;
    progress.silent = since(worker.heardAt);
    progress.unsure = run.phase == live_phase::unsure;
    // Tasks that fill gaps get what is left, which may be nothing for a while.
    progress.heldBack = run.fillsGaps;
    progress.allowsCopies = run.allowsCopies;
    progress.checkpoints = run.checkpoints;
    progress.lasting = run.lasting;
    return progress;
}

// Gives tasks that lag another run elsewhere, and moves those that stand still.
void helpLaggingRuns(const dispatch_handle &state, round_offers &round, begin_runs &begun)
{
    const steady_time now = state->shared.clock.now();
    if (now - state->helpedAt < helpInterval) {
        return;
    }
    state->helpedAt = now;
    const auto &jobs = state->shared.machine.state().jobs;
    std::vector<std::pair<run_key, live_worker_handle>> runs(state->whereRuns.begin(),
                                                             state->whereRuns.end());
    for (const auto &[key, worker] : runs) {
        live_run &run = worker->runs.at(key);
        const bool atWork = run.phase == live_phase::running || run.phase == live_phase::unsure;
        const auto job = jobs.find(key.task.job);
        const auto live = state->jobs.find(key.task.job);
        if (!atWork || run.ending || run.stopWanted || job == jobs.end()
            || live == state->jobs.end() || job->second.graph.steps[key.task.step].gang) {
            continue;
        }
        live_step &step = live->second.occurrences.at(key.task.occurrence)[key.task.step];
        const auto expected =
                expectedRunTime(state->runTimes[job->second.terms.pathPrefix], run.estimate);
        run_progress progress = progressOf(*worker, run, expected, now);
        const auto tried = step.avoided.find(key.task.index);
        progress.triedElsewhere =
                tried == step.avoided.end() ? 0 : static_cast<std::uint32_t>(tried->second.size());
        const progress_step advice = adviseOnRun(progress);
        if (advice == progress_step::move) {
            step.avoided[key.task.index].insert(worker->record.life);
            logEvent(log_part::scheduler, "run-moved",
                     {{"run", toText(key)},
                      {"worker", worker->record.life.id},
                      {"why", "stands-still"},
                      {"percent", run.percent},
                      {"age_ms", progress.age.count()},
                      {"standing_ms", progress.standing.count()},
                      {"expected_ms", expected.count()}});
            noteHealth(*state, *worker, run_outcome::stopped, true);
            requestStop(state, worker, run);
            continue;
        }
        const graph_task *task = findTask(job->second, key.task);
        const auto first = state->whereRuns.lower_bound({key.task, 0});
        const bool onlyRun = std::next(first) == state->whereRuns.end()
                             || std::next(first)->first.task != key.task;
        if (advice != progress_step::copy || task == nullptr || task->done || !onlyRun) {
            continue;
        }
        ready_step ready;
        ready.job = key.task.job;
        ready.occurrence = key.task.occurrence;
        ready.step = key.task.step;
        ready.agreed = &job->second;
        ready.live = &step;
        ready.live->avoided[key.task.index].insert(worker->record.life);
        if (placeTask(state, round, ready, key.task.index, task->lastRun + 1, begun)) {
            logEvent(log_part::scheduler, "run-copied",
                     {{"run", toText(key)},
                      {"worker", worker->record.life.id},
                      {"percent", run.percent},
                      {"age_ms", progress.age.count()},
                      {"standing_ms", progress.standing.count()},
                      {"silent_ms", progress.silent.count()},
                      {"expected_ms", expected.count()}});
        }
    }
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
    state->receipts[ended.batch] = std::move(receipts);
    asio::co_spawn(state->shared.executor, agree(state, std::move(ended)), asio::detached);
}

// Runs on workers that are silent for longer than their lease are over.
void expireSilentWorkers(const dispatch_handle &state)
{
    const dispatch_timing &timing = state->shared.timing;
    const steady_time now = state->shared.clock.now();
    std::vector<worker_life> forgotten;
    forgetOldLoads(state->interference, now);
    for (const auto &[life, worker] : state->workers) {
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
            forgotten.push_back(life);
        }
    }
    for (const worker_life &life : forgotten) {
        const auto &agreed = state->shared.machine.state().workers;
        const auto known = agreed.find(life.id);
        if (known != agreed.end() && known->second.life == life) {
            asio::co_spawn(state->shared.executor, agree(state, forget_worker{life}),
                           asio::detached);
        }
        if (const live_worker_handle worker = findWorker(*state, life)) {
            worker->gone = true;
        }
        state->workers.erase(life);
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
    note_pressures noted{exportPressures(state->interference)};
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
