#include "Fleet/worker_client.h"

#include <algorithm>

namespace mango {

namespace {

// The bits of a fencing token below the term. Tokens travel as JSON numbers, of which only those
// below 2^53 are exact: 2^25 terms remain.
constexpr unsigned incarnationNumberBits = 28;

} // namespace

std::uint64_t fencingTokenOf(std::uint64_t term, std::uint64_t incarnationNumber)
{
    constexpr std::uint64_t highestNumber = (std::uint64_t(1) << incarnationNumberBits) - 1;
    return (term << incarnationNumberBits) | std::min(incarnationNumber, highestNumber);
}

std::string toText(worker_call_result result)
{
    static constexpr const char *names[] = {"done",
                                            "refused-by-fence",
                                            "refused-as-old",
                                            "refused-as-late",
                                            "refused-for-room",
                                            "refused-for-ticket",
                                            "malformed",
                                            "unhealthy",
                                            "other-life",
                                            "never-sent",
                                            "unanswered"};
    return names[static_cast<int>(result)];
}

} // namespace mango
