#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

#include "Common/clock_source.h"
#include "Jobs/crash_record.h"

namespace mango {

// A run has survived its start once its worker has reported it for this long.
inline constexpr auto startSurvivedAfter = std::chrono::milliseconds(500);

enum class run_confirmation : std::uint8_t {
    confirmed,
    // The start was requested by an earlier leader, which may have been told.
    unknown,
    // The start request got no answer.
    unanswered
};

// A run that was on a worker when the worker crashed.
struct run_at_crash
{
    // How long the worker had reported the run; 0 when it never did.
    std::chrono::milliseconds survivedFor{0};
    bool onTrial = false;
    // Whether the worker has confirmed that it had begun the run.
    run_confirmation confirmation = run_confirmation::confirmed;
};

// Returns for each run of a crashed worker whether it may be the cause. Handles single tasks that
// crash the workers that start them, beside crashes of other causes: the runs that had begun
// shortly before are suspects. Only a run on trial is blamed alone, and only if `otherCause` is
// false: nothing else explains the crash.
std::vector<crash_blame> assignBlame(const std::vector<run_at_crash> &runs, bool otherCause);

// Returns true when so many workers became silent at about the same time that a common cause, such
// as the loss of a rack or of a zone, is more likely than tasks that crash them. `silentSince`
// holds the times at which other workers were last heard.
bool isCrashBurst(const std::vector<steady_time> &silentSince, steady_time at,
                  std::size_t workerCount);

} // namespace mango
