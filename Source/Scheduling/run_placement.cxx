#include "Scheduling/run_placement.h"

#include <algorithm>

namespace mango {

namespace {

// Lasting tasks ask for their peak; on average they use about that much of it, in percent.
constexpr std::int64_t lastingUsePercent = 60;

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

// A worker whose lasting tasks are all of the image is best, an empty one next.
std::int64_t imageScore(const worker_offer &offer, image_id image)
{
    constexpr std::int64_t alike = 400'000;
    constexpr std::int64_t empty = 300'000;
    constexpr std::int64_t otherImage = 100'000;
    if (offer.longRunningImages.empty()) {
        return empty;
    }
    const auto others = static_cast<std::int64_t>(offer.longRunningImages.size())
                        - (offer.longRunningImages.contains(image) ? 1 : 0);
    return (offer.longRunningImages.contains(image) ? alike : 0) - others * otherImage;
}

// Larger is better.
std::int64_t scoreOf(const worker_offer &offer, const placement_need &need)
{
    const worker_record &record = *offer.record;
    const job_step &step = *need.step;
    const auto free = std::int64_t(record.capacity.milliCores) - offer.used.milliCores;
    std::int64_t score = 0;
    if (step.bestEffort) {
        // Workers without lasting tasks are kept for those that disturb.
        constexpr std::int64_t besideLasting = 100'000;
        constexpr double strainCost = 60'000;
        score = gapMilliCores(offer) + (offer.serving.empty() ? 0 : besideLasting)
                - static_cast<std::int64_t>(strainOf(*need.interference, offer.serving, need.image,
                                                     shareOf(offer, step))
                                            * strainCost);
    } else if (step.longRunning) {
        constexpr std::int64_t sameDomainCost = 1'000'000;
        score = imageScore(offer, need.image) - free
                - countAt(*need.onDomains, record.failureDomain) * sameDomainCost;
    } else {
        constexpr std::int64_t besideLasting = 100'000;
        score = free + (offer.lastingMilliCores > 0 ? besideLasting : 0);
    }
    if (!step.dataRack.empty() && !record.hasLabel(step.dataRack)) {
        constexpr std::int64_t otherRackCost = 200'000;
        score -= otherRackCost;
    }
    return score;
}

} // namespace

bool fits(const worker_offer &offer, const placement_need &need)
{
    const worker_record &record = *offer.record;
    const job_step &step = *need.step;
    if ((offer.resting && !need.starved) || record.service != *need.service
        || (!step.requiredLabel.empty() && !record.hasLabel(step.requiredLabel))) {
        return false;
    }
    if (offer.used.memoryMb + step.resources.memoryMb > record.capacity.memoryMb
        || offer.used.accelerators + step.resources.accelerators > record.capacity.accelerators) {
        return false;
    }
    if (step.bestEffort) {
        if (gapMilliCores(offer) < std::int64_t(step.resources.milliCores)
            || (!need.starved
                && !canJoin(*need.interference, offer.serving, need.image, shareOf(offer, step)))) {
            return false;
        }
    } else if (offer.used.milliCores + step.resources.milliCores > record.capacity.milliCores) {
        return false;
    }
    if (need.avoided != nullptr && need.avoided->contains(record.incarnation)) {
        return false;
    }
    if (step.perWorkerLimit > 0) {
        const auto found = need.onWorkers->find(record.incarnation);
        return found == need.onWorkers->end() || found->second < step.perWorkerLimit;
    }
    return true;
}

offer_choice chooseOffer(const std::vector<worker_offer> &offers, const placement_need &need)
{
    offer_choice best;
    std::int64_t bestScore = 0;
    for (std::size_t at = 0; at < offers.size(); ++at) {
        if (!fits(offers[at], need)) {
            continue;
        }
        ++best.candidates;
        const std::int64_t score = scoreOf(offers[at], need);
        if (best.at < 0 || score > bestScore) {
            best.at = static_cast<int>(at);
            bestScore = score;
        }
    }
    return best;
}

std::int64_t gapMilliCores(const worker_offer &offer)
{
    const std::int64_t shortTasks = std::int64_t(offer.used.milliCores) - offer.lastingMilliCores;
    // A utilisation in the sense of response times is about that of the cores asked for.
    std::int64_t assessed = 0;
    double inUse = 0;
    for (const serving_task &task : offer.serving) {
        assessed += task.milliCores;
        inUse += task.milliCores * std::clamp(task.load, 0.0, 1.0);
    }
    const std::int64_t others = std::max(std::int64_t(0), offer.lastingMilliCores - assessed);
    return std::int64_t(offer.record->capacity.milliCores) - shortTasks
           - static_cast<std::int64_t>(inUse) - others * lastingUsePercent / 100
           - offer.fillingMilliCores;
}

void takeRoom(worker_offer &offer, const placement_need &need)
{
    const job_step &step = *need.step;
    offer.used.memoryMb += step.resources.memoryMb;
    offer.used.accelerators += step.resources.accelerators;
    if (step.bestEffort) {
        offer.fillingMilliCores += step.resources.milliCores;
        for (serving_task &task : offer.serving) {
            task.added +=
                    pressureOf(*need.interference, task.image, need.image) * shareOf(offer, step);
        }
        return;
    }
    offer.used.milliCores += step.resources.milliCores;
    if (step.longRunning) {
        offer.lastingMilliCores += step.resources.milliCores;
        ++offer.longRunningImages[need.image];
    }
}

} // namespace mango
