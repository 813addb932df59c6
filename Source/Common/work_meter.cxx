#include "Common/work_meter.h"

#include <utility>

namespace mango {

const char *toText(work_kind kind)
{
    static constexpr std::array<const char *, workKindCount> names{
            "rounds", "reports", "sends", "answers", "appends", "applies", "served", "snapshots"};
    return names[static_cast<std::size_t>(kind)];
}

work_meter::work_meter(clock_source &clock, metrics_registry &metricsRegistry)
    : m_clock(clock)
{
    for (std::size_t kind = 0; kind < workKindCount; ++kind) {
        const std::string label =
                std::string("{kind=\"") + toText(static_cast<work_kind>(kind)) + "\"}";
        m_exportedCounts[kind] = &metricsRegistry.at("mango_work_total" + label);
        m_exportedTimes[kind] = &metricsRegistry.at("mango_work_microseconds_total" + label);
    }
}

void work_meter::exportTotals()
{
    for (std::size_t kind = 0; kind < workKindCount; ++kind) {
        *m_exportedCounts[kind] = m_totals[kind].count;
        *m_exportedTimes[kind] = static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::microseconds>(m_totals[kind].time).count());
    }
}

metered_work::metered_work(work_meter *meter, work_kind kind)
    : m_meter(meter)
    , m_kind(kind)
{
    if (m_meter == nullptr) {
        return;
    }
    m_outer = m_meter->m_current;
    if (m_outer != nullptr) {
        m_outer->passTime();
    } else {
        m_meter->m_since = m_meter->m_clock.workTime();
    }
    m_meter->m_current = this;
    ++m_meter->m_totals[static_cast<std::size_t>(m_kind)].count;
}

metered_work::~metered_work()
{
    if (m_meter == nullptr) {
        return;
    }
    passTime();
    m_meter->m_current = m_outer;
}

void metered_work::passTime()
{
    const steady_span now = m_meter->m_clock.workTime();
    m_meter->m_totals[static_cast<std::size_t>(m_kind)].time +=
            now - std::exchange(m_meter->m_since, now);
}

} // namespace mango
