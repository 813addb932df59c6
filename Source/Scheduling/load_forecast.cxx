#include "Scheduling/load_forecast.h"

#include <algorithm>
#include <cmath>

namespace mango {

namespace {

// The prior for a job without readings is a medium load.
constexpr double initialLevel = 0.45;
constexpr double initialLevelDeviation = 0.2;
constexpr double initialSlopeDeviation = 0.08;
// The process noise of the slope. A load that swings by 0.2 with a period of 14 s changes its slope
// by at most 0.045 per second.
constexpr double slopeNoise = 0.05;
// After this time without a reading the trend is no longer meaningful.
constexpr auto trendLifetime = std::chrono::seconds(6);
// The safety margin on the predicted load, in standard deviations.
constexpr double safetyDeviations = 0.5;

double secondsBetween(steady_time from, steady_time to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

load_forecast initialForecast(steady_time now)
{
    load_forecast forecast;
    forecast.level = initialLevel;
    forecast.levelVariance = initialLevelDeviation * initialLevelDeviation;
    forecast.slopeVariance = initialSlopeDeviation * initialSlopeDeviation;
    forecast.at = now;
    return forecast;
}

void advanceForecast(load_forecast &forecast, steady_time now)
{
    if (now <= forecast.at) {
        return;
    }
    if (now - forecast.at > trendLifetime) {
        forecast = initialForecast(now);
        return;
    }
    const double elapsed = secondsBetween(forecast.at, now);
    const double noise = slopeNoise * slopeNoise;
    forecast.level += forecast.slope * elapsed;
    forecast.levelVariance += elapsed * (2 * forecast.covariance + elapsed * forecast.slopeVariance)
                              + noise * elapsed * elapsed * elapsed / 3;
    forecast.covariance += elapsed * forecast.slopeVariance + noise * elapsed * elapsed / 2;
    forecast.slopeVariance += noise * elapsed;
    forecast.at = now;
}

void correctForecast(load_forecast &forecast, double innovation, double innovationVariance)
{
    const double levelGain = forecast.levelVariance / innovationVariance;
    const double slopeGain = forecast.covariance / innovationVariance;
    forecast.level = std::clamp(forecast.level + levelGain * innovation, -1.0, 1.0);
    forecast.slope += slopeGain * innovation;
    forecast.slopeVariance -= slopeGain * forecast.covariance;
    forecast.covariance -= levelGain * forecast.covariance;
    forecast.levelVariance -= levelGain * forecast.levelVariance;
}

double peakLoadUntil(const load_forecast &forecast, steady_time now,
                     std::chrono::milliseconds horizon)
{
    load_forecast early = forecast;
    advanceForecast(early, now);
    load_forecast late = early;
    advanceForecast(late, now + horizon);
    return std::max(early.level + safetyDeviations * std::sqrt(early.levelVariance),
                    late.level + safetyDeviations * std::sqrt(late.levelVariance));
}

} // namespace mango
