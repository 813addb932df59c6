#include "Common/latency_histogram.h"

#include <sstream>

namespace mango {

namespace {

// Two buckets for each doubling: a quantile read from them is off by a fifth at most.
constexpr unsigned buckets = 40;
constexpr double shortest = 0.0001;
constexpr double longest = 104.8576;

} // namespace

latency_histogram::latency_histogram()
    : m_buckets(boost::histogram::make_histogram_with(stored_counts(),
                                                      logarithmic_axis(buckets, shortest, longest)))
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
    std::uint64_t below = 0;
    for (int at = -1; at < static_cast<int>(buckets); ++at) {
        below += m_buckets.at(at);
        lines << family << "_bucket{" << labels << (labels.empty() ? "" : ",") << "le=\""
              << m_buckets.axis(0).bin(at).upper() << "\"} " << below << '\n';
    }
    lines << family << "_bucket{" << labels << (labels.empty() ? "" : ",") << "le=\"+Inf\"} "
          << m_count << '\n'
          << family << "_sum" << suffix << ' ' << m_sum << '\n'
          << family << "_count" << suffix << ' ' << m_count << '\n';
    return lines.str();
}

} // namespace mango
