#pragma once

#include <chrono>
#include <cstdint>

namespace mango {

// The progress of a run, derived from the reports of its worker.
struct run_progress
{
    // Time since the start was confirmed.
    std::chrono::milliseconds age{0};
    // Time since the completed percentage last increased.
    std::chrono::milliseconds stalledFor{0};
    // The percentage of the work that is done.
    std::uint32_t progressPercent = 0;
    // The expected run time of the task.
    std::chrono::milliseconds estimate{0};
    // Time since the last message of the worker.
    std::chrono::milliseconds workerSilentFor{0};
    // The number of workers on which the task has failed or been a straggler before.
    std::uint32_t triedWorkerCount = 0;
    // It is unknown whether the run was started.
    bool unconfirmed = false;
    // The scheduler has slowed the run down or gives it too few cores.
    bool throttledByScheduler = false;
    bool allowsSpeculativeCopies = false;
    bool checkpoints = false;
    bool longRunning = false;
    // The worker has reported the run for so long that its start crashes no worker.
    bool survivedStart = true;
    // Workers have crashed under the task before.
    bool isSuspect = false;
};

enum class run_action : std::uint8_t {
    keep,
    // Start a speculative copy on another worker, if one fits; the first result counts.
    copy,
    // The same, but on trial: the worker may have been crashed by the run.
    copyOnTrial,
    // Stop the run and start it again on another worker.
    move
};

// Returns what to do about a run. Handles short tasks on workers of which some become silent, stall
// or slow down. A run that is expected to end far later than a new run elsewhere gets a speculative
// copy where the task allows copies. A worker that has not reported a run for long after its start
// may have been crashed by it, so that the copy is a trial; a task under which a worker has crashed
// before gets none then. Other runs are moved, but only when they are stalled, because a slow run
// that makes progress loses nothing.
run_action decideRunAction(const run_progress &run);

// Returns true when decideRunAction() certainly returns `keep`. Needs neither the estimate nor the
// number of workers that were tried, so that it is quick to tell for most runs.
bool isCertainlyKept(const run_progress &run);

// The failures and stalls of a worker since its last successful run.
struct worker_failure_streak
{
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t consecutiveStalls = 0;
};

// Returns how long a worker gets no new work after its last failure or stall; 0 for a healthy
// worker. A worker on which every run fails or stalls looks idle and would attract all new work.
// It is tried again after a backoff that doubles each time, up to a limit.
std::chrono::milliseconds backoffFor(const worker_failure_streak &health);

} // namespace mango
