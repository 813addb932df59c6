#include <cmath>
#include <deque>

#include <gtest/gtest.h>

#include "Common/random_source.h"
#include "Scheduling/image_interference.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const steady_time start{std::chrono::hours(1)};

// A simulated worker with a few latency-critical tasks and best-effort tasks beside them.
struct simulated_worker
{
    std::vector<image_id> latencyCritical;
    std::vector<std::uint64_t> jobs;
    struct simulated_task
    {
        image_id image = 0;
        double share = 0;
        double remainingSeconds = 0;
        double speed = 1;
        steady_time throttleChangedAt{};
    };
    std::vector<simulated_task> bestEffort;
    std::vector<double> tailRatios;
    std::vector<milliseconds> violationTimes;
};

// The true pressure that the model has to learn: high for pairs with an even sum, else low.
double truePressure(image_id latencyCritical, image_id bestEffort)
{
    return (latencyCritical + bestEffort) % 2 == 0 ? 1.8 : 0.2;
}

// Adds noise to a tail ratio as workers report it: usually up to five percent, sometimes 50%.
double withNoise(seeded_random &random, double tailRatio)
{
    const double factor = 0.95 + 0.01 * static_cast<double>(random.below(11));
    return random.below(30) == 0 ? tailRatio * 1.5 : tailRatio * factor;
}

struct simulation_result
{
    double violationSeconds = 0;
    double completed = 0;
    milliseconds longestViolation{0};
};

