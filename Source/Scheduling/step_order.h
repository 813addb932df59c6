#pragma once

#include <chrono>
#include <cstdint>

#include "Common/clock_source.h"

namespace mango {

// What decides when a step with waiting tasks gets its turn.
struct step_urgency
{
    // Of its queue; 0 comes first.
    std::uint32_t priority = 0;
    bool longRunning = false;
    // When the job must be complete to count as in time.
    steady_time due{};
    // From when on the job earns nothing any more.
    steady_time worthless{};
    // The estimate of the chain that is left, this step included.
    std::chrono::milliseconds chainLeft{0};
};

// True when the first step gets its turn before the second. Answers a burst on several queues:
// within a priority the step that must start soonest to be in time goes first. Those that cannot be
// in time any more go after those that can, so that a backlog does not make every job late; among
// them the shortest go first. Those that earn nothing go last of all, whatever their priority.
//
// Answers also a service that lasting tasks fill, with more of them waiting: what becomes free goes
// to short tasks of the same priority first. They give it back within a second, and the lasting
// ones take what is left in the same round.
bool precedes(const step_urgency &first, const step_urgency &second, steady_time now);

} // namespace mango
