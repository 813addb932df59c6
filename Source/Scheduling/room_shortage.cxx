#include "Scheduling/room_shortage.h"

namespace mango {

namespace {

// The share of the cores that is always open to long-running tasks, in percent.
constexpr std::uint64_t openSharePercent = 85;
// How long a shortage counts as recent.
constexpr auto shortageMemory = std::chrono::seconds(3);

} // namespace

bool admitsLongRunning(const service_room &room, std::uint32_t milliCores, steady_time now)
{
    const bool withinShare =
            (room.longRunning + milliCores) * 100 <= room.capacity * openSharePercent;
    return withinShare || !room.shortageAt || now - *room.shortageAt > shortageMemory;
}

} // namespace mango
