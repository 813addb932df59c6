#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "Common/clock_source.h"
#include "Scheduling/run_progress.h"

namespace mango {

// The progress of a run over some time.
struct pace_sample
{
    std::chrono::milliseconds span{0};
    // The increase of the completed percentage.
    std::uint32_t percent = 0;
    // The expected time of the whole run.
    std::chrono::milliseconds expected{0};
};

enum class run_pace : std::uint8_t { unknown, normal, slow };

// Returns how fast a run has advanced; `unknown` while the span is too short to tell.
run_pace paceOf(const pace_sample &sample);

// What the runs of a worker have shown of it.
struct worker_soundness
{
    worker_failure_streak streak;
    // When the last run failed or stalled; nothing when one was done since.
    std::optional<steady_time> failedAt;
    // Until when it rests after failures and stalls.
    steady_time backoffUntil{};
    // When its runs last showed that it is slow; nothing when one has advanced normally since.
    std::optional<steady_time> slowAt;
    // When a run was last done.
    std::optional<steady_time> doneAt;
    // A run that began after the last backoff did, or after the worker was last seen to be slow,
    // has not ended yet.
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

// Returns how far a worker is to be trusted. A worker on which every run fails, and at first one
// that is slow, looks idle and would attract all new work, and a few of them would use up the
// attempts of a task. It rests for a while and then gets one run as a probe, preferably of a queue
// that has not the highest priority. A slow worker comes after all others meanwhile. Tasks that
// have failed before prefer workers that have lately shown success.
worker_doubt doubtOf(const worker_soundness &worker, steady_time now);

} // namespace mango
