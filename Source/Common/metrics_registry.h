#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Common/latency_histogram.h"

namespace mango {

// Counters, gauges and latency histograms of one process, shown at its metrics endpoint. A name may
// carry labels in the common text format, for example mango_refused_total{reason="no_credit"}.
class metrics_registry
{
public:
    // The counter of that name, made at 0 on first use; the reference stays valid.
    std::uint64_t &at(const std::string &name)
    {
        return m_values[name];
    }
    // The histogram of that name, empty on first use; the reference stays valid.
    latency_histogram &histogram(const std::string &name)
    {
        return m_durations[name];
    }
    // All values in the common text format, one a line.
    [[nodiscard]] std::string text() const
    {
        std::string lines;
        for (const auto &[name, value] : m_values) {
            lines += name + " " + std::to_string(value) + "\n";
        }
        for (const auto &[name, histogram] : m_durations) {
            lines += histogram.text(name);
        }
        return lines;
    }

private:
    std::map<std::string, std::uint64_t> m_values;
    std::map<std::string, latency_histogram> m_durations;
};

} // namespace mango
