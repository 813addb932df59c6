#include "Scheduling/image_interference.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mango {

namespace {

// The reports are rough: the standard deviation of a utilisation worked out from one.
constexpr double readingDeviation = 0.025;
// A reading further off than that many standard deviations counts as one that far off.
constexpr double outlierDeviations = 3;
// The tail of an idle task as a share of its bound. Another figure would only scale utilisations.
constexpr double idleTail = 0.2;
// A job that was not heard of for that long is over or has no task at work.
constexpr auto loadLife = std::chrono::seconds(20);
// The highest load of an image until a higher one was seen, and how exact a level must be for that.
constexpr double usualHighestLoad = 0.6;
constexpr double exactLevel = 0.03;
// Tasks that fill gaps may add that much whatever the forecast, which is no more exact than that,
// as long as the task is not over its bound.
constexpr double negligibleRoom = 0.05;
// Listings in which the filling tasks hardly work tell nothing of them.
constexpr double smallestShare = 0.01;
// A task that adds that much is among the suspects when a bound is passed.
constexpr double suspectPressure = 0.05;
// The share of the utilisation at the bound that is used up at most.
constexpr double safeShare = 0.97;
// Paces are changed in no smaller steps, in percent.
constexpr std::uint32_t paceStep = 15;
// The reports show the last half second, so that a change shows in full only after that.
constexpr auto settleTime = std::chrono::milliseconds(600);
// A single report over the bound is taken for rough unless it is that far over it.
constexpr double farOver = 1.4;
// A task that has been over its bound for that long is allowed less than the model says.
constexpr auto doubtAfter = std::chrono::milliseconds(400);
constexpr double doubtCut = 0.06;
// A task that is over its bound for that long gets the worker for itself, whatever the model says.
constexpr auto patience = std::chrono::milliseconds(1500);
// A task that can work at less than that share leaves, in percent.
constexpr std::uint32_t evictBelow = 25;
// About what a start elsewhere costs a task that resumes from its progress.
constexpr auto evictAfter = std::chrono::milliseconds(800);

double utilisationOf(double tail)
{
    return 1 - idleTail / tail;
}

// Learns from the reading of one serving task. Load and pressures are corrected together, each by
// what it may be off, so that tasks that nothing disturbs teach the load, and others the pairs.
void learnReading(interference_model &model, const latency_critical_task &task,
                  const std::vector<best_effort_task> &bestEffort, steady_time now)
{
    load_forecast &load = model.loads.try_emplace(task.job, initialForecast(now)).first->second;
    advanceForecast(load, now);
    std::vector<image_share> shares;
    shares.reserve(bestEffort.size());
    for (const best_effort_task &one : bestEffort) {
        shares.push_back({one.image, one.share});
    }
    pressure_estimate &pressure = model.pressures[task.image];
    const expected_pressure expected = expectPressure(pressure, shares);
    const double variance =
            readingDeviation * readingDeviation + load.levelVariance + expected.variance;
    const double largest = outlierDeviations * std::sqrt(variance);
    const double error = std::clamp(utilisationOf(task.tailRatio) - load.level - expected.added,
                                    -largest, largest);
    correctPressure(pressure, shares, error, variance);
    correctForecast(load, error, variance);
    if (load.levelVariance < exactLevel * exactLevel) {
        double &highest = model.highestLoad.try_emplace(task.image, usualHighestLoad).first->second;
        highest = std::max(highest, load.level);
    }
}

// The load of a serving task that must be reckoned with until the horizon.
double expectedLoad(const interference_model &model, const latency_critical_task &task,
                    steady_time now, std::chrono::milliseconds horizon)
{
    const auto known = model.loads.find(task.job);
    const load_forecast forecast =
            known == model.loads.end() ? initialForecast(now) : known->second;
    const auto highest = model.highestLoad.find(task.image);
    const double bound =
            std::max(forecast.level,
                     highest == model.highestLoad.end() ? usualHighestLoad : highest->second);
    return std::min(highestLoadUntil(forecast, now, horizon), bound);
}

// What may be added to a serving task's load.
double roomOf(const latency_critical_task &task)
{
    const double least = task.violationTime >= doubtAfter ? 0 : negligibleRoom;
    return std::max(least, task.loadLimit - task.load);
}

// The paces at which no serving task passes its limit; the tasks that disturb most give way first.
std::vector<double> fittingPaces(const interference_model &model,
                                 const std::vector<latency_critical_task> &latencyCritical,
                                 const std::vector<best_effort_task> &bestEffort)
{
    std::vector<double> paces(bestEffort.size(), 1.0);
    std::vector<std::size_t> order(bestEffort.size());
    for (const latency_critical_task &task : latencyCritical) {
        std::iota(order.begin(), order.end(), 0);
        std::sort(order.begin(), order.end(), [&](std::size_t one, std::size_t other) {
            return pressureOf(model, task.image, bestEffort[one].image)
                   > pressureOf(model, task.image, bestEffort[other].image);
        });
        double added = 0;
        for (std::size_t at = 0; at < bestEffort.size(); ++at) {
            added += pressureOf(model, task.image, bestEffort[at].image)
                     * bestEffort[at].requestedShare * paces[at];
        }
        double excess = added - roomOf(task);
        for (const std::size_t at : order) {
            const double full = pressureOf(model, task.image, bestEffort[at].image)
                                * bestEffort[at].requestedShare;
            if (excess <= 0 || full <= 0) {
                break;
            }
            const double cut = std::min(paces[at], excess / full);
            paces[at] -= cut;
            excess -= cut * full;
        }
    }
    return paces;
}

pacing_decision decideOne(const best_effort_task &task, double fitting, bool overBound)
{
    auto wanted = static_cast<std::uint32_t>(fitting * 100);
    if (overBound) {
        // Whatever the model says, something beside the task is too much for it.
        wanted = std::min(wanted, task.pacePercent / 2);
    }
    // A task that has waited as long as its work takes again leaves: nobody knows how long it would
    // have to wait, and so it loses at most twice what the best choice would.
    if (wanted < evictBelow && task.pacePercent < evictBelow
        && task.sincePaceChange >= std::max(evictAfter, task.unsavedWork)) {
        return {pacing_action::evict, 0};
    }
    const bool settled = task.sincePaceChange >= settleTime;
    const bool slower =
            wanted + paceStep <= task.pacePercent || (wanted == 0 && task.pacePercent > 0);
    const bool faster =
            wanted >= task.pacePercent + paceStep || (wanted == 100 && task.pacePercent < 100);
    if ((slower && (settled || wanted < evictBelow)) || (faster && settled)) {
        return {pacing_action::change, wanted};
    }
    return {pacing_action::keep, task.pacePercent};
}

} // namespace

