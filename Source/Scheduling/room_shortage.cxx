#include "Scheduling/room_shortage.h"

namespace mango {

namespace {

// The share of the cores that is always open to long-running tasks, in percent.
constexpr std::uint64_t openSharePercent = 85;
// How long a shortage counts as recent.
constexpr auto shortageMemory = std::chrono::seconds(3);
// How long the first runs of a step wait for short tasks, and how often one is placed afterwards.
constexpr auto longestDeferral = std::chrono::milliseconds(2000);
// How long restarts wait for short tasks.
constexpr auto longestRestartDeferral = std::chrono::milliseconds(5000);
constexpr auto admissionInterval = std::chrono::milliseconds(1000);

} // namespace

bool admitsLongRunning(const service_room &room, std::uint32_t milliCores, steady_time now)
{
    const bool withinShare =
            (room.longRunning + milliCores) * 100 <= room.capacity * openSharePercent;
    return withinShare || !room.shortageAt || now - *room.shortageAt > shortageMemory;
}

bool isDueDespiteShortage(const first_run_wait &wait, steady_time now)
{
    const bool waitedForLong = wait.since && now - *wait.since > longestDeferral;
    return waitedForLong && (!wait.admittedAt || now - *wait.admittedAt >= admissionInterval);
}

bool areRestartsDueDespiteShortage(const std::optional<steady_time> &waitingSince, steady_time now)
{
    return waitingSince && now - *waitingSince > longestRestartDeferral;
}

bool canHold(const service_room &room, const resource_amounts &requested)
{
    return requested.milliCores <= room.largest.milliCores
           && requested.memoryMb <= room.largest.memoryMb
           && requested.accelerators <= room.largest.accelerators;
}

} // namespace mango
