#pragma once

#include "Common/clock_source.h"

namespace mango {

// The load of a lasting job as a share of what it can bear, with its trend: a Kalman filter with
// constant velocity, whose readings may be disturbed by an amount that is only known roughly.
struct load_forecast
{
    // At `at`; the load is 1 where response times have no bound.
    double level = 0;
    // A second.
    double slope = 0;
    double levelVariance = 0;
    double covariance = 0;
    double slopeVariance = 0;
    steady_time at{};
};

// What is known before the first reading.
load_forecast initialForecast(steady_time now);

// Moves the forecast on to a later time; nothing happens for an earlier one.
void advanceForecast(load_forecast &forecast, steady_time now);

// Corrects the forecast by a reading that is `error` above it, where all that the reading depends
// on varies by `totalVariance`.
void correctForecast(load_forecast &forecast, double error, double totalVariance);

// The load that must be reckoned with at any moment from now until the horizon.
double highestLoadUntil(const load_forecast &forecast, steady_time now,
                        std::chrono::milliseconds horizon);

} // namespace mango