image_id imageId(interference_model &model, const std::string &name)
{
    return model.ids.try_emplace(name, static_cast<image_id>(model.ids.size() + 1)).first->second;
}

std::vector<pressure_record> exportPressures(const interference_model &model)
{
    std::map<image_id, std::string> names;
    for (const auto &[name, image] : model.ids) {
        names[image] = name;
    }
    std::vector<pressure_record> known;
    for (const auto &[latencyCritical, estimate] : model.pressures) {
        for (const image_id bestEffort : estimate.images) {
            const expected_pressure pair = pressureOf(estimate, bestEffort);
            known.push_back({names[latencyCritical], names[bestEffort], pair.added, pair.variance});
        }
    }
    return known;
}

void importPressures(interference_model &model, const std::vector<pressure_record> &known)
{
    for (const pressure_record &one : known) {
        const image_id latencyCritical = imageId(model, one.latencyCritical);
        setPressure(model.pressures[latencyCritical], imageId(model, one.bestEffort), one.value,
                    one.variance);
    }
}

double pressureOf(const interference_model &model, image_id latencyCritical, image_id bestEffort)
{
    static const pressure_estimate unknown;
    const auto found = model.pressures.find(latencyCritical);
    return pressureOf(found == model.pressures.end() ? unknown : found->second, bestEffort).added;
}

void learnInterference(interference_model &model,
                       const std::vector<latency_critical_task> &latencyCritical,
                       const std::vector<best_effort_task> &bestEffort, steady_time now)
{
    for (const latency_critical_task &task : latencyCritical) {
        if (task.tailRatio > 0 && task.settled) {
            learnReading(model, task, bestEffort, now);
        }
    }
}

void dropStaleLoads(interference_model &model, steady_time now)
{
    std::erase_if(model.loads, [now](const auto &item) {
        return now - item.second.at > loadLife;
    });
}

void predictLoads(const interference_model &model,
                  std::vector<latency_critical_task> &latencyCritical,
                  const std::vector<best_effort_task> &bestEffort, steady_time now,
                  std::chrono::milliseconds horizon)
{
    for (latency_critical_task &task : latencyCritical) {
        task.load = expectedLoad(model, task, now, horizon);
        task.loadLimit =
                utilisationOf(1) * safeShare - (task.violationTime >= doubtAfter ? doubtCut : 0);
        task.addedLoad = 0;
        for (const best_effort_task &one : bestEffort) {
            task.addedLoad += pressureOf(model, task.image, one.image) * one.requestedShare;
        }
    }
}

bool canJoin(const interference_model &model,
             const std::vector<latency_critical_task> &latencyCritical, image_id image,
             double share)
{
    return std::all_of(latencyCritical.begin(), latencyCritical.end(),
                       [&](const latency_critical_task &task) {
                           return task.addedLoad + pressureOf(model, task.image, image) * share
                                  <= roomOf(task);
                       });
}

double strainOf(const interference_model &model,
                const std::vector<latency_critical_task> &latencyCritical, image_id image,
                double share)
{
    double worst = 0;
    for (const latency_critical_task &task : latencyCritical) {
        const double left = std::max(task.loadLimit - task.load - task.addedLoad, smallestShare);
        worst = std::max(worst, pressureOf(model, task.image, image) * share / left);
    }
    return std::min(worst, 1.0);
}

std::vector<pacing_decision> decidePaces(const interference_model &model,
                                         const std::vector<latency_critical_task> &latencyCritical,
                                         const std::vector<best_effort_task> &bestEffort)
{
    const auto isOver = [](const latency_critical_task &task) {
        return task.tailRatio >= farOver
               || (task.tailRatio >= 1 && task.violationTime >= doubtAfter);
    };
    const bool overBound = std::any_of(latencyCritical.begin(), latencyCritical.end(), isOver);
    const bool tooLong =
            std::any_of(latencyCritical.begin(), latencyCritical.end(), [](const auto &task) {
                return task.violationTime >= patience;
            });
    const std::vector<double> fitting = fittingPaces(model, latencyCritical, bestEffort);
    std::vector<pacing_decision> decisions;
    for (std::size_t at = 0; at < bestEffort.size(); ++at) {
        // Tasks that hardly disturb anyone are not slowed for what others do.
        const bool suspect =
                std::any_of(latencyCritical.begin(), latencyCritical.end(), [&](const auto &task) {
                    return isOver(task)
                           && pressureOf(model, task.image, bestEffort[at].image)
                                              * bestEffort[at].usedShare
                                      > suspectPressure;
                });
        const bool overByThis = overBound && (suspect || bestEffort.size() == 1);
        decisions.push_back(decideOne(bestEffort[at], tooLong ? 0 : fitting[at], overByThis));
    }
    return decisions;
}

} // namespace mango
