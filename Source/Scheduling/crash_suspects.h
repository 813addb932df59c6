#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

#include "Common/clock_source.h"
#include "Jobs/crash_record.h"

namespace mango {

// A run that was on a worker when the worker crashed.
struct run_at_crash
{
    // How long the worker had reported the run; 0 when it never did.
    std::chrono::milliseconds survivedFor{0};
    run_confirmation confirmation = run_confirmation::confirmed;
    // What earlier crashes have shown about the task.
    crash_record record;
};

// What else happened when a worker crashed.
struct crash_surroundings
{
    // When the worker was last heard.
    steady_time silentSince{};
    // When other workers were last heard that are silent or have exited lately.
    std::vector<steady_time> othersSilentSince;
    std::size_t workerCount = 1;
    // How often workers at the same address have crashed a short time before.
    std::uint32_t recentCrashesAtAddress = 0;
};

// For how long the exits of other workers are among the surroundings of a crash.
inline constexpr auto exitMemory = std::chrono::seconds(15);

// Returns how often in a second a worker crashes of other causes than its runs, as far as the
// surroundings of a crash tell.
double ordinaryCrashRate(const crash_surroundings &surroundings);

// Returns for each run of a crashed worker what the crash tells about its task. The crash has one
// cause: one of the runs, each as likely as its task's record and the time since its start make it,
// or something that ends workers at the given rate.
std::vector<crash_evidence> weighCrash(const std::vector<run_at_crash> &runs, double ordinaryRate);

// Returns true when so many workers became silent at about the same time that a common cause, such
// as the loss of a rack or of a zone, is more likely than tasks that crash them. `silentSince`
// holds the times at which other workers were last heard.
bool isCrashBurst(const std::vector<steady_time> &silentSince, steady_time at,
                  std::size_t workerCount);

} // namespace mango
