#include "Fleet/worker_client.h"

namespace mango {

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
