#include "Common/receipt_tracker.h"

#include <algorithm>

namespace mango {

void receipt_tracker::report(std::uint64_t known, steady_time due, steady_time now)
{
    if (now - due > m_interval) {
        return;
    }
    std::shift_left(m_reported.begin(), m_reported.end(), 1);
    m_reported.back() = std::max(known, m_reported.back());
}

} // namespace mango
