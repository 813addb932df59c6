#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <boost/histogram.hpp>

namespace mango {

// A histogram of durations with logarithmic buckets from 0.1 ms to about 100 s.
class latency_histogram
{
public:
    latency_histogram();

    // Adds one duration; a negative one counts in the lowest bucket.
    void observe(std::chrono::nanoseconds duration);
    // Returns the number of durations observed.
    [[nodiscard]] std::uint64_t count() const
    {
        return m_count;
    }
    // Returns the cumulative buckets, sum and count in the Prometheus text format, in seconds. The
    // name may include labels, for example mango_call_seconds{status="200"}.
    [[nodiscard]] std::string text(const std::string &name) const;

private:
    using logarithmic_axis =
            boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using stored_counts = boost::histogram::dense_storage<std::uint64_t>;

    boost::histogram::histogram<std::tuple<logarithmic_axis>, stored_counts> m_buckets;
    double m_sum = 0;
    std::uint64_t m_count = 0;
};

} // namespace mango
