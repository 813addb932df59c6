#pragma once

#include <array>
#include <string>

#include "Common/clock_source.h"
#include "Jobs/job_records.h"

namespace mango {

// What a task spent its time on.
enum class time_use : std::uint8_t {
    // It had no run, or one whose start was not committed yet.
    waiting,
    // In the run that was done.
    working,
    // In a run that a copy has overtaken, before the copy began.
    overtaken,
    // In runs that failed.
    failing,
    // In runs that vanished with their workers, or whose leases expired.
    vanishing,
    // In runs that the scheduler stopped.
    stopped,
    // In starts that no worker has carried out.
    unstarted
};
inline constexpr std::size_t timeUseCount = 7;

// Returns the name of the use in log lines and metrics.
const char *toText(time_use use);

using time_by_use = std::array<std::chrono::milliseconds, timeUseCount>;

// Where the time of one task went.
struct task_account
{
    // The times add up to `until`; zero while no run has ended.
    steady_time until{};
    time_by_use spent{};
};

// Where the time of the tasks of one step went.
struct step_account
{
    // The caller's estimate for one task.
    std::chrono::milliseconds estimate{0};
    std::uint32_t taskCount = 0;
    std::vector<std::uint32_t> dependsOn;
    // By task; empty while no run has ended.
    std::vector<task_account> tasks;
    // The task that was done last, and when.
    std::uint32_t lastTask = 0;
    steady_time endedAt{};
};

// A run of a task that has ended.
struct ended_run
{
    task_key task;
    run_outcome outcome = run_outcome::done;
    steady_time startedAt{};
    steady_time endedAt{};
    // When the oldest other run of the task began; nothing when there is none.
    std::optional<steady_time> otherSince;
};

// Returns the accounts of the steps of a job none of whose runs has ended.
std::vector<step_account> makeAccounts(const job_graph &graph);

// Adds a run that has ended to the accounts. `knownSince` is when the job became known.
void addEndedRun(std::vector<step_account> &steps, steady_time knownSince, const ended_run &run);

// Where the time of a job went along the chain of steps and tasks that decided when it ended.
struct job_time_summary
{
    time_by_use spent{};
    // By step of the chain, first step first: what its deciding task spent without and with a run.
    struct link
    {
        std::uint32_t step = 0;
        std::uint32_t task = 0;
        std::chrono::milliseconds waited{0};
        std::chrono::milliseconds inRuns{0};
        std::chrono::milliseconds estimate{0};
    };
    std::vector<link> chain;
};

// Sums up the chain that ends with the given task of the given step.
job_time_summary summarizeChain(const std::vector<step_account> &steps, std::uint32_t step,
                                std::uint32_t task);

// Returns the step that ended last.
std::uint32_t lastStepOf(const std::vector<step_account> &steps);

// Returns what cost the job the most time beyond its estimates; `working` stands for a run that
// took longer than its estimate.
time_use largestDelay(const job_time_summary &summary);

// Formats the chain as STEP.TASK:WAITED+INRUNS/ESTIMATE in milliseconds; long chains are cut.
std::string toText(const std::vector<job_time_summary::link> &chain);

} // namespace mango
