#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Common/latency_histogram.h"

namespace mango {

// The counters, gauges and latency histograms of one process, which its metrics endpoint exports. A
// name may include labels in the Prometheus text format, for example
// mango_refused_total{reason="no_credit"}.
class metrics_registry
{
public:
    // Returns the counter or gauge of that name, created with the value 0 on first use. The
    // reference stays valid.
    std::uint64_t &at(const std::string &name)
    {
        return m_values[name];
    }
    // Returns the histogram of that name, created empty on first use. The reference stays valid.
    latency_histogram &histogram(const std::string &name)
    {
        return m_histograms[name];
    }
    // Returns all values in the Prometheus text format, one per line.
    [[nodiscard]] std::string text() const
    {
        std::string lines;
        for (const auto &[name, value] : m_values) {
            lines += name + " " + std::to_string(value) + "\n";
        }
        for (const auto &[name, durations] : m_histograms) {
            lines += durations.text(name);
        }
        return lines;
    }

private:
    std::map<std::string, std::uint64_t> m_values;
    std::map<std::string, latency_histogram> m_histograms;
};

} // namespace mango
