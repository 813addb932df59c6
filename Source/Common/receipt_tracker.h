#pragma once

#include <array>

#include "Common/clock_source.h"

namespace mango {

// Tells how much a process certainly knew before a message arrived that it reads now. A message may
// have waited in its socket, for example while the process was suspended, so that what the process
// knows when it reads the message may be newer than the message.
//
// What is known is a number that only grows. The process reports it at a regular interval. In the
// time between two reports that are not late it reads all that has arrived before the first.
class receipt_tracker
{
public:
    explicit receipt_tracker(steady_span interval)
        : m_interval(interval)
    {}

    // Reports what is known at `now`, for a report that was due at `due`. A late report shows that
    // messages may be waiting: it does not count.
    void report(std::uint64_t known, steady_time due, steady_time now);

    // Returns what was known before any message arrived that is read now; 0 before there were
    // enough reports.
    [[nodiscard]] std::uint64_t knownBeforeReceipt() const
    {
        return m_reported.front();
    }

private:
    steady_span m_interval;
    // The last reports that were not late, the oldest first.
    std::array<std::uint64_t, 3> m_reported{};
};

} // namespace mango
