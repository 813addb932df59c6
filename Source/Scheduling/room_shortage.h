#pragma once

#include <cstdint>
#include <optional>

#include "Common/clock_source.h"
#include "Jobs/job_graph.h"

namespace mango {

// The cores of the workers of one service that take new work, and whether they suffice.
struct service_room
{
    // In thousandths of a core.
    std::uint64_t capacity = 0;
    // The part of the capacity that was requested by long-running tasks.
    std::uint64_t longRunning = 0;
    // When a short task last waited for room for a while.
    std::optional<steady_time> shortageAt;
    // The most that one of the workers can hold.
    resource_amounts largest;
};

// How long the first runs of a long-running step have waited.
struct first_run_wait
{
    std::optional<steady_time> since;
    // When one of them was last let through despite a shortage.
    std::optional<steady_time> admittedAt;
};

// Returns true when the first run of a long-running task that requests so many thousandths of a
// core may be placed now. Such a run keeps its cores, while short tasks release theirs within
// seconds: in a service that is nearly full of long-running tasks, each one that is added can keep
// short tasks from their objectives for as long as it runs. So most of the service is open to them,
// and the rest as long as no short task has lately waited for room.
bool admitsLongRunning(const service_room &room, std::uint32_t milliCores, steady_time now);

// Returns true when a first run is placed despite a shortage of room: a step that has waited for
// long gets one run a second, so that its job does not wait for as long as the shortage lasts.
bool isDueDespiteShortage(const first_run_wait &wait, steady_time now);

// Returns true when the restarts of a long-running step are placed despite a shortage of room. The
// other tasks of its job go on meanwhile, while a short task that gets no room in time is lost with
// its whole job; but a restart was admitted before, so that it waits for a shorter time, and then
// all of them are placed.
bool areRestartsDueDespiteShortage(const std::optional<steady_time> &waitingSince, steady_time now);

// Returns true when some worker of the service can hold the resources. Tasks that none can hold
// show no shortage.
bool canHold(const service_room &room, const resource_amounts &requested);

} // namespace mango