// Simulates two minutes of latency-critical tasks with varying loads and best-effort tasks of four
// images. With `useModel`, the interference model decides on placement and throttling; without it,
// every task goes to the worker with the fewest best-effort tasks and runs at full speed.
simulation_result simulateInterference(bool useModel, std::uint64_t seed)
{
    seeded_random random(seed);
    interference_model model;
    std::vector<simulated_worker> workers(20);
    for (std::size_t at = 0; at < workers.size(); ++at) {
        const auto image = static_cast<image_id>(1 + at % 4);
        workers[at].latencyCritical = {image, image, image};
        workers[at].jobs = {at, at + 1, at + 2};
        workers[at].tailRatios.resize(3);
        workers[at].violationTimes.resize(3);
    }
    std::deque<image_id> waiting;
    simulation_result result;
    constexpr auto tick = milliseconds(500);
    for (milliseconds elapsed{0}; elapsed < seconds(120); elapsed += tick) {
        const steady_time now = start + elapsed;
        for (int arrivals = 0; arrivals < 6; ++arrivals) {
            waiting.push_back(static_cast<image_id>(10 + random.below(4)));
        }
        for (simulated_worker &worker : workers) {
            std::vector<latency_critical_task> latencyCritical;
            std::vector<best_effort_task> bestEffort;
            for (const simulated_worker::simulated_task &one : worker.bestEffort) {
                best_effort_task task;
                task.image = one.image;
                task.requestedShare = 0.1;
                task.usedShare = one.share;
                task.throttlePercent = static_cast<std::uint32_t>(one.speed * 100);
                task.sinceThrottleChange =
                        std::chrono::duration_cast<milliseconds>(now - one.throttleChangedAt);
                bestEffort.push_back(task);
            }
            for (std::size_t at = 0; at < worker.latencyCritical.size(); ++at) {
                const double phase = static_cast<double>(worker.jobs[at]);
                const double time = static_cast<double>(elapsed.count()) / 1000;
                double used = 0.45 * (1 + 0.5 * std::sin(time * 2 * M_PI / 14 + phase));
                for (const simulated_worker::simulated_task &one : worker.bestEffort) {
                    used += truePressure(worker.latencyCritical[at], one.image) * one.share;
                }
                worker.tailRatios[at] = 0.2 / (1 - std::min(used, 0.98));
                const bool violated = worker.tailRatios[at] >= 1;
                result.violationSeconds += violated ? 0.5 : 0;
                worker.violationTimes[at] =
                        violated ? worker.violationTimes[at] + tick : milliseconds(0);
                result.longestViolation =
                        std::max(result.longestViolation, worker.violationTimes[at]);
                latency_critical_task task;
                task.image = worker.latencyCritical[at];
                task.job = worker.jobs[at];
                task.number = static_cast<std::uint32_t>(&worker - workers.data());
                task.tailRatio = withNoise(random, worker.tailRatios[at]);
                task.violationTime = worker.violationTimes[at];
                latencyCritical.push_back(task);
            }
            if (useModel) {
                learnInterference(model, latencyCritical, bestEffort, now);
                predictLoads(model, latencyCritical, bestEffort, now, throttlingHorizon);
                const auto decisions = decideThrottling(model, latencyCritical, bestEffort);
                for (std::size_t at = decisions.size(); at > 0; --at) {
                    simulated_worker::simulated_task &one = worker.bestEffort[at - 1];
                    if (decisions[at - 1].action == throttle_action::evict) {
                        waiting.push_back(one.image);
                        worker.bestEffort.erase(worker.bestEffort.begin()
                                                + static_cast<std::ptrdiff_t>(at - 1));
                    } else if (decisions[at - 1].action == throttle_action::change) {
                        one.speed = decisions[at - 1].throttlePercent / 100.0;
                        one.throttleChangedAt = now;
                    }
                }
            }
            for (simulated_worker::simulated_task &one : worker.bestEffort) {
                one.share = 0.1 * one.speed;
                one.remainingSeconds -= 0.5 * one.speed;
            }
            result.completed += static_cast<double>(std::erase_if(
                    worker.bestEffort, [](const simulated_worker::simulated_task &one) {
                        return one.remainingSeconds <= 0;
                    }));
        }
        for (std::size_t tries = waiting.size(); tries > 0; --tries) {
            const image_id image = waiting.front();
            waiting.pop_front();
            simulated_worker *best = nullptr;
            for (simulated_worker &worker : workers) {
                std::vector<latency_critical_task> latencyCritical;
                std::vector<best_effort_task> bestEffort;
                for (std::size_t at = 0; at < worker.latencyCritical.size(); ++at) {
                    latency_critical_task task;
                    task.image = worker.latencyCritical[at];
                    task.job = worker.jobs[at];
                    task.tailRatio = worker.tailRatios[at];
                    latencyCritical.push_back(task);
                }
                for (const simulated_worker::simulated_task &one : worker.bestEffort) {
                    best_effort_task task;
                    task.image = one.image;
                    task.requestedShare = 0.1;
                    task.usedShare = one.share;
                    bestEffort.push_back(task);
                }
                predictLoads(model, latencyCritical, bestEffort, now, placementHorizon);
                const bool hasFreeSlot = worker.bestEffort.size() < 5;
                const bool allowed = !useModel || canColocate(model, latencyCritical, image, 0.1);
                if (hasFreeSlot && allowed
                    && (best == nullptr || worker.bestEffort.size() < best->bestEffort.size())) {
                    best = &worker;
                }
            }
            if (best == nullptr) {
                waiting.push_back(image);
            } else {
                best->bestEffort.push_back({image, 0.1, 2.2, 1.0, now});
            }
        }
    }
    return result;
}

// A load that varies periodically, as a model of user traffic.
double periodicLoad(milliseconds elapsed)
{
    return 0.45 + 0.22 * std::sin(static_cast<double>(elapsed.count()) / 1000 * 2 * M_PI / 14);
}

} // namespace

// For a load with a period of 14 s and noisy readings four times per second, the forecast up to the
// throttling horizon is rarely exceeded and not much too high. The last reading alone is exceeded
// often.
TEST(load_forecast, predictsAPeriodicLoad)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        seeded_random random(seed);
        load_forecast forecast = initialForecast(start);
        int exceeded = 0;
        int exceededByLast = 0;
        double above = 0;
        int count = 0;
        for (milliseconds elapsed{0}; elapsed < seconds(60); elapsed += milliseconds(250)) {
            const double noise = 0.01 * (static_cast<double>(random.below(7)) - 3);
            const double reading = periodicLoad(elapsed) + noise;
            advanceForecast(forecast, start + elapsed);
            correctForecast(forecast, reading - forecast.level,
                            forecast.levelVariance + 0.025 * 0.025);
            if (elapsed < seconds(4)) {
                continue;
            }
            const double later = periodicLoad(elapsed + throttlingHorizon);
            const double highest = std::max(periodicLoad(elapsed), later);
            const double expected = peakLoadUntil(forecast, start + elapsed, throttlingHorizon);
            exceeded += highest > expected + 0.04 ? 1 : 0;
            exceededByLast += highest > reading + 0.04 ? 1 : 0;
            above += std::max(0.0, expected - highest);
            ++count;
        }
        EXPECT_LT(exceeded * 20, count) << "seed " << seed;
        EXPECT_GT(exceededByLast, 4 * exceeded) << "seed " << seed;
        EXPECT_LT(above / count, 0.06) << "seed " << seed;
    }
}

