#include "Dispatch/task_placement.h"

#include "Dispatch/run_pacing.h"

namespace mango {

namespace {

// A step with room waits that long at most; the platform's bound is 3 s.
constexpr auto starvingTime = std::chrono::milliseconds(1500);

// True when nothing of the step has run for long though most of the room is free, or a lasting task
// has waited for long.
bool isStarved(const round_offers &round, live_step &step, bool longRunning, steady_time now)
{
    if (longRunning) {
        return step.lacksSince && now - *step.lacksSince > starvingTime;
    }
    if (!step.onWorkers.empty()) {
        step.starvingSince.reset();
        return false;
    }
    if (!step.starvingSince) {
        step.starvingSince = now;
    }
    return round.mostlyIdle && now - *step.starvingSince > starvingTime;
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
    for (const task_state &task : tasks) {
        run = std::max(run, task.lastRun);
    }
    // Tries on a copy first, so that no member takes room before all have some.
    const job_step &step = ready.agreed->graph.steps[ready.step];
    std::vector<worker_offer> trial = round.offers;
    std::map<worker_incarnation, std::uint32_t> onWorkers;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const placement_need need{&step,
                                  &ready.agreed->queueParameters.service,
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
        ++onWorkers[trial[static_cast<std::size_t>(chosen.at)].record->incarnation];
    }
    ready.live->waiting.clear();
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (!placeTask(state, round, ready, index, run + 1, begun)) {
            ready.live->waiting.push_back(index);
        }
    }
}

} // namespace

round_offers collectOffers(const dispatch_state &state)
{
    round_offers round;
    const steady_time now = state.shared.clock.now();
    const auto &domainsOutOfService = state.shared.machine.state().domainsOutOfService;
    for (const auto &[incarnation, worker] : state.workers) {
        const bool usable = worker->current && !worker->gone && worker->answered
                            && !worker->record.draining && now >= worker->refusesUntil
                            && now - worker->heardAt < state.shared.timing.silentAfter
                            && !domainsOutOfService.contains(worker->record.failureDomain);
        if (!usable) {
            continue;
        }
        worker_images images = imagesOf(*worker, now);
        assessServing(state.interference, images.serving, images.filling, now, joiningHorizon);
        round.offers.push_back({&worker->record, worker->used, worker->lastingMilliCores,
                                worker->longRunningImages, worker->fillingMilliCores,
                                std::move(images.serving), now < worker->restUntil});
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
               std::uint32_t index, std::uint32_t run, begin_runs &begun)
{
    const job_step &step = ready.agreed->graph.steps[ready.step];
    const auto avoided = ready.live->avoided.find(index);
    placement_need need{&step,
                        &ready.agreed->queueParameters.service,
                        &ready.live->onWorkers,
                        &ready.live->onDomains,
                        avoided == ready.live->avoided.end() ? nullptr : &avoided->second,
                        &state->interference,
                        imageId(state->interference, step.image)};
    offer_choice chosen = chooseOffer(round.offers, need);
    const char *why = "fits";
    if (chosen.at < 0
        && isStarved(round, *ready.live, step.longRunning, state->shared.clock.now())) {
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
    const auto free = step.bestEffort ? gapMilliCores(offer)
                                      : std::int64_t(offer.record->capacity.milliCores)
                                                - offer.used.milliCores;
    takeRoom(offer, need);
    const run_key key{{ready.job, ready.occurrence, ready.step, index}, run};
    live_run &added = addRun(*state, worker, key, step, live_phase::planned);
    added.placed = {why, chosen.candidates, free, worker->heardAt};
    begun.runs.push_back({key, worker->record.incarnation});
    return true;
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
            if (!ready.live->lacksSince) {
                ready.live->lacksSince = state->shared.clock.now();
            }
            return;
        }
        waiting.pop_back();
    }
    ready.live->lacksSince.reset();
}

} // namespace mango
