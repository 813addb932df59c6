#include "Dispatch/round_work.h"

#include <utility>

namespace mango {

round_part enterPart(round_work &work, round_part part, steady_time now)
{
    if (work.part != round_part::outside) {
        work.spent[static_cast<std::size_t>(work.part)] += now - work.partSince;
    }
    work.partSince = now;
    return std::exchange(work.part, part);
}

} // namespace mango
