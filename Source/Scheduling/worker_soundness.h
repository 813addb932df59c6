#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "Common/clock_source.h"
#include "Scheduling/run_progress.h"

namespace mango {

// What the runs of a worker have shown of it.
struct worker_soundness
{
    worker_failure_streak streak;
    // When the last run failed or stalled; nothing when one was done since.
    std::optional<steady_time> failedAt;
    // Until when it rests after failures and stalls.
    steady_time backoffUntil{};
    // When a run was last done.
    std::optional<steady_time> doneAt;
    // A run that began after the last backoff did has not ended yet.
    bool hasProbe = false;
};

// How placement treats a worker.
struct worker_doubt
{
    // It gets no new work but tasks of starved steps.
    bool rests = false;
    // It gets one run at a time until one is done.
    bool oneAtATime = false;
    // Subtracted from its score for tasks of the highest priority, and for others.
    std::int64_t urgentCost = 0;
    std::int64_t otherCost = 0;
    // Subtracted from its score for tasks that have failed before.
    std::int64_t retryCost = 0;
};

// Returns how far a worker is to be trusted. A worker on which every run fails looks idle and would
// attract all new work, and a few of them would use up the attempts of a task. It rests for a while
// and then gets one run as a probe, preferably of a queue that has not the highest priority. Tasks
// that have failed before prefer workers that have lately shown success.
worker_doubt doubtOf(const worker_soundness &worker, steady_time now);

} // namespace mango
