#include "Dispatch/round_report.h"

#include <algorithm>
#include <array>

#include "Common/event_log.h"
#include "Common/log.h"

namespace mango {

namespace {

constexpr auto summaryInterval = std::chrono::seconds(1);
// A step that has waited for less is not reported.
constexpr auto reportedWait = std::chrono::milliseconds(1000);
constexpr auto waitReportInterval = std::chrono::seconds(1);
// The most reports of waiting steps in one summary interval. The rounds come to the most urgent
// steps first.
constexpr std::uint64_t mostWaitReports = 10;

// The workers are counted in steps of so many cores, up to this number of steps.
constexpr std::int64_t coresPerBucket = 4;
constexpr std::size_t coreBuckets = 13;

enum task_kind : std::uint8_t { shortTask, bestEffortTask, longRunningTask };
constexpr std::size_t taskKindCount = 3;
constexpr std::array<const char *, taskKindCount> kindNames{"short", "best_effort", "long_running"};

task_kind kindOf(const job_step &step)
{
    if (step.longRunning) {
        return longRunningTask;
    }
    return step.bestEffort ? bestEffortTask : shortTask;
}

std::int64_t toMilliseconds(steady_span span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

// The tasks of one kind that found no worker in the last round.
struct waiting_tasks
{
    std::uint64_t count = 0;
    steady_span longest{0};
    steady_span longestRestart{0};
};

std::array<waiting_tasks, taskKindCount> countWaiting(const dispatch_state &state, steady_time now)
{
    std::array<waiting_tasks, taskKindCount> waiting;
    const auto &jobs = state.context.machine.state().jobs;
    for (const auto &[number, job] : state.jobs) {
        const auto committed = jobs.find(number);
        if (committed == jobs.end()) {
            continue;
        }
        for (const auto &[at, steps] : job.occurrences) {
            for (std::size_t step = 0; step < steps.size(); ++step) {
                const auto &first = steps[step].wait.since;
                const auto &restarts = steps[step].restartsWait.since;
                if (!first && !restarts) {
                    continue;
                }
                waiting_tasks &kind = waiting[kindOf(committed->second.graph.steps[step])];
                kind.count += steps[step].waiting.size();
                if (first) {
                    kind.longest = std::max(kind.longest, now - *first);
                }
                if (restarts) {
                    kind.longestRestart = std::max(kind.longestRestart, now - *restarts);
                }
            }
        }
    }
    return waiting;
}

struct unsettled_runs
{
    std::uint64_t endPending = 0;
    std::uint64_t unconfirmed = 0;
    std::uint64_t stopping = 0;
    std::uint64_t onTrial = 0;
    // Tasks that wait for a trial.
    std::uint64_t suspectsWaiting = 0;
};

unsettled_runs countUnsettled(const dispatch_state &state)
{
    unsettled_runs counts;
    for (const auto &[incarnation, worker] : state.workers) {
        for (const auto &[key, run] : worker->runs) {
            counts.endPending += run.endPending ? 1 : 0;
            counts.unconfirmed += run.phase == run_phase::unconfirmed ? 1 : 0;
            counts.stopping += run.stopRequested && !run.endPending ? 1 : 0;
            counts.onTrial += run.onTrial ? 1 : 0;
        }
    }
    for (const auto &[number, job] : state.jobs) {
        for (const auto &[at, steps] : job.occurrences) {
            for (const tracked_step &step : steps) {
                counts.suspectsWaiting += step.trialWaitSince.size();
            }
        }
    }
    return counts;
}

std::uint32_t workersExcluded(const round_offers &round, worker_exclusion exclusion)
{
    return round.workersByExclusion[static_cast<std::size_t>(exclusion)];
}

void exportSummary(metrics_registry &metrics, const round_offers &round,
                   const std::array<waiting_tasks, taskKindCount> &waiting,
                   const unsettled_runs &unsettled, std::uint32_t mostHeld)
{
    metrics.at("mango_workers_considered") = workersExcluded(round, worker_exclusion::none);
    const auto exportExcluded = [&](const char *reason, worker_exclusion exclusion) {
        metrics.at(std::string("mango_workers_excluded{reason=\"") + reason + "\"}") =
                workersExcluded(round, exclusion);
    };
    exportExcluded("gone", worker_exclusion::gone);
    exportExcluded("draining", worker_exclusion::draining);
    exportExcluded("domain-out", worker_exclusion::domainOutOfService);
    exportExcluded("unanswered", worker_exclusion::unanswered);
    exportExcluded("silent", worker_exclusion::silent);
    exportExcluded("refusing", worker_exclusion::refusing);
    exportExcluded("on-trial", worker_exclusion::onTrial);
    for (std::size_t kind = 0; kind < taskKindCount; ++kind) {
        const std::string label = std::string("{kind=\"") + kindNames[kind] + "\"}";
        metrics.at("mango_tasks_unplaced" + label) = waiting[kind].count;
        metrics.at("mango_longest_wait_milliseconds" + label) =
                static_cast<std::uint64_t>(toMilliseconds(waiting[kind].longest));
    }
    metrics.at("mango_tasks_held_room") = mostHeld;
    metrics.at("mango_longest_restart_wait_milliseconds") =
            static_cast<std::uint64_t>(toMilliseconds(waiting[longRunningTask].longestRestart));
    metrics.at("mango_runs_end_pending") = unsettled.endPending;
    metrics.at("mango_runs_unconfirmed") = unsettled.unconfirmed;
    metrics.at("mango_runs_stopping") = unsettled.stopping;
    metrics.at("mango_suspects_waiting") = unsettled.suspectsWaiting;
    metrics.at("mango_runs_on_trial") = unsettled.onTrial;
}

// The counts of the work of rounds, by the names of their metrics and log fields.
struct named_count
{
    const char *name;
    std::uint64_t round_work::*count;
};
constexpr std::array<named_count, 14> workCounts{{
        {"offers_updated", &round_work::offersUpdated},
        {"jobs_seen", &round_work::jobsSeen},
        {"steps_ready", &round_work::stepsReady},
        {"steps_tried", &round_work::stepsTried},
        {"rankings", &round_work::rankings},
        {"scans_for_task", &round_work::scansForTask},
        {"scans_for_trial", &round_work::scansForTrial},
        {"scans_to_hold", &round_work::scansToHold},
        {"offers_scored", &round_work::offersScored},
        {"deferrals", &round_work::deferrals},
        {"releases_listed", &round_work::releasesListed},
        {"runs_checked", &round_work::runsChecked},
        {"suspects", &round_work::suspects},
        {"wait_reports", &round_work::waitReports},
}};
constexpr std::array<const char *, roundPartCount - 1> partNames{"workers", "offers", "collect",
                                                                 "place",   "hold",   "stragglers"};
constexpr std::array<const char *, roundEndCount> endNames{"done", "budget", "starts"};

void exportWork(metrics_registry &metrics, const round_work &work)
{
    for (const named_count &one : workCounts) {
        metrics.at(std::string("mango_round_work_total{what=\"") + one.name + "\"}") +=
                work.*one.count;
    }
    for (std::size_t part = 0; part < partNames.size(); ++part) {
        const auto spent = std::chrono::duration_cast<std::chrono::microseconds>(work.spent[part]);
        metrics.at(std::string("mango_round_part_microseconds_total{part=\"") + partNames[part]
                   + "\"}") += static_cast<std::uint64_t>(spent.count());
    }
    for (std::size_t end = 0; end < roundEndCount; ++end) {
        metrics.at(std::string("mango_rounds_total{end=\"") + endNames[end] + "\"}") +=
                work.ends[end];
    }
}

// Logs what the rounds since the last line have done: times in milliseconds, counts as sums.
void logWork(const round_work &work)
{
    std::string counts;
    for (const named_count &one : workCounts) {
        counts += (counts.empty() ? "" : ",") + std::string(one.name) + ":"
                  + std::to_string(work.*one.count);
    }
    std::string spent;
    for (std::size_t part = 0; part < partNames.size(); ++part) {
        spent += (spent.empty() ? "" : ",") + std::string(partNames[part]) + ":"
                 + std::to_string(toMilliseconds(work.spent[part]));
    }
    std::string ends;
    for (std::size_t end = 0; end < roundEndCount; ++end) {
        ends += (ends.empty() ? "" : ",") + std::string(endNames[end]) + ":"
                + std::to_string(work.ends[end]);
    }
    logEvent(log_part::scheduler, "round-work",
             {{"spent_ms", spent},
              {"ended", ends},
              {"placed", work.tasksPlaced},
              {"most_steps_left", work.mostStepsLeft},
              {"counts", counts}});
}

// How the cores of the workers that take new work are used.
struct core_use
{
    std::uint64_t capacity = 0;
    std::uint64_t longRunning = 0;
    std::uint64_t shortTasks = 0;
    std::uint64_t bestEffort = 0;
    // The workers by their cores that no long-running task uses, and by those that neither such a
    // task nor a short one uses; each entry stands for `coresPerBucket` cores more.
    std::array<std::uint32_t, coreBuckets> besideLongRunning{};
    std::array<std::uint32_t, coreBuckets> unused{};
};

std::size_t bucketOf(std::int64_t milliCores)
{
    const std::int64_t bucket = std::max<std::int64_t>(0, milliCores) / (coresPerBucket * 1000);
    return std::min(coreBuckets - 1, static_cast<std::size_t>(bucket));
}

core_use sumUpCores(const round_offers &round)
{
    core_use use;
    for (const worker_offer &offer : round.offers) {
        if (offer.unavailable) {
            continue;
        }
        const std::int64_t capacity = offer.record->capacity.milliCores;
        use.capacity += static_cast<std::uint64_t>(capacity) / 1000;
        use.longRunning += offer.longRunningMilliCores / 1000;
        use.shortTasks += (offer.used.milliCores - offer.longRunningMilliCores) / 1000;
        use.bestEffort += offer.bestEffortMilliCores / 1000;
        ++use.besideLongRunning[bucketOf(capacity - offer.longRunningMilliCores)];
        ++use.unused[bucketOf(capacity - offer.used.milliCores)];
    }
    return use;
}

// Formats the number of workers by cores as CORES:COUNT.
std::string describeBuckets(const std::array<std::uint32_t, coreBuckets> &workers)
{
    std::string text;
    for (std::size_t at = 0; at < workers.size(); ++at) {
        if (workers[at] > 0) {
            text += (text.empty() ? "" : ",") + std::to_string(at * coresPerBucket) + ":"
                    + std::to_string(workers[at]);
        }
    }
    return text;
}

void logCoreUse(const round_offers &round)
{
    const core_use use = sumUpCores(round);
    logEvent(log_part::scheduler, "core-use",
             {{"capacity", use.capacity},
              {"long_running", use.longRunning},
              {"short", use.shortTasks},
              {"best_effort", use.bestEffort},
              {"workers_by_cores_beside_long_running", describeBuckets(use.besideLongRunning)},
              {"workers_by_unused_cores", describeBuckets(use.unused)}});
}

} // namespace

void recordUnplaced(dispatch_state &state, const round_offers &round,
                    const std::vector<worker_offer> &offers, const ready_step &ready,
                    const placement_request &request, std::size_t startedBefore)
{
    const steady_time now = state.context.clock.now();
    unplaced_wait &wait = waitOf(ready);
    if (!wait.since || now - *wait.since < reportedWait || now - wait.loggedAt < waitReportInterval
        || state.roundSummary.work.waitReports >= mostWaitReports) {
        return;
    }
    ++state.roundSummary.work.waitReports;
    wait.loggedAt = now;
    std::int64_t mostCores = 0;
    std::int64_t mostMemory = 0;
    for (const worker_offer &offer : offers) {
        if (offer.unavailable) {
            continue;
        }
        const resource_amounts &capacity = offer.record->capacity;
        mostCores = std::max(mostCores, request.step->bestEffort ? reclaimableMilliCores(offer)
                                                                 : std::int64_t(capacity.milliCores)
                                                                           - offer.used.milliCores);
        mostMemory = std::max(mostMemory, std::int64_t(capacity.memoryMb) - offer.used.memoryMb);
    }
    std::string obstacles;
    const auto workersByObstacle = countObstacles(offers, request);
    for (std::size_t at = 0; at < workersByObstacle.size(); ++at) {
        if (workersByObstacle[at] > 0) {
            obstacles += (obstacles.empty() ? "" : ",")
                         + std::string(toText(static_cast<placement_obstacle>(at))) + ":"
                         + std::to_string(workersByObstacle[at]);
        }
    }
    logEvent(log_part::scheduler, "task-waits",
             {{"step", formatJobId(ready.job) + "." + std::to_string(ready.occurrence) + "."
                               + std::to_string(ready.step)},
              {"kind", kindNames[kindOf(*request.step)]},
              {"restart", ready.urgency.isRestart ? "yes" : "no"},
              {"waiting", ready.tracked->waiting.size()},
              {"waited_ms", toMilliseconds(now - *wait.since)},
              {"milli_cores", request.step->resources.milliCores},
              {"memory_mb", request.step->resources.memoryMb},
              {"workers", workersExcluded(round, worker_exclusion::none)},
              {"obstacles", obstacles},
              {"most_free_milli_cores", mostCores},
              {"most_free_at_begin", mostFreeMilliCores(round)},
              {"most_free_memory_mb", mostMemory},
              {"started_before", startedBefore}});
}

void recordRound(dispatch_state &state, const round_offers &round, steady_time begin)
{
    const steady_time now = state.context.clock.now();
    round_summary &summary = state.roundSummary;
    ++summary.rounds;
    summary.total += now - begin;
    summary.longest = std::max(summary.longest, now - begin);
    summary.mostHeld = std::max(summary.mostHeld, round.held);
    state.context.metricsRegistry.histogram("mango_round_seconds").observe(now - begin);
    if (now - summary.since < summaryInterval) {
        return;
    }
    const auto waiting = countWaiting(state, now);
    const unsettled_runs unsettled = countUnsettled(state);
    exportSummary(state.context.metricsRegistry, round, waiting, unsettled, summary.mostHeld);
    logEvent(log_part::scheduler, "rounds",
             {{"rounds", summary.rounds},
              {"total_ms", toMilliseconds(summary.total)},
              {"longest_ms", toMilliseconds(summary.longest)},
              {"workers", workersExcluded(round, worker_exclusion::none)},
              {"draining", workersExcluded(round, worker_exclusion::draining)},
              {"silent", workersExcluded(round, worker_exclusion::silent)},
              {"refusing", workersExcluded(round, worker_exclusion::refusing)},
              {"on_trial", workersExcluded(round, worker_exclusion::onTrial)},
              {"unplaced_short", waiting[shortTask].count},
              {"unplaced_best_effort", waiting[bestEffortTask].count},
              {"unplaced_long_running", waiting[longRunningTask].count},
              {"held", summary.mostHeld},
              {"longest_wait_ms", toMilliseconds(waiting[longRunningTask].longest)},
              {"longest_restart_ms", toMilliseconds(waiting[longRunningTask].longestRestart)},
              {"ends_pending", unsettled.endPending},
              {"unconfirmed", unsettled.unconfirmed},
              {"stopping", unsettled.stopping}});
    exportWork(state.context.metricsRegistry, summary.work);
    exportCustomers(state);
    logWork(summary.work);
    logCoreUse(round);
    summary = {};
    summary.since = now;
}

} // namespace mango
