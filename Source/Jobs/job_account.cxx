#include "Jobs/job_account.h"

#include <algorithm>
#include <numeric>

namespace mango {

namespace {

constexpr std::size_t maximumChainInText = 5;

std::chrono::milliseconds &at(time_by_use &spent, time_use use)
{
    return spent[static_cast<std::size_t>(use)];
}

time_use useOf(run_outcome outcome)
{
    switch (outcome) {
    case run_outcome::done:
        return time_use::working;
    case run_outcome::failed:
        return time_use::failing;
    case run_outcome::stopped:
        return time_use::stopped;
    case run_outcome::neverStarted:
        return time_use::unstarted;
    default:
        return time_use::vanishing;
    }
}

steady_time readyAt(const std::vector<step_account> &steps, const step_account &step,
                    steady_time knownSince)
{
    steady_time ready = knownSince;
    for (const std::uint32_t earlier : step.dependsOn) {
        ready = std::max(ready, steps[earlier].endedAt);
    }
    return ready;
}

// Adds the time from the end of the account to `to`, if that lies later.
void spendUntil(task_account &account, steady_time to, time_use use)
{
    if (to > account.until) {
        at(account.spent, use) +=
                std::chrono::duration_cast<std::chrono::milliseconds>(to - account.until);
        account.until = to;
    }
}

} // namespace

const char *toText(time_use use)
{
    static constexpr std::array<const char *, timeUseCount> names{
            "waiting", "working", "overtaken", "failing", "vanishing", "stopped", "unstarted"};
    return names[static_cast<std::size_t>(use)];
}

std::vector<step_account> makeAccounts(const job_graph &graph)
{
    std::vector<step_account> steps;
    steps.reserve(graph.steps.size());
    for (const job_step &step : graph.steps) {
        step_account &account = steps.emplace_back();
        account.estimate = step.estimate;
        account.taskCount = step.tasks;
        account.dependsOn = step.dependsOn;
    }
    return steps;
}

void addEndedRun(std::vector<step_account> &steps, steady_time knownSince, const ended_run &run)
{
    step_account &step = steps[run.task.step];
    step.tasks.resize(step.taskCount);
    task_account &account = step.tasks[run.task.index];
    if (account.until == steady_time{}) {
        account.until = readyAt(steps, step, knownSince);
    }
    if (run.otherSince && run.outcome == run_outcome::done && *run.otherSince < run.startedAt) {
        spendUntil(account, *run.otherSince, time_use::waiting);
        spendUntil(account, run.startedAt, time_use::overtaken);
    }
    spendUntil(account, run.startedAt, time_use::waiting);
    spendUntil(account, run.endedAt, useOf(run.outcome));
    if (run.outcome == run_outcome::done && run.endedAt >= step.endedAt) {
        step.lastTask = run.task.index;
        step.endedAt = run.endedAt;
    }
}

job_time_summary summarizeChain(const std::vector<step_account> &steps, std::uint32_t step,
                                std::uint32_t task)
{
    job_time_summary summary;
    std::optional<std::uint32_t> next = step;
    while (next && *next < steps.size()) {
        const std::uint32_t number = *next;
        job_time_summary::link link{number, task, {}, {}, steps[number].estimate};
        if (task < steps[number].tasks.size()) {
            const time_by_use &spent = steps[number].tasks[task].spent;
            for (std::size_t use = 0; use < timeUseCount; ++use) {
                summary.spent[use] += spent[use];
            }
            link.waited = spent[static_cast<std::size_t>(time_use::waiting)];
            link.inRuns = std::accumulate(spent.begin(), spent.end(), std::chrono::milliseconds(0))
                          - link.waited;
        }
        summary.chain.push_back(link);
        next.reset();
        for (const std::uint32_t earlier : steps[number].dependsOn) {
            if (!next || steps[earlier].endedAt > steps[*next].endedAt) {
                next = earlier;
            }
        }
        task = next ? steps[*next].lastTask : 0;
    }
    std::reverse(summary.chain.begin(), summary.chain.end());
    return summary;
}

std::uint32_t lastStepOf(const std::vector<step_account> &steps)
{
    const auto last = std::max_element(steps.begin(), steps.end(),
                                       [](const step_account &one, const step_account &other) {
                                           return one.endedAt < other.endedAt;
                                       });
    return static_cast<std::uint32_t>(last - steps.begin());
}

time_use largestDelay(const job_time_summary &summary)
{
    time_by_use excess = summary.spent;
    for (const job_time_summary::link &link : summary.chain) {
        at(excess, time_use::working) -= link.estimate;
    }
    return static_cast<time_use>(std::max_element(excess.begin(), excess.end()) - excess.begin());
}

std::string toText(const std::vector<job_time_summary::link> &chain)
{
    std::string text;
    for (std::size_t at = 0; at < std::min(chain.size(), maximumChainInText); ++at) {
        const job_time_summary::link &link = chain[at];
        text += (text.empty() ? "" : ",") + std::to_string(link.step) + "."
                + std::to_string(link.task) + ":" + std::to_string(link.waited.count()) + "+"
                + std::to_string(link.inRuns.count()) + "/" + std::to_string(link.estimate.count());
    }
    return chain.size() > maximumChainInText ? text + ",..." : text;
}

} // namespace mango
