#include "Dispatch/task_placement.h"

#include <algorithm>

#include "Dispatch/round_report.h"
#include "Dispatch/service_rooms.h"
#include "Dispatch/straggler_runs.h"
#include "Dispatch/trial_runs.h"

namespace mango {

namespace {

// Half of the 3 s in which the platform requires a step with free resources to start.
constexpr auto starvationThreshold = std::chrono::milliseconds(1500);
// Room is held for the first run of a gang that has waited for longer.
constexpr auto heldRoomThreshold = std::chrono::milliseconds(500);

// True when a step has had no run for too long while most cores are free, or when a long-running
// task has waited for too long.
bool isStarved(const round_offers &round, const ready_step &ready, steady_time now)
{
    if (ready.urgency.longRunning) {
        const auto &since = waitOf(ready).since;
        return since && now - *since > starvationThreshold;
    }
    tracked_step &step = *ready.tracked;
    if (!step.runsPerWorker.empty()) {
        step.idleSince.reset();
        return false;
    }
    if (!step.idleSince) {
        step.idleSince = now;
    }
    return round.mostlyIdle && now - *step.idleSince > starvationThreshold;
}

void beginWait(const dispatch_state &state, const ready_step &ready)
{
    unplaced_wait &wait = waitOf(ready);
    if (!wait.since) {
        wait.since = state.context.clock.now();
    }
}

placement_request makeRequest(dispatch_state &state, const ready_step &ready, std::uint32_t index)
{
    const job_step &step = ready.committedJob->graph.steps[ready.step];
    const auto avoidedWorkers = ready.tracked->avoidedWorkers.find(index);
    return {&step,
            &ready.committedJob->queueParameters.service,
            &ready.tracked->runsPerWorker,
            &ready.tracked->runsPerDomain,
            avoidedWorkers == ready.tracked->avoidedWorkers.end() ? nullptr
                                                                  : &avoidedWorkers->second,
            &state.interference,
            imageId(state.interference, step.image),
            false,
            ready.urgency.priority == 0};
}

// True when the run ends by itself some time, or is about to be stopped.
bool isReleased(const tracked_run &run)
{
    return run.endPending || run.stopRequested || !run.longRunning;
}

// Lists what the runs of a worker are expected to release; cached for the round.
const std::vector<expected_release> &releasesOf(dispatch_state &state, round_offers &round,
                                                std::size_t at)
{
    round.releases.resize(round.workers.size());
    if (round.releases[at]) {
        return *round.releases[at];
    }
    std::vector<expected_release> &releases = round.releases[at].emplace();
    ++state.roundSummary.work.releasesListed;
    const steady_time now = state.context.clock.now();
    const auto &jobs = state.context.machine.state().jobs;
    const tracked_worker &worker = *round.workers[at];
    for (const auto &[key, run] : worker.runs) {
        if (!isReleased(run)) {
            continue;
        }
        expected_release release{std::chrono::milliseconds(0), run.resources};
        if (run.bestEffort) {
            release.resources.milliCores = 0;
        }
        const auto job = jobs.find(key.task.job);
        if (!run.endPending && !run.stopRequested && job != jobs.end()) {
            const auto &queue = job->second.queueParameters.pathPrefix;
            const auto expected = expectedRunTime(state.runTimes[queue], run.estimate);
            release.in = expectedRemainingTime(progressOf(worker, run, expected, now));
        }
        releases.push_back(release);
    }
    std::sort(releases.begin(), releases.end(),
              [](const expected_release &one, const expected_release &other) {
                  return one.in < other.in;
              });
    return releases;
}

// Chooses the offer on which a task is expected to fit soonest.
int chooseToHold(dispatch_state &state, round_offers &round,
                 const std::vector<worker_offer> &offers, const placement_request &request)
{
    round_work &work = state.roundSummary.work;
    const round_part earlier = enterPart(work, round_part::hold, state.context.clock.now());
    ++work.scansToHold;
    const release_source releases = [&](std::size_t at) -> const std::vector<expected_release> & {
        return releasesOf(state, round, at);
    };
    const int chosen = chooseOfferToHold(offers, releases, request);
    enterPart(work, earlier, state.context.clock.now());
    return chosen;
}

// Counts a look at all offers for one task.
void countScan(round_work &work, const round_offers &round)
{
    ++work.scansForTask;
    work.offersScored += round.offers.size();
}

// Chooses for one task from all offers.
offer_choice chooseFromAll(dispatch_state &state, round_offers &round,
                           const placement_request &request)
{
    if (isRejected(round.rejected, request)) {
        return {};
    }
    ++state.roundSummary.work.scansForTask;
    const std::uint64_t scoredBefore = round.index.offersScored;
    const offer_choice choice = chooseIndexed(round.index, round.offers, request);
    state.roundSummary.work.offersScored += round.index.offersScored - scoredBefore;
    if (choice.index < 0 && choice.excludedByRuns == 0) {
        round.rejected.push_back({request.step, request.service, request.image, request.starved});
    }
    return choice;
}

// Keeps the resources of a task from all that is placed later in the round, on the worker where
// they are expected to be free soonest; false when there is none. Each round chooses anew. Counts
// the task in `runsPerWorker`.
bool holdRoom(const dispatch_handle &state, round_offers &round, const ready_step &ready,
              std::uint32_t index, std::map<worker_incarnation, std::uint32_t> &runsPerWorker)
{
    placement_request request = makeRequest(*state, ready, index);
    request.runsPerWorker = &runsPerWorker;
    int chosen = chooseToHold(*state, round, round.offers, request);
    if (chosen < 0 && request.avoidedWorkers != nullptr) {
        request.avoidedWorkers = nullptr;
        chosen = chooseToHold(*state, round, round.offers, request);
    }
    if (chosen < 0) {
        return false;
    }
    worker_offer &offer = round.offers[static_cast<std::size_t>(chosen)];
    reserveResources(offer, request);
    noteOfferChange(round.index, static_cast<std::size_t>(chosen));
    markOfferChanged(*state, round.workers[static_cast<std::size_t>(chosen)]);
    ++runsPerWorker[offer.record->incarnation];
    ++round.held;
    return true;
}

// Chooses as chooseOffer() does, from the ranking for the tasks of one step.
offer_choice chooseRanked(round_work &work, round_offers &round, const placement_request &request,
                          std::optional<offer_ranking> &ranking)
{
    if (isRejected(round.rejected, request)) {
        return {};
    }
    if (!ranking) {
        const auto withRoom = offersWithRoom(round.index, round.offers, request);
        ranking = rankOffers(round.offers, withRoom, request);
        ++work.rankings;
        work.offersScored += withRoom.size();
    }
    offer_choice choice;
    choice.candidates = static_cast<std::uint32_t>(ranking->entries.size());
    choice.index = takeBestOffer(*ranking, round.offers, request);
    choice.excludedByRuns = ranking->excludedByRuns;
    if (choice.index < 0 && choice.excludedByRuns == 0) {
        round.rejected.push_back({request.step, request.service, request.image, request.starved});
    }
    return choice;
}

// True when a ranking for all tasks of a step costs less than a choice from the index for each.
bool wantsRanking(const job_step &step, std::size_t waitingTasks)
{
    constexpr std::size_t manyTasks = 16;
    return step.longRunning
           || (waitingTasks > manyTasks && (step.bestEffort || step.perWorkerLimit > 0));
}

// True when room is held for a gang that does not fit: for a restart at once, else after a while.
bool deservesHeldRoom(const dispatch_state &state, const ready_step &ready)
{
    if (ready.urgency.isRestart) {
        return true;
    }
    const auto &since = waitOf(ready).since;
    return since && state.context.clock.now() - *since > heldRoomThreshold;
}

// True when short tasks of the service have waited for room lately, so that the next task of a
// long-running step waits for them. Room for two such tasks is more than they can use.
bool waitsForShortTasks(dispatch_state &state, round_offers &round, const ready_step &ready)
{
    if (!ready.urgency.longRunning) {
        return false;
    }
    placement_request request = makeRequest(state, ready, 0);
    const service_room &room = state.serviceRooms[*request.service];
    const steady_time now = state.context.clock.now();
    if (admitsLongRunning(room, request.step->resources.milliCores, now)) {
        return false;
    }
    if (ready.urgency.isRestart
        && areRestartsDueDespiteShortage(ready.tracked->restartsWait.since, now)) {
        return false;
    }
    std::optional<steady_time> &admittedAt = ready.tracked->admittedInShortageAt;
    if (isDueDespiteShortage({waitOf(ready).since, admittedAt}, now)) {
        admittedAt = now;
        return false;
    }
    job_step doubled = *request.step;
    doubled.resources.milliCores *= 2;
    request.step = &doubled;
    const bool isDeferred = offersWithRoom(round.index, round.offers, request).empty();
    state.roundSummary.work.deferrals += isDeferred ? 1 : 0;
    return isDeferred;
}

// The offers after an attempt to reserve resources for all members of a gang.
struct gang_trial
{
    std::vector<worker_offer> offers;
    bool fits = true;
    // Every member fits or has resources held for it.
    bool complete = true;
};

// Reserves resources for all members of a gang on a copy of the offers. For a member that does not
// fit it holds them, if `mayHold` is set, on the worker where they are expected to be free soonest.
gang_trial reserveGang(const dispatch_handle &state, round_offers &round, const ready_step &ready,
                       std::size_t members, bool mayHold, const begin_runs &started)
{
    gang_trial trial{round.offers};
    std::map<worker_incarnation, std::uint32_t> runsPerWorker;
    placement_request request = makeRequest(*state, ready, 0);
    request.runsPerWorker = &runsPerWorker;
    request.avoidedWorkers = nullptr;
    for (std::size_t member = 0; member < members; ++member) {
        offer_choice chosen = chooseOffer(trial.offers, request);
        countScan(state->roundSummary.work, round);
        if (chosen.index < 0) {
            if (trial.fits) {
                recordUnplaced(*state, round, trial.offers, ready, request, started.runs.size());
            }
            trial.fits = false;
            chosen.index = mayHold ? chooseToHold(*state, round, trial.offers, request) : -1;
        }
        if (chosen.index < 0) {
            trial.complete = false;
            return trial;
        }
        worker_offer &offer = trial.offers[static_cast<std::size_t>(chosen.index)];
        reserveResources(offer, request);
        ++runsPerWorker[offer.record->incarnation];
    }
    return trial;
}

// The number of tasks, other than restarts and members of gangs, for which a round holds room. More
// would leave too much of a full service unused while the room is awaited.
std::uint32_t mostHeldFirstRuns(const round_offers &round)
{
    constexpr std::uint32_t workersPerHeldTask = 50;
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(round.workers.size())
                                              / workersPerHeldTask);
}

// True when room is held for a task that fits nowhere: for a restart at once, for the first run of
// a task once its step has waited for long, since smaller tasks could use up all that becomes free.
bool mayHoldRoom(const dispatch_state &state, const round_offers &round, const ready_step &ready)
{
    if (ready.urgency.isRestart) {
        return true;
    }
    const steady_time now = state.context.clock.now();
    const bool hasValue = ready.urgency.longRunning || now < ready.urgency.expiresAt;
    const auto &since = waitOf(ready).since;
    return hasValue && !ready.committedJob->graph.steps[ready.step].bestEffort && since
           && now - *since > starvationThreshold && round.heldFirstRuns < mostHeldFirstRuns(round);
}

// Places all members of a gang, or none.
void placeGang(const dispatch_handle &state, round_offers &round, const ready_step &ready,
               begin_runs &started)
{
    const auto &tasks = ready.committedJob->occurrences.at(ready.occurrence).steps[ready.step];
    if (ready.tracked->waiting.size() < tasks.size()) {
        return;
    }
    if (!mayStart(*state, ready, tasks.size())) {
        return;
    }
    const bool mayHold = deservesHeldRoom(*state, ready);
    gang_trial trial = reserveGang(state, round, ready, tasks.size(), mayHold, started);
    if (!trial.fits) {
        beginWait(*state, ready);
        if (mayHold && trial.complete) {
            round.offers = std::move(trial.offers);
            noteAllOffersChanged(round.index);
            state->allOffersChanged = true;
            round.held += static_cast<std::uint32_t>(tasks.size());
        }
        return;
    }
    waitOf(ready).since.reset();
    std::uint32_t run = 0;
    for (const task_state &task : tasks) {
        run = std::max(run, task.lastRun);
    }
    ready.tracked->waiting.clear();
    std::optional<offer_ranking> ranking;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (!placeTask(state, round, ready, index, run + 1, ranking, started)) {
            ready.tracked->waiting.push_back(index);
        }
    }
}

} // namespace

