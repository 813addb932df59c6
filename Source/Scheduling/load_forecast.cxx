#include "Scheduling/load_forecast.h"

#include <algorithm>
#include <cmath>

namespace mango {

namespace {

// An unknown load is taken for a middling one.
constexpr double unknownLevel = 0.45;
constexpr double unknownLevelDeviation = 0.2;
constexpr double unknownSlopeDeviation = 0.08;
// How fast the trend changes: a load that swings by 0.2 within 14 s changes its trend by at most
// 0.045 a second.
constexpr double trendChange = 0.05;
// Without a reading for that long, the trend tells nothing.
constexpr auto forecastLife = std::chrono::seconds(6);
// How many standard deviations are added to the load that is reckoned with.
constexpr double caution = 0.5;

double secondsBetween(steady_time from, steady_time to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

load_forecast initialForecast(steady_time now)
{
    load_forecast forecast;
    forecast.level = unknownLevel;
    forecast.levelVariance = unknownLevelDeviation * unknownLevelDeviation;
    forecast.slopeVariance = unknownSlopeDeviation * unknownSlopeDeviation;
    forecast.at = now;
    return forecast;
}

void advanceForecast(load_forecast &forecast, steady_time now)
{
    if (now <= forecast.at) {
        return;
    }
    if (now - forecast.at > forecastLife) {
        forecast = initialForecast(now);
        return;
    }
    const double passed = secondsBetween(forecast.at, now);
    const double noise = trendChange * trendChange;
    forecast.level += forecast.slope * passed;
    forecast.levelVariance += passed * (2 * forecast.covariance + passed * forecast.slopeVariance)
                              + noise * passed * passed * passed / 3;
    forecast.covariance += passed * forecast.slopeVariance + noise * passed * passed / 2;
    forecast.slopeVariance += noise * passed;
    forecast.at = now;
}

void correctForecast(load_forecast &forecast, double error, double totalVariance)
{
    const double levelGain = forecast.levelVariance / totalVariance;
    const double slopeGain = forecast.covariance / totalVariance;
    forecast.level = std::clamp(forecast.level + levelGain * error, -1.0, 1.0);
    forecast.slope += slopeGain * error;
    forecast.slopeVariance -= slopeGain * forecast.covariance;
    forecast.covariance -= levelGain * forecast.covariance;
    forecast.levelVariance -= levelGain * forecast.levelVariance;
}

double highestLoadUntil(const load_forecast &forecast, steady_time now,
                        std::chrono::milliseconds horizon)
{
    load_forecast early = forecast;
    advanceForecast(early, now);
    load_forecast late = early;
    advanceForecast(late, now + horizon);
    return std::max(early.level + caution * std::sqrt(early.levelVariance),
                    late.level + caution * std::sqrt(late.levelVariance));
}

} // namespace mango
