#pragma once

#include <chrono>
#include <cstdint>

namespace mango {

// How a run fares, as its worker's listings show it.
struct run_progress
{
    // Since its start was confirmed.
    std::chrono::milliseconds age{0};
    // Since the share of its work that is done last grew.
    std::chrono::milliseconds standing{0};
    // The share of its work that is done.
    std::uint32_t progressPercent = 0;
    // What the caller says that the task takes.
    std::chrono::milliseconds estimate{0};
    // Since its worker was last heard.
    std::chrono::milliseconds silent{0};
    // The workers on which the task has failed or lagged before.
    std::uint32_t triedElsewhere = 0;
    // Nobody knows whether it was started.
    bool unsure = false;
    // It is slowed or lacks cores by the scheduler's own doing.
    bool heldBack = false;
    bool allowsSpeculativeCopies = false;
    bool checkpoints = false;
    bool longRunning = false;
};

enum class progress_step : std::uint8_t {
    keep,
    // Start a second run elsewhere, if there is room; the first that is done counts.
    copy,
    // Stop it, and start it again elsewhere.
    move
};

// What to do about a run. Answers the load of short jobs on workers of which some fall silent,
// stand still or turn slow: a run that is expected to end far later than a fresh one elsewhere gets
// a copy where copies are allowed; otherwise it moves, but only when it stands still, since a slow
// run that goes on loses nothing.
progress_step adviseOnRun(const run_progress &run);

// The health of a worker as the ends of its runs show it.
struct worker_health
{
    std::uint32_t failuresInRow = 0;
    std::uint32_t stallsInRow = 0;
};

// How long a worker gets no new work after its last failure or stall; 0 when it is sound. Answers
// the load of a worker that fails or stalls all that it starts and looks idle for that: it is tried
// again after a while, each time a longer one.
std::chrono::milliseconds restFor(const worker_health &health);

} // namespace mango