bool isRestart(const task_state &task)
{
    return task.lastRun > 0;
}

unplaced_wait &waitOf(const ready_step &ready)
{
    return ready.urgency.isRestart ? ready.tracked->restartsWait : ready.tracked->wait;
}

namespace {

// Reserves the resources of the chosen offer for a run, and adds the run to its worker and to
// `started`.
tracked_run &addPlacedRun(const dispatch_handle &state, round_offers &round,
                          const ready_step &ready, const placement_request &request,
                          const run_key &key, placement_reason reason, std::size_t chosen,
                          begin_runs &started)
{
    const job_step &step = *request.step;
    worker_offer &offer = round.offers[chosen];
    const tracked_worker_handle &worker = round.workers[chosen];
    reason.freeMilliCores = step.bestEffort ? reclaimableMilliCores(offer)
                                            : std::int64_t(offer.record->capacity.milliCores)
                                                      - offer.used.milliCores;
    reason.heardAt = worker->heardAt;
    reason.earlierCrashes = findTask(*ready.committedJob, key.task)->crashRecord.crashes;
    reserveResources(offer, request);
    noteOfferChange(round.index, chosen);
    ready.tracked->trialWaitSince.erase(key.task.index);
    ready.tracked->explanationWaitSince.erase(key.task.index);
    tracked_run &added = addRun(*state, worker, key, step, run_phase::planned);
    if (step.longRunning) {
        state->serviceRooms[*request.service].longRunning += step.resources.milliCores;
    }
    added.placement = reason;
    // A gang starts as a whole.
    offer.unavailable = offer.unavailable || (worker->observed.limit && !step.gang);
    started.runs.push_back({key, worker->record.incarnation});
    return added;
}

} // namespace

