#include "Scheduling/pressure_estimate.h"

#include <algorithm>

namespace mango {

namespace {

// The prior for an unknown pair of images: most pairs hardly interfere, some do much more.
constexpr double priorPressure = 0.4;
constexpr double priorVariance = 1.0;
constexpr double maximumPressure = 5;
// Process noise, added to the variance with each reading because new versions of an image may
// behave differently.
constexpr double processNoise = 2e-6;

// Returns the covariance of each value with the utilisation that the shares add together.
std::vector<double> covarianceWith(pressure_estimate &estimate,
                                   const std::vector<image_share> &shares)
{
    // Add new images first, because that changes the layout of the covariance matrix.
    for (const image_share &one : shares) {
        imageIndex(estimate, one.image);
    }
    const std::size_t count = estimate.images.size();
    std::vector<double> result(count, 0);
    for (const image_share &one : shares) {
        const std::size_t column = imageIndex(estimate, one.image);
        for (std::size_t row = 0; row < count; ++row) {
            result[row] += estimate.covariance[row * count + column] * one.share;
        }
    }
    return result;
}

} // namespace

std::size_t imageIndex(pressure_estimate &estimate, image_id image)
{
    const auto found = std::find(estimate.images.begin(), estimate.images.end(), image);
    const auto index = static_cast<std::size_t>(found - estimate.images.begin());
    if (found != estimate.images.end()) {
        return index;
    }
    const std::size_t count = index + 1;
    std::vector<double> enlarged(count * count, 0);
    for (std::size_t row = 0; row < index; ++row) {
        std::copy_n(estimate.covariance.begin() + static_cast<std::ptrdiff_t>(row * index), index,
                    enlarged.begin() + static_cast<std::ptrdiff_t>(row * count));
    }
    enlarged.back() = priorVariance;
    estimate.images.push_back(image);
    estimate.values.push_back(priorPressure);
    estimate.covariance = std::move(enlarged);
    return index;
}

void setPressure(pressure_estimate &estimate, image_id image, double value, double variance)
{
    const std::size_t index = imageIndex(estimate, image);
    const std::size_t count = estimate.images.size();
    for (std::size_t other = 0; other < count; ++other) {
        estimate.covariance[index * count + other] = 0;
        estimate.covariance[other * count + index] = 0;
    }
    estimate.covariance[index * count + index] = variance;
    estimate.values[index] = value;
}

expected_pressure predictPressure(pressure_estimate &estimate,
                                  const std::vector<image_share> &shares)
{
    const std::vector<double> covariances = covarianceWith(estimate, shares);
    expected_pressure expected;
    for (const image_share &one : shares) {
        const std::size_t index = imageIndex(estimate, one.image);
        expected.mean += estimate.values[index] * one.share;
        expected.variance += covariances[index] * one.share;
    }
    return expected;
}

void correctPressure(pressure_estimate &estimate, const std::vector<image_share> &shares,
                     double innovation, double innovationVariance)
{
    const std::vector<double> covariances = covarianceWith(estimate, shares);
    const std::size_t count = estimate.images.size();
    for (std::size_t row = 0; row < count; ++row) {
        const double gain = covariances[row] / innovationVariance;
        estimate.values[row] =
                std::clamp(estimate.values[row] + gain * innovation, 0.0, maximumPressure);
        for (std::size_t column = 0; column < count; ++column) {
            estimate.covariance[row * count + column] -= gain * covariances[column];
        }
    }
    for (const image_share &one : shares) {
        const std::size_t index = imageIndex(estimate, one.image);
        estimate.covariance[index * count + index] += processNoise;
    }
}

expected_pressure pressureOf(const pressure_estimate &estimate, image_id image)
{
    const auto found = std::find(estimate.images.begin(), estimate.images.end(), image);
    if (found == estimate.images.end()) {
        return {priorPressure, priorVariance};
    }
    const auto index = static_cast<std::size_t>(found - estimate.images.begin());
    return {estimate.values[index], estimate.covariance[index * estimate.images.size() + index]};
}

} // namespace mango
