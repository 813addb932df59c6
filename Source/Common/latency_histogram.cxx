#include "Common/latency_histogram.h"

#include <sstream>

namespace mango {

namespace {

// With two buckets per doubling, a quantile estimated from them is off by at most 20 %.
constexpr unsigned bucketCount = 40;
constexpr double shortestSeconds = 0.0001;
constexpr double longestSeconds = 104.8576;

} // namespace

latency_histogram::latency_histogram()
    : m_buckets(boost::histogram::make_histogram_with(
            stored_counts(), logarithmic_axis(bucketCount, shortestSeconds, longestSeconds)))
{}

void latency_histogram::observe(std::chrono::nanoseconds duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    m_buckets(std::max(seconds, 0.0));
    m_sum += seconds;
    ++m_count;
}

std::string latency_histogram::text(const std::string &name) const
{
    const auto brace = name.find('{');
    const std::string family = name.substr(0, brace);
    const std::string labels =
            brace == std::string::npos ? "" : name.substr(brace + 1, name.size() - brace - 2);
    const std::string suffix = labels.empty() ? "" : "{" + labels + "}";
    std::ostringstream lines;
    std::uint64_t cumulativeCount = 0;
    for (int at = -1; at < static_cast<int>(bucketCount); ++at) {
        cumulativeCount += m_buckets.at(at);
        lines << family << "_bucket{" << labels << (labels.empty() ? "" : ",") << "le=\""
              << m_buckets.axis(0).bin(at).upper() << "\"} " << cumulativeCount << '\n';
    }
    lines << family << "_bucket{" << labels << (labels.empty() ? "" : ",") << "le=\"+Inf\"} "
          << m_count << '\n'
          << family << "_sum" << suffix << ' ' << m_sum << '\n'
          << family << "_count" << suffix << ' ' << m_count << '\n';
    return lines.str();
}

} // namespace mango
