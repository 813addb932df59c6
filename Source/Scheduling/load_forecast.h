#pragma once

#include "Common/clock_source.h"

namespace mango {

// The load of a long-running job with its trend, estimated by a Kalman filter with a
// constant-velocity model. Its readings include interference that is itself only estimated.
struct load_forecast
{
    // The load at time `at`, as a utilisation; at 1 response times grow without bound.
    double level = 0;
    // The change of the level per second.
    double slope = 0;
    double levelVariance = 0;
    double covariance = 0;
    double slopeVariance = 0;
    steady_time at{};
};

// Returns the forecast for a job without readings.
load_forecast initialForecast(steady_time now);

// Advances the forecast to a later time. Does nothing for an earlier one.
void advanceForecast(load_forecast &forecast, steady_time now);

// Corrects the forecast with a reading. `innovation` is the reading minus its predicted value, and
// `innovationVariance` the variance of that difference from all sources.
void correctForecast(load_forecast &forecast, double innovation, double innovationVariance);

// Returns the load to plan for at any time from now until the horizon.
double peakLoadUntil(const load_forecast &forecast, steady_time now,
                     std::chrono::milliseconds horizon);

} // namespace mango