TEST(load_forecast, discardsItsTrendWithoutReadings)
{
    load_forecast forecast = initialForecast(start);
    forecast.level = 0.2;
    forecast.slope = 0.1;
    advanceForecast(forecast, start + seconds(30));
    EXPECT_EQ(forecast.slope, 0);
    EXPECT_EQ(forecast.level, initialForecast(start).level);
}

// The pressures of two images that usually run together are separated by the few readings in which
// they do not.
TEST(pressure_estimate, separatesImagesThatUsuallyRunTogether)
{
    seeded_random random(1);
    pressure_estimate estimate;
    for (int reading = 0; reading < 200; ++reading) {
        std::vector<image_share> shares{{1, 0.07}, {2, 0.07}};
        if (reading % 10 == 0) {
            shares.pop_back();
        }
        double truth = 0;
        for (const image_share &one : shares) {
            truth += one.share * (one.image == 1 ? 0.2 : 2.4);
        }
        const double noise = 0.01 * (static_cast<double>(random.below(7)) - 3);
        const expected_pressure predicted = predictPressure(estimate, shares);
        correctPressure(estimate, shares, truth + noise - predicted.mean,
                        predicted.variance + 0.025 * 0.025);
    }
    EXPECT_NEAR(pressureOf(estimate, 1).mean, 0.2, 0.25);
    EXPECT_NEAR(pressureOf(estimate, 2).mean, 2.4, 0.25);
    EXPECT_LT(pressureOf(estimate, 1).variance, pressureOf(estimate, 3).variance / 20);
}

// A halted task is evicted once it has waited as long as its unsaved work would take to repeat.
TEST(image_interference, evictsAHaltedTaskAfterTheTimeOfItsUnsavedWork)
{
    interference_model model;
    setPressure(model.pressures[1], 10, 3, 0);
    std::vector<latency_critical_task> latencyCritical(1);
    latencyCritical[0].image = 1;
    latencyCritical[0].tailRatio = 0.9;
    latencyCritical[0].load = 0.7;
    latencyCritical[0].loadLimit = 0.76;
    std::vector<best_effort_task> bestEffort(1);
    bestEffort[0].image = 10;
    bestEffort[0].requestedShare = 0.3;
    bestEffort[0].throttlePercent = 0;
    bestEffort[0].unsavedWork = milliseconds(2000);
    bestEffort[0].sinceThrottleChange = milliseconds(1500);
    EXPECT_EQ(decideThrottling(model, latencyCritical, bestEffort)[0].action,
              throttle_action::keep);
    bestEffort[0].sinceThrottleChange = milliseconds(2100);
    EXPECT_EQ(decideThrottling(model, latencyCritical, bestEffort)[0].action,
              throttle_action::evict);
    bestEffort[0].unsavedWork = milliseconds(0);
    bestEffort[0].sinceThrottleChange = milliseconds(1000);
    EXPECT_EQ(decideThrottling(model, latencyCritical, bestEffort)[0].action,
              throttle_action::evict);
}

// Best-effort tasks with a low pressure may run beside a latency-critical task at its peak load,
// but not beside one that violates its bound.
TEST(image_interference, leavesNoHeadroomBesideATaskOverItsBound)
{
    interference_model model;
    setPressure(model.pressures[1], 10, 0.2, 0);
    std::vector<latency_critical_task> latencyCritical(1);
    latencyCritical[0].image = 1;
    latencyCritical[0].tailRatio = 1.2;
    latencyCritical[0].load = 0.82;
    latencyCritical[0].loadLimit = 0.77;
    std::vector<best_effort_task> bestEffort(1);
    bestEffort[0].image = 10;
    bestEffort[0].usedShare = 0.1;
    bestEffort[0].requestedShare = 0.1;
    bestEffort[0].sinceThrottleChange = seconds(5);
    EXPECT_TRUE(canColocate(model, latencyCritical, 10, 0.1));
    EXPECT_EQ(decideThrottling(model, latencyCritical, bestEffort)[0].action,
              throttle_action::keep);
    latencyCritical[0].violationTime = milliseconds(900);
    EXPECT_FALSE(canColocate(model, latencyCritical, 10, 0.1));
    const throttle_decision halted = decideThrottling(model, latencyCritical, bestEffort)[0];
    EXPECT_EQ(halted.action, throttle_action::change);
    EXPECT_EQ(halted.throttlePercent, 0U);
}

