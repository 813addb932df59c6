#include "Dispatch/report_limits.h"

namespace mango {

namespace {

template<class Rows>
std::size_t dropLarge(Rows &rows)
{
    std::size_t dropped = 0;
    for (auto &row : rows) {
        if (row.checkpoint.size() > maximumCheckpointBytes) {
            row.checkpoint.clear();
            row.checkpoint.shrink_to_fit();
            ++dropped;
        }
    }
    return dropped;
}

} // namespace

std::size_t dropLargeCheckpoints(worker_report &report)
{
    return dropLarge(report.running) + dropLarge(report.ended);
}

} // namespace mango
