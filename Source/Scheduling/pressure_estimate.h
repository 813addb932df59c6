#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace mango {

// Represents the name of an image within one process.
using image_id = std::uint32_t;

// The pressure of best-effort images on one latency-critical image, estimated by a Kalman filter
// over all of them. The full covariance is kept, because variances alone cannot separate the
// effects of tasks that often run side by side.
struct pressure_estimate
{
    std::vector<image_id> images;
    // By index in `images`: the utilisation added per share of a worker in use.
    std::vector<double> values;
    // In row-major order.
    std::vector<double> covariance;
};

// The share of a worker that tasks of one image use.
struct image_share
{
    image_id image = 0;
    double share = 0;
};

// An expected pressure and its variance.
struct expected_pressure
{
    double mean = 0;
    double variance = 0;
};

// Returns the index of an image in the estimate. A new image is added with the prior.
std::size_t imageIndex(pressure_estimate &estimate, image_id image);

// Replaces the estimate for one image.
void setPressure(pressure_estimate &estimate, image_id image, double value, double variance);

// Returns the utilisation that the images are expected to add together.
expected_pressure predictPressure(pressure_estimate &estimate,
                                  const std::vector<image_share> &shares);

// Corrects the estimate with a reading taken while the images used the given shares. `innovation`
// is the reading minus its predicted value, and `innovationVariance` the variance of that
// difference from all sources.
void correctPressure(pressure_estimate &estimate, const std::vector<image_share> &shares,
                     double innovation, double innovationVariance);

// Returns the pressure of one image per share of a worker in use; the prior for an unknown image.
expected_pressure pressureOf(const pressure_estimate &estimate, image_id image);

} // namespace mango
