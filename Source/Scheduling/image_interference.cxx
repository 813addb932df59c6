#include "Scheduling/image_interference.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mango {

namespace {

// The standard deviation of a utilisation derived from one reported tail latency.
constexpr double readingDeviation = 0.025;
// Innovations are clamped to this number of standard deviations, to limit the effect of outliers.
constexpr double outlierDeviations = 3;
// The tail latency of an idle task as a fraction of its bound. Another value would only scale all
// utilisations.
constexpr double idleTailRatio = 0.2;
// A job without readings for this time has ended or has no running task.
constexpr auto loadForecastLifetime = std::chrono::seconds(20);
// The peak load of an image until a higher load has been seen, and the standard deviation below
// which a load is accurate enough to raise the peak.
constexpr double initialPeakLoad = 0.6;
constexpr double accurateLoadDeviation = 0.03;
// The headroom that best-effort tasks get in any case while the latency-critical task meets its
// bound. The forecast is not more accurate than this.
constexpr double negligibleHeadroom = 0.05;
// A lower limit for the headroom where it is a divisor.
constexpr double minimumHeadroom = 0.01;
// A best-effort task that adds more utilisation than this is a possible cause of a violation.
constexpr double suspectPressure = 0.05;
// The fraction of the utilisation at the latency bound that may be used.
constexpr double usableUtilisation = 0.97;
// Smaller changes of a throttle are not ordered.
constexpr std::uint32_t minimumThrottleStepPercent = 15;
// Reports cover the last 500 ms, so that the full effect of a change shows only after that.
constexpr auto settleTime = std::chrono::milliseconds(600);
// A single report above the bound counts as noise unless the tail ratio is at least this.
constexpr double grossViolationRatio = 1.4;
// After a violation of this duration the load limit is lower by violationLimitCut than the model
// suggests.
constexpr auto confirmedViolationTime = std::chrono::milliseconds(400);
constexpr double violationLimitCut = 0.06;
// After a violation of this duration all best-effort tasks on the worker are halted, whatever the
// model predicts.
constexpr auto haltAllViolationTime = std::chrono::milliseconds(1500);
// A task that can only run at a lower percentage of its full speed is evicted.
constexpr std::uint32_t evictBelowPercent = 25;
// The approximate cost of a restart on another worker for a task that keeps its progress.
constexpr auto restartCost = std::chrono::milliseconds(800);

double utilisationOf(double tailRatio)
{
    return 1 - idleTailRatio / tailRatio;
}

// Updates the model with the reading of one latency-critical task. The innovation is divided
// between the load and the pressures by their variances, so that a task without best-effort tasks
// beside it corrects the load, and others correct mainly the pressures.
void learnReading(interference_model &model, const latency_critical_task &task,
                  const std::vector<best_effort_task> &bestEffort, steady_time now)
{
    load_forecast &load = model.loads.try_emplace(task.job, initialForecast(now)).first->second;
    advanceForecast(load, now);
    std::vector<image_share> shares;
    shares.reserve(bestEffort.size());
    for (const best_effort_task &one : bestEffort) {
        shares.push_back({one.image, one.usedShare});
    }
    pressure_estimate &pressure = model.pressures[task.image];
    const expected_pressure predicted = predictPressure(pressure, shares);
    const double variance =
            readingDeviation * readingDeviation + load.levelVariance + predicted.variance;
    const double maximum = outlierDeviations * std::sqrt(variance);
    const double innovation = std::clamp(
            utilisationOf(task.tailRatio) - load.level - predicted.mean, -maximum, maximum);
    correctPressure(pressure, shares, innovation, variance);
    correctForecast(load, innovation, variance);
    if (load.levelVariance < accurateLoadDeviation * accurateLoadDeviation) {
        double &peak = model.peakLoads.try_emplace(task.image, initialPeakLoad).first->second;
        peak = std::max(peak, load.level);
    }
}

// Returns the load of a latency-critical task to plan for until the horizon.
double predictedLoad(const interference_model &model, const latency_critical_task &task,
                     steady_time now, std::chrono::milliseconds horizon)
{
    const auto known = model.loads.find(task.job);
    const load_forecast forecast =
            known == model.loads.end() ? initialForecast(now) : known->second;
    const auto peak = model.peakLoads.find(task.image);
    const double limit = std::max(forecast.level,
                                  peak == model.peakLoads.end() ? initialPeakLoad : peak->second);
    return std::min(peakLoadUntil(forecast, now, horizon), limit);
}

// Returns the utilisation that best-effort tasks may add to a latency-critical task.
double headroomOf(const latency_critical_task &task)
{
    const double minimum = task.violationTime >= confirmedViolationTime ? 0 : negligibleHeadroom;
    return std::max(minimum, task.loadLimit - task.load);
}

// Returns the speeds, from 0 for halted to 1 for unthrottled, at which no latency-critical task
// exceeds its load limit. The tasks with the highest pressure are slowed down first.
std::vector<double> allowedSpeeds(const interference_model &model,
                                  const std::vector<latency_critical_task> &latencyCritical,
                                  const std::vector<best_effort_task> &bestEffort)
{
    std::vector<double> speeds(bestEffort.size(), 1.0);
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
                     * bestEffort[at].requestedShare * speeds[at];
        }
        double excess = added - headroomOf(task);
        for (const std::size_t at : order) {
            const double fullPressure = pressureOf(model, task.image, bestEffort[at].image)
                                        * bestEffort[at].requestedShare;
            if (excess <= 0 || fullPressure <= 0) {
                break;
            }
            const double cut = std::min(speeds[at], excess / fullPressure);
            speeds[at] -= cut;
            excess -= cut * fullPressure;
        }
    }
    return speeds;
}

