#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace mango {

// Stands for the name of an image within one process.
using image_id = std::uint32_t;

// What the images that fill gaps do to one serving image, as a Kalman filter over all of them. The
// full covariance is kept, since tasks that often work side by side can't be told apart by their
// variances alone.
struct pressure_estimate
{
    std::vector<image_id> images;
    // By place in `images`: what is added to the utilisation for each share of a worker in use.
    std::vector<double> values;
    // Row by row.
    std::vector<double> covariance;
};

// The share of a worker that is in use by tasks of one image.
struct image_share
{
    image_id image = 0;
    double share = 0;
};

// What the images are expected to add together, and the variance of that.
struct expected_pressure
{
    double added = 0;
    double variance = 0;
};

// The place of an image, which is added with the guess for unknown ones when it is new.
std::size_t placeOf(pressure_estimate &estimate, image_id image);

// Replaces what is known of one image.
void setPressure(pressure_estimate &estimate, image_id image, double value, double variance);

expected_pressure expectPressure(pressure_estimate &estimate,
                                 const std::vector<image_share> &shares);

// Corrects the estimate by a reading that is `error` above what was expected, where all that the
// reading depends on varies by `totalVariance`.
void correctPressure(pressure_estimate &estimate, const std::vector<image_share> &shares,
                     double error, double totalVariance);

// A pressure and its variance, which are guesses for an unknown image.
expected_pressure pressureOf(const pressure_estimate &estimate, image_id image);

} // namespace mango
