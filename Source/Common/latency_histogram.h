#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <boost/histogram.hpp>

namespace mango {

// Counts durations in logarithmic buckets from a tenth of a millisecond to about 100 s.
class latency_histogram
{
public:
    latency_histogram();

    void observe(std::chrono::nanoseconds duration);
    [[nodiscard]] std::uint64_t count() const
    {
        return m_count;
    }
    // The buckets, sum and count in the common text format, in seconds. A name may carry labels,
    // for example mango_call_seconds{answer="200"}.
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