throttle_decision decideOne(const best_effort_task &task, double allowedSpeed, bool causesViolation)
{
    auto wantedPercent = static_cast<std::uint32_t>(allowedSpeed * 100);
    if (causesViolation) {
        // The measured violation overrides the prediction of the model.
        wantedPercent = std::min(wantedPercent, task.throttlePercent / 2);
    }
    // How long the task would have to wait is unknown. Evicting it once it has waited as long as
    // its unsaved work would take to repeat costs at most twice as much as the best choice.
    if (wantedPercent < evictBelowPercent && task.throttlePercent < evictBelowPercent
        && task.sinceThrottleChange >= std::max(restartCost, task.unsavedWork)) {
        return {throttle_action::evict, 0};
    }
    const bool settled = task.sinceThrottleChange >= settleTime;
    const bool slower = wantedPercent + minimumThrottleStepPercent <= task.throttlePercent
                        || (wantedPercent == 0 && task.throttlePercent > 0);
    const bool faster = wantedPercent >= task.throttlePercent + minimumThrottleStepPercent
                        || (wantedPercent == 100 && task.throttlePercent < 100);
    if ((slower && (settled || wantedPercent < evictBelowPercent)) || (faster && settled)) {
        return {throttle_action::change, wantedPercent};
    }
    return {throttle_action::keep, task.throttlePercent};
}

// Returns whether the tasks can bear one more that uses the share, by the pressure on an image.
template<class PressureOn>
bool canBear(const std::vector<latency_critical_task> &latencyCritical, double share,
             PressureOn pressureOn)
{
    return std::all_of(
            latencyCritical.begin(), latencyCritical.end(), [&](const latency_critical_task &task) {
                return task.addedLoad + pressureOn(task.image) * share <= headroomOf(task);
            });
}

// Returns the largest fraction of a headroom that the share uses, by the pressure on an image.
template<class PressureOn>
double largestFraction(const std::vector<latency_critical_task> &latencyCritical, double share,
                       PressureOn pressureOn)
{
    double maximum = 0;
    for (const latency_critical_task &task : latencyCritical) {
        const double headroom =
                std::max(task.loadLimit - task.load - task.addedLoad, minimumHeadroom);
        maximum = std::max(maximum, pressureOn(task.image) * share / headroom);
    }
    return std::min(maximum, 1.0);
}

double pressureOn(const image_pressures &pressures, image_id latencyCritical)
{
    return latencyCritical < pressures.values.size() ? pressures.values[latencyCritical]
                                                     : pressures.prior;
}

} // namespace

image_id imageId(interference_model &model, const std::string &name)
{
    return model.imageIds.try_emplace(name, static_cast<image_id>(model.imageIds.size() + 1))
            .first->second;
}

std::vector<pressure_record> exportPressures(const interference_model &model)
{
    std::map<image_id, std::string> names;
    for (const auto &[name, image] : model.imageIds) {
        names[image] = name;
    }
    std::vector<pressure_record> records;
    for (const auto &[latencyCritical, estimate] : model.pressures) {
        for (const image_id bestEffort : estimate.images) {
            const expected_pressure pair = pressureOf(estimate, bestEffort);
            records.push_back(
                    {names[latencyCritical], names[bestEffort], pair.mean, pair.variance});
        }
    }
    return records;
}

