#include "Dispatch/task_placement.h"

#include "Dispatch/round_report.h"
#include "Dispatch/run_throttling.h"

namespace mango {

namespace {

// Half of the 3 s in which the platform requires a step with free resources to start.
constexpr auto starvationThreshold = std::chrono::milliseconds(1500);

// True when a step has had no run for too long while most cores are free, or when a long-running
// task has waited for too long.
bool isStarved(const round_offers &round, tracked_step &step, bool longRunning, steady_time now)
{
    if (longRunning) {
        return step.unplacedSince && now - *step.unplacedSince > starvationThreshold;
    }
    if (!step.runsPerWorker.empty()) {
        step.idleSince.reset();
        return false;
    }
    if (!step.idleSince) {
        step.idleSince = now;
    }
    return round.mostlyIdle && now - *step.idleSince > starvationThreshold;
}

// Places all members of a gang, or none.
void placeGang(const dispatch_handle &state, round_offers &round, const ready_step &ready,
               begin_runs &started)
{
    const auto &tasks = ready.committedJob->occurrences.at(ready.occurrence).steps[ready.step];
    if (ready.tracked->waiting.size() < tasks.size()) {
        return;
    }
    std::uint32_t run = 0;
    for (const task_state &task : tasks) {
        run = std::max(run, task.lastRun);
    }
    // Tries the placement on a copy, so that no resources are taken unless all members fit.
    const job_step &step = ready.committedJob->graph.steps[ready.step];
    std::vector<worker_offer> trial = round.offers;
    std::map<worker_incarnation, std::uint32_t> runsPerWorker;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const placement_request request{&step,
                                        &ready.committedJob->queueParameters.service,
                                        &runsPerWorker,
                                        &ready.tracked->runsPerDomain,
                                        nullptr,
                                        &state->interference,
                                        imageId(state->interference, step.image)};
        const offer_choice chosen = chooseOffer(trial, request);
        if (chosen.index < 0) {
            return;
        }
        reserveResources(trial[static_cast<std::size_t>(chosen.index)], request);
        ++runsPerWorker[trial[static_cast<std::size_t>(chosen.index)].record->incarnation];
    }
    ready.tracked->waiting.clear();
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (!placeTask(state, round, ready, index, run + 1, started)) {
            ready.tracked->waiting.push_back(index);
        }
    }
}

} // namespace

round_offers collectOffers(const dispatch_state &state)
{
    round_offers round;
    round.offers.reserve(state.workers.size());
    round.workers.reserve(state.workers.size());
    const steady_time now = state.context.clock.now();
    const auto &domainsOutOfService = state.context.machine.state().domainsOutOfService;
    for (const auto &[incarnation, worker] : state.workers) {
        if (!worker->current || worker->exited) {
            ++round.excluded.gone;
            continue;
        }
        if (worker->record.draining) {
            ++round.excluded.draining;
            continue;
        }
        if (domainsOutOfService.contains(worker->record.failureDomain)) {
            ++round.excluded.domainOutOfService;
            continue;
        }
        if (!worker->answered) {
            ++round.excluded.unanswered;
            continue;
        }
        if (now - worker->heardAt >= state.context.timing.silentAfter) {
            ++round.excluded.silent;
            continue;
        }
        if (now < worker->refusesUntil) {
            ++round.excluded.refusing;
            continue;
        }
        colocated_tasks tasks = colocatedTasksOf(*worker, now);
        predictLoads(state.interference, tasks.latencyCritical, tasks.bestEffort, now,
                     placementHorizon);
        round.offers.push_back({&worker->record, worker->used, worker->longRunningMilliCores,
                                worker->longRunningImages, worker->bestEffortMilliCores,
                                std::move(tasks.latencyCritical), now < worker->backoffUntil});
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

bool placeTask(const dispatch_handle &state, round_offers &round, const ready_step &ready,
               std::uint32_t index, std::uint32_t run, begin_runs &started)
{
    const job_step &step = ready.committedJob->graph.steps[ready.step];
    const auto avoidedWorkers = ready.tracked->avoidedWorkers.find(index);
    placement_request request{&step,
                              &ready.committedJob->queueParameters.service,
                              &ready.tracked->runsPerWorker,
                              &ready.tracked->runsPerDomain,
                              avoidedWorkers == ready.tracked->avoidedWorkers.end()
                                      ? nullptr
                                      : &avoidedWorkers->second,
                              &state->interference,
                              imageId(state->interference, step.image)};
    offer_choice chosen = chooseOffer(round.offers, request, round.rejected);
    const char *reason = "fits";
    if (chosen.index < 0
        && isStarved(round, *ready.tracked, step.longRunning, state->context.clock.now())) {
        request.starved = true;
        reason = "starved";
        chosen = chooseOffer(round.offers, request, round.rejected);
    }
    if (chosen.index < 0 && request.avoidedWorkers != nullptr) {
        request.avoidedWorkers = nullptr;
        reason = "tried-before";
        chosen = chooseOffer(round.offers, request, round.rejected);
    }
    if (chosen.index < 0) {
        recordUnplaced(*state, round, ready, request, started.runs.size());
        return false;
    }
    worker_offer &offer = round.offers[static_cast<std::size_t>(chosen.index)];
    const tracked_worker_handle &worker = round.workers[static_cast<std::size_t>(chosen.index)];
    const auto free = step.bestEffort ? reclaimableMilliCores(offer)
                                      : std::int64_t(offer.record->capacity.milliCores)
                                                - offer.used.milliCores;
    reserveResources(offer, request);
    const run_key key{{ready.job, ready.occurrence, ready.step, index}, run};
    tracked_run &added = addRun(*state, worker, key, step, run_phase::planned);
    added.placement = {reason, chosen.candidates, free, worker->heardAt};
    started.runs.push_back({key, worker->record.incarnation});
    return true;
}

void placeStep(const dispatch_handle &state, round_offers &round, const ready_step &ready,
               begin_runs &started)
{
    if (ready.committedJob->graph.steps[ready.step].gang) {
        placeGang(state, round, ready, started);
        return;
    }
    const auto &tasks = ready.committedJob->occurrences.at(ready.occurrence).steps[ready.step];
    std::vector<std::uint32_t> &waiting = ready.tracked->waiting;
    while (!waiting.empty()) {
        const std::uint32_t index = waiting.back();
        if (!tasks[index].done
            && !placeTask(state, round, ready, index, tasks[index].lastRun + 1, started)) {
            if (!ready.tracked->unplacedSince) {
                ready.tracked->unplacedSince = state->context.clock.now();
            }
            return;
        }
        waiting.pop_back();
    }
    ready.tracked->unplacedSince.reset();
}

} // namespace mango
