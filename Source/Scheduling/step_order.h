#pragma once

#include <chrono>
#include <cstdint>

#include "Common/clock_source.h"

namespace mango {

// The properties of a step that decide the order in which steps with waiting tasks are placed.
struct step_urgency
{
    // The priority of the queue; 0 is the highest.
    std::uint32_t priority = 0;
    bool longRunning = false;
    // When the job must be complete to be in time.
    steady_time deadline{};
    // When the job loses all of its value.
    steady_time expiresAt{};
    // The expected time of the remaining critical path, this step included.
    std::chrono::milliseconds remainingCriticalPath{0};
    // The waiting tasks are long-running and were started before.
    bool isRestart = false;
    // First runs of a long-running step that have waited for too long.
    bool isOverdue = false;
    // The job's customer has more than its share.
    bool yieldsToOthers = false;
};

// Returns true when the first step is placed before the second. Handles a burst on several queues:
// within a priority, the step with the earliest latest start time goes first. Steps that can no
// longer be in time go after those that can, so that a backlog does not delay every job; among them
// the shortest go first. Steps of expired jobs go last, whatever their priority.
//
// Also handles a service that is full of long-running tasks while more of them wait: free resources
// go first to short tasks of the same priority. These release them within a second, and the
// long-running tasks get the rest in the same round. That holds for the first runs of long-running
// tasks that are not overdue. Their restarts go before short tasks, as they were admitted before
// and a backlog of short tasks could keep them waiting for as long as it lasts; overdue first runs
// go between the two. Among steps of one priority and kind, those of customers above their share go
// last.
bool precedes(const step_urgency &first, const step_urgency &second, steady_time now);

} // namespace mango