bool tryTask(const dispatch_handle &state, round_offers &round, const ready_step &ready,
             std::uint32_t index, std::uint32_t run, trial_company company, begin_runs &started)
{
    const placement_request request = makeRequest(*state, ready, index);
    const trial_source candidates = [&](std::size_t at) {
        return trialCandidateOf(*state, *round.workers[at]);
    };
    // On a full service it is quick to tell that no worker has room.
    if (!isRoomFor(round.index, round.offers, request)) {
        return false;
    }
    ++state->roundSummary.work.scansForTrial;
    const int chosen = chooseTrialOffer(round.offers, candidates, request, company);
    if (chosen < 0) {
        return false;
    }
    const auto at = static_cast<std::size_t>(chosen);
    const run_key key{{ready.job, ready.occurrence, ready.step, index}, run};
    tracked_run &added = addPlacedRun(state, round, ready, request, key, {"trial"}, at, started);
    beginTrial(*state, round.workers[at], added);
    round.offers[at].unavailable = true;
    noteOfferChange(round.index, at);
    return true;
}

bool placeTask(const dispatch_handle &state, round_offers &round, const ready_step &ready,
               std::uint32_t index, std::uint32_t run, std::optional<offer_ranking> &ranking,
               begin_runs &started)
{
    placement_request request = makeRequest(*state, ready, index);
    const bool isRanked = ranking || wantsRanking(*request.step, ready.tracked->waiting.size());
    offer_choice chosen = request.avoidedWorkers == nullptr && isRanked
                                  ? chooseRanked(state->roundSummary.work, round, request, ranking)
                                  : chooseFromAll(*state, round, request);
    const char *reason = "fits";
    if (chosen.index < 0 && isStarved(round, ready, state->context.clock.now())) {
        request.starved = true;
        reason = "starved";
        chosen = chooseFromAll(*state, round, request);
    }
    if (chosen.index < 0 && request.avoidedWorkers != nullptr) {
        request.avoidedWorkers = nullptr;
        reason = "tried-before";
        chosen = chooseFromAll(*state, round, request);
    }
    if (chosen.index < 0) {
        recordUnplaced(*state, round, round.offers, ready, request, started.runs.size());
        return false;
    }
    const run_key key{{ready.job, ready.occurrence, ready.step, index}, run};
    addPlacedRun(state, round, ready, request, key, {reason, chosen.candidates},
                 static_cast<std::size_t>(chosen.index), started);
    if (ranking) {
        request.starved = false;
        returnOffer(*ranking, round.offers, request, static_cast<std::size_t>(chosen.index));
    }
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
    // The runs by worker, with the tasks for which room is held.
    std::map<worker_incarnation, std::uint32_t> runsPerWorker;
    bool someUnplaced = false;
    std::optional<offer_ranking> ranking;
    for (std::size_t at = 0; at < waiting.size();) {
        const std::uint32_t index = waiting[at];
        const task_state &task = tasks[index];
        if (!task.done) {
            if (ready.urgency.longRunning && isRestart(task) != ready.urgency.isRestart) {
                ++at;
                continue;
            }
            if (!mayStart(*state, ready, 1)) {
                break;
            }
            const trial_outcome trial =
                    tryIfSuspect(state, round, ready, index, task.lastRun + 1, started);
            if (trial == trial_outcome::placed) {
                waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(at));
                continue;
            }
            if (trial == trial_outcome::waits) {
                ++at;
                continue;
            }
            if (waitsForShortTasks(*state, round, ready)) {
                someUnplaced = true;
                break;
            }
            // All tasks of a step need the same resources.
            if (someUnplaced
                || !placeTask(state, round, ready, index, task.lastRun + 1, ranking, started)) {
                if (!someUnplaced) {
                    someUnplaced = true;
                    runsPerWorker = ready.tracked->runsPerWorker;
                }
                if (!mayHoldRoom(*state, round, ready)
                    || !holdRoom(state, round, ready, index, runsPerWorker)) {
                    break;
                }
                round.heldFirstRuns += ready.urgency.isRestart ? 0 : 1;
                ++at;
                continue;
            }
        }
        waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(at));
    }
    if (someUnplaced) {
        recordShortage(*state, ready);
        beginWait(*state, ready);
    } else {
        waitOf(ready).since.reset();
    }
}

} // namespace mango
