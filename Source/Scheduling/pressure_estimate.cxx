#include "Scheduling/pressure_estimate.h"

#include <algorithm>

namespace mango {

namespace {

// What an unknown pair is taken for, and how far that may be off: most pairs hardly disturb, some
// do by much more.
constexpr double unknownPressure = 0.4;
constexpr double unknownVariance = 1.0;
constexpr double largestPressure = 5;
// Added with each reading, as images change with their versions.
constexpr double drift = 2e-6;

// What one reading depends on: the covariance of each value with the sum of the shares.
std::vector<double> covarianceWith(pressure_estimate &estimate,
                                   const std::vector<image_share> &shares)
{
    // Adds new images first, which moves the rows.
    for (const image_share &one : shares) {
        placeOf(estimate, one.image);
    }
    const std::size_t count = estimate.images.size();
    std::vector<double> result(count, 0);
    for (const image_share &one : shares) {
        const std::size_t column = placeOf(estimate, one.image);
        for (std::size_t row = 0; row < count; ++row) {
            result[row] += estimate.covariance[row * count + column] * one.share;
        }
    }
    return result;
}

} // namespace

std::size_t placeOf(pressure_estimate &estimate, image_id image)
{
    const auto found = std::find(estimate.images.begin(), estimate.images.end(), image);
    const auto place = static_cast<std::size_t>(found - estimate.images.begin());
    if (found != estimate.images.end()) {
        return place;
    }
    const std::size_t count = place + 1;
    std::vector<double> wider(count * count, 0);
    for (std::size_t row = 0; row < place; ++row) {
        std::copy_n(estimate.covariance.begin() + static_cast<std::ptrdiff_t>(row * place), place,
                    wider.begin() + static_cast<std::ptrdiff_t>(row * count));
    }
    wider.back() = unknownVariance;
    estimate.images.push_back(image);
    estimate.values.push_back(unknownPressure);
    estimate.covariance = std::move(wider);
    return place;
}

void setPressure(pressure_estimate &estimate, image_id image, double value, double variance)
{
    const std::size_t place = placeOf(estimate, image);
    const std::size_t count = estimate.images.size();
    for (std::size_t other = 0; other < count; ++other) {
        estimate.covariance[place * count + other] = 0;
        estimate.covariance[other * count + place] = 0;
    }
    estimate.covariance[place * count + place] = variance;
    estimate.values[place] = value;
}

expected_pressure expectPressure(pressure_estimate &estimate,
                                 const std::vector<image_share> &shares)
{
    const std::vector<double> with = covarianceWith(estimate, shares);
    expected_pressure expected;
    for (const image_share &one : shares) {
        const std::size_t place = placeOf(estimate, one.image);
        expected.added += estimate.values[place] * one.share;
        expected.variance += with[place] * one.share;
    }
    return expected;
}

void correctPressure(pressure_estimate &estimate, const std::vector<image_share> &shares,
                     double error, double totalVariance)
{
    const std::vector<double> with = covarianceWith(estimate, shares);
    const std::size_t count = estimate.images.size();
    for (std::size_t row = 0; row < count; ++row) {
        const double gain = with[row] / totalVariance;
        estimate.values[row] =
                std::clamp(estimate.values[row] + gain * error, 0.0, largestPressure);
        for (std::size_t column = 0; column < count; ++column) {
            estimate.covariance[row * count + column] -= gain * with[column];
        }
    }
    for (const image_share &one : shares) {
        const std::size_t place = placeOf(estimate, one.image);
        estimate.covariance[place * count + place] += drift;
    }
}

expected_pressure pressureOf(const pressure_estimate &estimate, image_id image)
{
    const auto found = std::find(estimate.images.begin(), estimate.images.end(), image);
    if (found == estimate.images.end()) {
        return {unknownPressure, unknownVariance};
    }
    const auto place = static_cast<std::size_t>(found - estimate.images.begin());
    return {estimate.values[place], estimate.covariance[place * estimate.images.size() + place]};
}

} // namespace mango