void importPressures(interference_model &model, const std::vector<pressure_record> &records)
{
    for (const pressure_record &one : records) {
        const image_id latencyCritical = imageId(model, one.latencyCritical);
        setPressure(model.pressures[latencyCritical], imageId(model, one.bestEffort), one.value,
                    one.variance);
    }
}

double pressureOf(const interference_model &model, image_id latencyCritical, image_id bestEffort)
{
    static const pressure_estimate unknown;
    const auto found = model.pressures.find(latencyCritical);
    return pressureOf(found == model.pressures.end() ? unknown : found->second, bestEffort).mean;
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
        return now - item.second.at > loadForecastLifetime;
    });
}

void predictLoads(const interference_model &model,
                  std::vector<latency_critical_task> &latencyCritical,
                  const std::vector<best_effort_task> &bestEffort, steady_time now,
                  std::chrono::milliseconds horizon)
{
    for (latency_critical_task &task : latencyCritical) {
        task.load = predictedLoad(model, task, now, horizon);
        task.loadLimit = utilisationOf(1) * usableUtilisation
                         - (task.violationTime >= confirmedViolationTime ? violationLimitCut : 0);
        task.addedLoad = 0;
        for (const best_effort_task &one : bestEffort) {
            task.addedLoad += pressureOf(model, task.image, one.image) * one.requestedShare;
        }
    }
}

image_pressures pressuresOf(const interference_model &model, image_id bestEffort)
{
    image_pressures pressures;
    pressures.prior = pressureOf(pressure_estimate{}, bestEffort).mean;
    if (!model.pressures.empty()) {
        pressures.values.assign(model.pressures.rbegin()->first + 1, pressures.prior);
    }
    for (const auto &[latencyCritical, estimate] : model.pressures) {
        pressures.values[latencyCritical] = pressureOf(estimate, bestEffort).mean;
    }
    return pressures;
}

bool canColocate(const interference_model &model,
                 const std::vector<latency_critical_task> &latencyCritical, image_id image,
                 double share)
{
    return canBear(latencyCritical, share, [&](image_id on) {
        return pressureOf(model, on, image);
    });
}

bool canColocate(const image_pressures &pressures,
                 const std::vector<latency_critical_task> &latencyCritical, double share)
{
    return canBear(latencyCritical, share, [&](image_id on) {
        return pressureOn(pressures, on);
    });
}

double headroomFraction(const interference_model &model,
                        const std::vector<latency_critical_task> &latencyCritical, image_id image,
                        double share)
{
    return largestFraction(latencyCritical, share, [&](image_id on) {
        return pressureOf(model, on, image);
    });
}

double headroomFraction(const image_pressures &pressures,
                        const std::vector<latency_critical_task> &latencyCritical, double share)
{
    return largestFraction(latencyCritical, share, [&](image_id on) {
        return pressureOn(pressures, on);
    });
}

std::vector<throttle_decision>
decideThrottling(const interference_model &model,
                 const std::vector<latency_critical_task> &latencyCritical,
                 const std::vector<best_effort_task> &bestEffort)
{
    const auto isViolated = [](const latency_critical_task &task) {
        return task.tailRatio >= grossViolationRatio
               || (task.tailRatio >= 1 && task.violationTime >= confirmedViolationTime);
    };
    const bool violated = std::any_of(latencyCritical.begin(), latencyCritical.end(), isViolated);
    const bool haltAll =
            std::any_of(latencyCritical.begin(), latencyCritical.end(), [](const auto &task) {
                return task.violationTime >= haltAllViolationTime;
            });
    const std::vector<double> speeds = allowedSpeeds(model, latencyCritical, bestEffort);
    std::vector<throttle_decision> decisions;
    for (std::size_t at = 0; at < bestEffort.size(); ++at) {
        // A task with a low pressure is not slowed down for a violation that others cause.
        const bool suspect =
                std::any_of(latencyCritical.begin(), latencyCritical.end(), [&](const auto &task) {
                    return isViolated(task)
                           && pressureOf(model, task.image, bestEffort[at].image)
                                              * bestEffort[at].usedShare
                                      > suspectPressure;
                });
        const bool causesViolation = violated && (suspect || bestEffort.size() == 1);
        decisions.push_back(decideOne(bestEffort[at], haltAll ? 0 : speeds[at], causesViolation));
    }
    return decisions;
}

} // namespace mango
