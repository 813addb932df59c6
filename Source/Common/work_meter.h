#pragma once

#include <array>

#include "Common/clock_source.h"
#include "Common/metrics_registry.h"

namespace mango {

// The kinds of work of a control process that are measured apart.
enum class work_kind : std::uint8_t {
    // Scheduling rounds.
    rounds,
    // Reports of workers after they were decoded.
    reports,
    // Calls to workers and to relays: encoding and sending.
    sends,
    // Answers of relays: decoding.
    answers,
    // Entries of the log: encoding for disk and followers.
    appends,
    // Committed commands: applying them and what follows from them.
    applies,
    // Calls of other processes: decoding them and encoding the response.
    served,
    // Snapshots of the replicated state.
    snapshots
};

inline constexpr std::size_t workKindCount = 8;

// Returns the name of the kind in log lines and metrics.
const char *toText(work_kind kind);

// How often a kind of work was done, and how long it took.
struct work_total
{
    std::uint64_t count = 0;
    steady_span time{0};
};

using work_totals = std::array<work_total, workKindCount>;

class metered_work;

// Adds up where the processor time of one process goes, by kind of work.
class work_meter
{
public:
    // The totals are exported as mango_work_microseconds_total{kind="..."} and
    // mango_work_total{kind="..."}.
    work_meter(clock_source &clock, metrics_registry &metricsRegistry);
    [[nodiscard]] const work_totals &totals() const
    {
        return m_totals;
    }
    // Copies the totals to the metrics.
    void exportTotals();

private:
    friend class metered_work;

    clock_source &m_clock;
    std::array<std::uint64_t *, workKindCount> m_exportedCounts{};
    std::array<std::uint64_t *, workKindCount> m_exportedTimes{};
    work_totals m_totals;
    // The innermost section in progress, and since when it has been.
    metered_work *m_current = nullptr;
    steady_span m_since{0};
};

// Counts the time until its destruction for one kind of work. Sections may be nested: an inner one
// interrupts the outer one. A section must contain no co_await.
class metered_work
{
public:
    // Without a meter nothing is counted.
    metered_work(work_meter *meter, work_kind kind);
    metered_work(const metered_work &) = delete;
    metered_work &operator=(const metered_work &) = delete;
    ~metered_work();

private:
    void passTime();

    work_meter *m_meter;
    work_kind m_kind;
    metered_work *m_outer = nullptr;
};

} // namespace mango
