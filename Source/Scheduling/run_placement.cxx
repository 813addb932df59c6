#include "Scheduling/run_placement.h"

#include <algorithm>

namespace mango {

namespace {

// The average use of long-running tasks, in percent of the peak that they request.
constexpr std::int64_t longRunningUsePercent = 60;
// The cost of an offer where a best-effort task would use all headroom of a latency-critical task.
// It keeps workers without such tasks for best-effort tasks with a high pressure.
constexpr double headroomCost = 60'000;

std::uint32_t countAt(const std::map<std::string, std::uint32_t> &counts, const std::string &key)
{
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

double shareOf(const worker_offer &offer, const job_step &step)
{
    return step.resources.milliCores
           / static_cast<double>(std::max(1U, offer.record->capacity.milliCores));
}

// Prefers workers on which all long-running tasks are of the image, then workers without any.
std::int64_t imageScore(const worker_offer &offer, image_id image)
{
    constexpr std::int64_t sameImage = 400'000;
    constexpr std::int64_t empty = 300'000;
    constexpr std::int64_t otherImageCost = 100'000;
    if (offer.longRunningImages.empty()) {
        return empty;
    }
    const auto others = static_cast<std::int64_t>(offer.longRunningImages.size())
                        - (offer.longRunningImages.contains(image) ? 1 : 0);
    return (offer.longRunningImages.contains(image) ? sameImage : 0) - others * otherImageCost;
}

bool hasEnoughMemory(const worker_offer &offer, const resource_amounts &requested)
{
    const resource_amounts &capacity = offer.record->capacity;
    return std::uint64_t(offer.used.memoryMb) + requested.memoryMb <= capacity.memoryMb
           && std::uint64_t(offer.used.accelerators) + requested.accelerators
                      <= capacity.accelerators;
}

bool hasEnoughCores(const worker_offer &offer, const job_step &step)
{
    const std::int64_t free = step.bestEffort ? reclaimableMilliCores(offer)
                                              : std::int64_t(offer.record->capacity.milliCores)
                                                        - offer.used.milliCores;
    return std::int64_t(step.resources.milliCores) <= free;
}

std::int64_t rackCost(const worker_offer &offer, const std::string &dataRack)
{
    constexpr std::int64_t otherRackCost = 200'000;
    return dataRack.empty() || offer.record->hasLabel(dataRack) ? 0 : otherRackCost;
}

// Returns a score of a worker without doubts, where higher is better.
std::int64_t soundScoreOf(const worker_offer &offer, const placement_request &request)
{
    const worker_record &record = *offer.record;
    const job_step &step = *request.step;
    if (step.bestEffort) {
        return mostBestEffortScore(offer, step.dataRack)
               - static_cast<std::int64_t>(headroomFraction(*request.interference,
                                                            offer.latencyCritical, request.image,
                                                            shareOf(offer, step))
                                           * headroomCost);
    }
    if (step.longRunning) {
        constexpr std::int64_t sameDomainCost = 1'000'000;
        const auto free = std::int64_t(record.capacity.milliCores) - offer.used.milliCores;
        return imageScore(offer, request.image) - free - rackCost(offer, step.dataRack)
               - countAt(*request.runsPerDomain, record.failureDomain) * sameDomainCost;
    }
    return shortTaskScore(offer, step.dataRack);
}

} // namespace

const char *toText(placement_obstacle obstacle)
{
    switch (obstacle) {
    case placement_obstacle::none:
        return "none";
    case placement_obstacle::unavailable:
        return "unavailable";
    case placement_obstacle::service:
        return "service";
    case placement_obstacle::label:
        return "label";
    case placement_obstacle::backoff:
        return "backoff";
    case placement_obstacle::triedBefore:
        return "tried-before";
    case placement_obstacle::perWorkerLimit:
        return "per-worker-limit";
    case placement_obstacle::cores:
        return "cores";
    case placement_obstacle::memory:
        return "memory";
    case placement_obstacle::coresAndMemory:
        return "cores-and-memory";
    case placement_obstacle::interference:
        return "interference";
    }
    return "unknown";
}

namespace {

// Returns whether the step's earlier runs keep the task from the worker.
placement_obstacle findRunObstacle(const worker_offer &offer, const placement_request &request)
{
    const worker_incarnation &incarnation = offer.record->incarnation;
    if (request.avoidedWorkers != nullptr && request.avoidedWorkers->contains(incarnation)) {
        return placement_obstacle::triedBefore;
    }
    const std::uint32_t limit = request.step->perWorkerLimit;
    if (limit > 0) {
        const auto found = request.runsPerWorker->find(incarnation);
        if (found != request.runsPerWorker->end() && found->second >= limit) {
            return placement_obstacle::perWorkerLimit;
        }
    }
    return placement_obstacle::none;
}

placement_obstacle findWorkerObstacle(const worker_offer &offer, const placement_request &request)
{
    if (offer.unavailable) {
        return placement_obstacle::unavailable;
    }
    const worker_record &record = *offer.record;
    if (record.service != *request.service) {
        return placement_obstacle::service;
    }
    const std::string &label = request.step->requiredLabel;
    if (!label.empty() && !record.hasLabel(label)) {
        return placement_obstacle::label;
    }
    return offer.inBackoff && !request.starved ? placement_obstacle::backoff
                                               : placement_obstacle::none;
}

} // namespace

placement_obstacle findObstacle(const worker_offer &offer, const placement_request &request)
{
    const placement_obstacle byWorker = findWorkerObstacle(offer, request);
    if (byWorker != placement_obstacle::none) {
        return byWorker;
    }
    const job_step &step = *request.step;
    const bool enoughCores = hasEnoughCores(offer, step);
    const bool enoughMemory = hasEnoughMemory(offer, step.resources);
    if (!enoughCores || !enoughMemory) {
        if (enoughMemory) {
            return placement_obstacle::cores;
        }
        return enoughCores ? placement_obstacle::memory : placement_obstacle::coresAndMemory;
    }
    if (step.bestEffort && !request.starved
        && !canColocate(*request.interference, offer.latencyCritical, request.image,
                        shareOf(offer, step))) {
        return placement_obstacle::interference;
    }
    return findRunObstacle(offer, request);
}

bool meetsConstraints(const worker_offer &offer, const placement_request &request)
{
    return findWorkerObstacle(offer, request) == placement_obstacle::none
           && findRunObstacle(offer, request) == placement_obstacle::none;
}

bool fits(const worker_offer &offer, const placement_request &request)
{
    return findObstacle(offer, request) == placement_obstacle::none;
}

std::array<std::uint32_t, placementObstacleCount>
countObstacles(const std::vector<worker_offer> &offers, const placement_request &request)
{
    std::array<std::uint32_t, placementObstacleCount> counts{};
    for (const worker_offer &offer : offers) {
        ++counts[static_cast<std::size_t>(findObstacle(offer, request))];
    }
    return counts;
}

bool isRejected(const std::vector<rejected_request> &rejected, const placement_request &request)
{
    const job_step &step = *request.step;
    return std::any_of(rejected.begin(), rejected.end(), [&](const rejected_request &one) {
        const job_step &other = *one.step;
        // Interference, which depends on the image, matters for best-effort tasks that are not
        // starved.
        const bool sameInterference = !step.bestEffort || one.starved || one.image == request.image;
        return step.bestEffort == other.bestEffort && (one.starved || !request.starved)
               && step.resources.milliCores >= other.resources.milliCores
               && step.resources.memoryMb >= other.resources.memoryMb
               && step.resources.accelerators >= other.resources.accelerators && sameInterference
               && (other.requiredLabel.empty() || step.requiredLabel == other.requiredLabel)
               && *one.service == *request.service;
    });
}

scored_offer scoreOffer(const worker_offer &offer, const placement_request &request)
{
    scored_offer scored;
    // On a full service nearly all offers lack memory or cores, which is quick to tell.
    if (offer.unavailable || !hasEnoughMemory(offer, request.step->resources)
        || !hasEnoughCores(offer, *request.step)) {
        return scored;
    }
    const placement_obstacle obstacle = findObstacle(offer, request);
    scored.fits = obstacle == placement_obstacle::none;
    scored.excludedByRuns = obstacle == placement_obstacle::triedBefore
                            || obstacle == placement_obstacle::perWorkerLimit;
    if (scored.fits) {
        scored.score = soundScoreOf(offer, request) - doubtCost(offer, doubtsOf(request));
    }
    return scored;
}

scored_offer scoreOfferWithRoom(const worker_offer &offer, const offer_with_room &known,
                                const placement_request &request, const image_pressures &pressures)
{
    const job_step &step = *request.step;
    if (step.longRunning) {
        return scoreOffer(offer, request);
    }
    scored_offer scored;
    const double share = step.resources.milliCores
                         / static_cast<double>(std::max<std::int64_t>(1, known.workerMilliCores));
    if (step.bestEffort && !request.starved
        && !canColocate(pressures, offer.latencyCritical, share)) {
        return scored;
    }
    if (request.avoidedWorkers != nullptr || step.perWorkerLimit > 0) {
        scored.excludedByRuns = findRunObstacle(offer, request) != placement_obstacle::none;
    }
    scored.fits = !scored.excludedByRuns;
    scored.score = known.mostScore;
    if (scored.fits && step.bestEffort) {
        const double fraction = headroomFraction(pressures, offer.latencyCritical, share);
        scored.score -= static_cast<std::int64_t>(fraction * headroomCost);
    }
    return scored;
}

image_pressures pressuresFor(const placement_request &request)
{
    return request.step->bestEffort ? pressuresOf(*request.interference, request.image)
                                    : image_pressures{};
}

offer_choice chooseOffer(const std::vector<worker_offer> &offers, const placement_request &request)
{
    offer_choice best;
    std::int64_t bestScore = 0;
    for (std::size_t at = 0; at < offers.size(); ++at) {
        const scored_offer scored = scoreOffer(offers[at], request);
        best.excludedByRuns += scored.excludedByRuns ? 1 : 0;
        if (!scored.fits) {
            continue;
        }
        ++best.candidates;
        if (best.index < 0 || scored.score > bestScore) {
            best.index = static_cast<int>(at);
            bestScore = scored.score;
        }
    }
    return best;
}

offer_choice chooseOffer(const std::vector<worker_offer> &offers, const placement_request &request,
                         std::vector<rejected_request> &rejected)
{
    if (isRejected(rejected, request)) {
        return {};
    }
    const offer_choice choice = chooseOffer(offers, request);
    if (choice.index < 0 && choice.excludedByRuns == 0) {
        rejected.push_back({request.step, request.service, request.image, request.starved});
    }
    return choice;
}

placement_doubts doubtsOf(const placement_request &request)
{
    return {request.urgent, request.avoidedWorkers != nullptr};
}

std::int64_t doubtCost(const worker_offer &offer, const placement_doubts &doubts)
{
    return (doubts.urgent ? offer.urgentCost : offer.otherCost)
           + (doubts.isRetry ? offer.retryCost : 0);
}

std::int64_t shortTaskScore(const worker_offer &offer, const std::string &dataRack)
{
    constexpr std::int64_t besideLongRunning = 100'000;
    const auto free = std::int64_t(offer.record->capacity.milliCores) - offer.used.milliCores;
    return (offer.longRunningMilliCores > 0 ? besideLongRunning - free
                                            : -std::int64_t(offer.used.milliCores))
           - rackCost(offer, dataRack);
}

std::int64_t mostBestEffortScore(const worker_offer &offer, const std::string &dataRack)
{
    constexpr std::int64_t besideLongRunning = 100'000;
    return reclaimableMilliCores(offer) + (offer.latencyCritical.empty() ? 0 : besideLongRunning)
           - rackCost(offer, dataRack);
}

std::int64_t reclaimableMilliCores(const worker_offer &offer)
{
    const std::int64_t shortMilliCores =
            std::int64_t(offer.used.milliCores) - offer.longRunningMilliCores;
    // The predicted utilisation, which is derived from response times, is close to the utilisation
    // of the requested cores.
    std::int64_t predicted = 0;
    double inUse = 0;
    for (const latency_critical_task &task : offer.latencyCritical) {
        predicted += task.milliCores;
        inUse += task.milliCores * std::clamp(task.load, 0.0, 1.0);
    }
    const std::int64_t others = std::max(std::int64_t(0), offer.longRunningMilliCores - predicted);
    return std::int64_t(offer.record->capacity.milliCores) - shortMilliCores
           - static_cast<std::int64_t>(inUse) - others * longRunningUsePercent / 100
           - offer.bestEffortMilliCores;
}

void reserveResources(worker_offer &offer, const placement_request &request)
{
    const job_step &step = *request.step;
    offer.inBackoff = offer.inBackoff || offer.oneAtATime;
    offer.used.memoryMb += step.resources.memoryMb;
    offer.used.accelerators += step.resources.accelerators;
    if (step.bestEffort) {
        offer.bestEffortMilliCores += step.resources.milliCores;
        for (latency_critical_task &task : offer.latencyCritical) {
            task.addedLoad += pressureOf(*request.interference, task.image, request.image)
                              * shareOf(offer, step);
        }
        return;
    }
    offer.used.milliCores += step.resources.milliCores;
    if (step.longRunning) {
        offer.longRunningMilliCores += step.resources.milliCores;
        ++offer.longRunningImages[request.image];
    }
}

} // namespace mango