// Guards against throttling on noise: a single report above the bound does not slow down a task
// that the model considers harmless, but a second one in sequence does.
TEST(image_interference, ignoresASingleReportOverTheBound)
{
    interference_model model;
    setPressure(model.pressures[1], 10, 1, 0);
    std::vector<latency_critical_task> latencyCritical(1);
    latencyCritical[0].image = 1;
    latencyCritical[0].job = 1;
    for (int reading = 0; reading < 10; ++reading) {
        latencyCritical[0].tailRatio = 0.4;
        learnInterference(model, latencyCritical, {}, start + milliseconds(500) * reading);
    }
    latencyCritical[0].tailRatio = 1.1;
    std::vector<best_effort_task> bestEffort(1);
    bestEffort[0].image = 10;
    bestEffort[0].usedShare = 0.1;
    bestEffort[0].requestedShare = 0.1;
    bestEffort[0].sinceThrottleChange = seconds(5);
    predictLoads(model, latencyCritical, bestEffort, start + milliseconds(4600), throttlingHorizon);
    EXPECT_EQ(decideThrottling(model, latencyCritical, bestEffort)[0].action,
              throttle_action::keep);
    latencyCritical[0].violationTime = milliseconds(900);
    predictLoads(model, latencyCritical, bestEffort, start + milliseconds(5500), throttlingHorizon);
    EXPECT_EQ(decideThrottling(model, latencyCritical, bestEffort)[0].action,
              throttle_action::change);
}

// With the model, latency-critical tasks violate their bounds for less than a tenth of the time
// that they do without it, while most of the best-effort work is still completed.
TEST(image_interference, keepsLatencyCriticalTasksBelowTheirBounds)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        const simulation_result baseline = simulateInterference(false, seed);
        const simulation_result learned = simulateInterference(true, seed);
        EXPECT_LT(learned.violationSeconds, baseline.violationSeconds / 10) << "seed " << seed;
        EXPECT_GT(learned.completed, baseline.completed * 0.6) << "seed " << seed;
        // No bound may be violated for four seconds without a break.
        EXPECT_LT(learned.longestViolation, seconds(4)) << "seed " << seed;
    }
}

// Guards against a wrong model: a long violation halts all best-effort tasks on the worker, also
// those whose pressure the model underestimates.
TEST(image_interference, haltsBestEffortTasksDuringALongViolation)
{
    interference_model model;
    setPressure(model.pressures[1], 10, 0, 0);
    std::vector<latency_critical_task> latencyCritical(1);
    latencyCritical[0].image = 1;
    latencyCritical[0].tailRatio = 3;
    latencyCritical[0].violationTime = milliseconds(2000);
    std::vector<best_effort_task> bestEffort(2);
    bestEffort[0].image = 10;
    bestEffort[0].usedShare = 0.1;
    bestEffort[0].requestedShare = 0.1;
    bestEffort[1] = bestEffort[0];
    predictLoads(model, latencyCritical, bestEffort, start, throttlingHorizon);
    for (const throttle_decision &decision : decideThrottling(model, latencyCritical, bestEffort)) {
        EXPECT_EQ(decision.action, throttle_action::change);
        EXPECT_EQ(decision.throttlePercent, 0U);
    }
}

TEST(image_interference, exportsPressuresForTheNextLeader)
{
    interference_model model;
    const image_id latencyCritical = imageId(model, "desk");
    const image_id bestEffort = imageId(model, "plan");
    setPressure(model.pressures[latencyCritical], bestEffort, 1.5, 0.01);
    interference_model next;
    imageId(next, "another");
    importPressures(next, exportPressures(model));
    EXPECT_EQ(pressureOf(next, imageId(next, "desk"), imageId(next, "plan")), 1.5);
}

} // namespace mango::test
