#include "Dispatch/job_report.h"

#include <algorithm>

#include "Common/event_log.h"
#include "Common/log.h"

namespace mango {

namespace {

// A job that takes longer than its objective times this factor has no value any more.
constexpr int noValueFactor = 3;

std::int64_t toMilliseconds(steady_span span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

// Formats the runs that have ended as OUTCOME:COUNT.
std::string describeRuns(const tracked_job &job)
{
    std::string text;
    for (std::size_t outcome = 0; outcome < job.endedRuns.size(); ++outcome) {
        if (job.endedRuns[outcome] > 0) {
            text += (text.empty() ? "" : ",") + toText(static_cast<run_outcome>(outcome)) + ":"
                    + std::to_string(job.endedRuns[outcome]);
        }
    }
    return text;
}

std::string describeTimes(const time_by_use &spent)
{
    std::string text;
    for (std::size_t use = 0; use < timeUseCount; ++use) {
        if (spent[use].count() > 0) {
            text += (text.empty() ? std::string() : std::string(","))
                    + toText(static_cast<time_use>(use)) + ":" + std::to_string(spent[use].count());
        }
    }
    return text;
}

// The chain that decided when the job ended: that of the task which made it fail, else that of the
// task which was done last.
job_time_summary summarize(const tracked_job &job, const job_failure_report *failure)
{
    if (failure != nullptr) {
        return summarizeChain(job.accounts, failure->task.step, failure->task.index);
    }
    const std::uint32_t last = lastStepOf(job.accounts);
    return summarizeChain(job.accounts, last, job.accounts[last].lastTask);
}

const char *describeLateness(std::chrono::milliseconds age, std::chrono::milliseconds objective)
{
    if (age > objective * noValueFactor) {
        return "worthless";
    }
    return age > objective ? "late" : "in-time";
}

} // namespace

void beginAccount(const dispatch_state &state, tracked_job &tracked, const job_state &job)
{
    const auto seen = state.runTimes.find(job.queueParameters.pathPrefix);
    const auto paths = expectedCriticalPaths(
            seen == state.runTimes.end() ? run_times{} : seen->second, job.graph);
    tracked.objective = completionObjective(job.queueParameters, paths.front());
    if (!job.graph.schedule) {
        tracked.accounts = makeAccounts(job.graph);
    }
}

void countStartedRun(dispatch_state &state, const run_key &key)
{
    const auto job = state.jobs.find(key.task.job);
    if (job == state.jobs.end()) {
        return;
    }
    ++job->second.startedRuns;
    if (!job->second.firstRunAt) {
        job->second.firstRunAt = state.context.clock.now();
    }
}

void accountForRun(dispatch_state &state, const end_runs::run_end &end,
                   const tracked_worker_handle &worker)
{
    const auto job = state.jobs.find(end.key.task.job);
    if (job == state.jobs.end() || !worker) {
        return;
    }
    const auto run = worker->runs.find(end.key);
    if (run == worker->runs.end()) {
        return;
    }
    ++job->second.endedRuns[static_cast<std::size_t>(end.outcome)];
    if (job->second.accounts.empty()) {
        return;
    }
    ended_run ended{
            end.key.task, end.outcome, run->second.startSentAt, state.context.clock.now(), {}};
    for (auto at = state.workerByRun.lower_bound({end.key.task, 0});
         at != state.workerByRun.end() && at->first.task == end.key.task; ++at) {
        const auto other = at->second->runs.find(at->first);
        if (at->first != end.key && other != at->second->runs.end()) {
            const steady_time since = other->second.startSentAt;
            ended.otherSince = std::min(since, ended.otherSince.value_or(since));
        }
    }
    addEndedRun(job->second.accounts, job->second.knownSince, ended);
}

void reportJobEnd(const dispatch_state &state, std::uint64_t number)
{
    const auto tracked = state.jobs.find(number);
    const auto phase = phaseOf(state.context.machine.state(), number);
    if (tracked == state.jobs.end() || !phase) {
        return;
    }
    const tracked_job &job = tracked->second;
    const steady_time now = state.context.clock.now();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - job.knownSince);
    const job_failure_report *failure = failureOf(state.context.machine.state(), number);
    const std::string why = toText(failure == nullptr ? job_failure::none : failure->failure);
    const bool hasAccount = !job.accounts.empty();
    const job_time_summary times = hasAccount ? summarize(job, failure) : job_time_summary{};
    const char *lateness = hasAccount ? describeLateness(age, job.objective) : "scheduled";
    const bool isLate = hasAccount && (failure != nullptr || age > job.objective);
    const char *delay = isLate ? toText(largestDelay(times)) : "none";
    const auto write = [&](const char *event, const char *idField) {
        logEvent(log_part::scheduler, event,
                 {{idField, formatJobId(number)},
                  {"queue", job.queue},
                  {"phase", toText(*phase)},
                  {"age_ms", age.count()},
                  {"objective_ms", job.objective.count()},
                  {"lateness", lateness},
                  {"delay", delay},
                  {"first_run_ms", job.firstRunAt ? toMilliseconds(*job.firstRunAt - job.knownSince)
                                                  : std::int64_t(-1)},
                  {"times", describeTimes(times.spent)},
                  {"chain", toText(times.chain)},
                  {"starts", job.startedRuns},
                  {"runs", describeRuns(job)},
                  {"adopted", job.knownSince < state.leaderSince ? "yes" : "no"},
                  {"failure", why},
                  {"task", failure == nullptr ? "none" : toText(failure->task)},
                  {"count", failure == nullptr ? 0 : failure->count}});
    };
    write("job-over", "job");
    if (isLate) {
        // Not sampled with the other lines of the job.
        write("job-late", "id");
        ++state.context.metricsRegistry.at("mango_jobs_late_total{queue=\"" + job.queue
                                           + "\",delay=\"" + delay + "\"}");
    }
    if (failure != nullptr) {
        ++state.context.metricsRegistry.at("mango_jobs_failed_total{failure=\"" + why + "\"}");
    }
}

} // namespace mango
