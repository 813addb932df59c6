#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace mango {

// Counters and gauges of one process, shown at its metrics endpoint. A name may carry labels in
// the common text format, for example mango_refused_total{reason="no_credit"}.
class counters
{
public:
    // The counter of that name, made at 0 on first use; the reference stays valid.
    std::uint64_t &at(const std::string &name)
    {
        return m_values[name];
    }
    // All values in the common text format, one a line.
    [[nodiscard]] std::string text() const
    {
        std::string lines;
        for (const auto &[name, value] : m_values) {
            lines += name + " " + std::to_string(value) + "\n";
        }
        return lines;
    }

private:
    std::map<std::string, std::uint64_t> m_values;
};

} // namespace mango
