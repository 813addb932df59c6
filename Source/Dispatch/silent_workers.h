#pragma once

#include "Dispatch/dispatch_state.h"

namespace mango {

// What a leader knows of the calls for reports to a worker whose lease has certainly expired.
struct silence_evidence
{
    // Calls are being sent to the worker.
    bool isCalled = false;
    // When the worker last answered.
    steady_time heardAt{};
    // When the latest call was sent that failed although its relay did not.
    std::optional<steady_time> failedCallSentAt;
    // When the oldest call that is in flight was sent.
    std::optional<steady_time> oldestCallSentAt;
    // How often in a row the leader has found the lease expired.
    std::uint32_t checks = 0;
};

// Returns true when the worker itself, and not this process or a relay, is the cause of the
// silence: a call that was sent since it was last heard has failed, and no earlier one is in
// flight, whose answer may list ends. A time limit, counted in checks since a halt of this process
// passes time but not checks, applies when no call fails that way.
bool isCutOff(const silence_evidence &evidence);

// Ends the runs of a worker whose lease has certainly expired once it is cut off.
void giveUpSilentWorker(const dispatch_handle &state, const tracked_worker_handle &worker);

} // namespace mango
