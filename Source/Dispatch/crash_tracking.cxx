#include "Dispatch/crash_tracking.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Common/event_log.h"
#include "Common/log.h"

namespace mango {

namespace asio = boost::asio;

namespace {

// A start request is answered within this time.
constexpr auto lateRequestAfter = std::chrono::milliseconds(250);
// For how long crashes at an address count as recent.
constexpr auto crashMemory = std::chrono::seconds(30);
// A worker that was not heard for longer is compared like one that has exited.
constexpr auto silenceLimit = std::chrono::milliseconds(1000);

run_at_crash knownOf(const tracked_run &run)
{
    run_at_crash known;
    known.survivedFor = survivalOf(run);
    // An earlier leader may have seen that the run had begun.
    if (!run.firstConfirmedAt && known.survivedFor < startSurvivedAfter) {
        known.confirmation = run.adopted ? run_confirmation::unknown : run_confirmation::unanswered;
    }
    return known;
}

// The times at which the other workers that have exited lately or are silent were last heard.
std::vector<steady_time> silencesOfOthers(dispatch_state &state, const tracked_worker &worker)
{
    const steady_time now = state.context.clock.now();
    auto &exited = state.exitedSilentSince;
    while (!exited.empty() && now - exited.front() > exitMemory) {
        exited.pop_front();
    }
    std::vector<steady_time> silences(exited.begin(), exited.end());
    for (const auto &[incarnation, other] : state.workers) {
        if (other.get() != &worker && !other->exited && now - other->heardAt > silenceLimit) {
            silences.push_back(other->heardAt);
        }
    }
    return silences;
}

void addRecentCrash(dispatch_state &state, const host_address &address)
{
    const steady_time now = state.context.clock.now();
    // An address may not be used again, so those of other workers are cleared as well.
    std::erase_if(state.crashesByAddress, [now](const auto &item) {
        return now - item.second.back() >= crashMemory;
    });
    std::deque<steady_time> &crashes = state.crashesByAddress[address];
    while (!crashes.empty() && now - crashes.front() >= crashMemory) {
        crashes.pop_front();
    }
    crashes.push_back(now);
}

void proposeExplanations(const dispatch_handle &state, explain_silences explained)
{
    if (!explained.explanations.empty()) {
        asio::co_spawn(state->context.executor, commitCommand(state, std::move(explained)),
                       asio::detached);
    }
}

// The time from which on start requests to the worker that got no answer had probably no effect.
steady_time lateRequestsSince(const tracked_worker &worker)
{
    steady_time first = steady_time::max() - lateRequestAfter;
    for (const auto &[key, run] : worker.runs) {
        if (run.phase != run_phase::planned && !run.endPending && !run.firstConfirmedAt
            && !run.adopted) {
            first = std::min(first, run.startSentAt);
        }
    }
    return first + lateRequestAfter;
}

// Weighs for all runs that were on the worker whether they may have caused its crash.
void weighRuns(const dispatch_handle &state, const tracked_worker_handle &worker)
{
    std::vector<tracked_run *> runs;
    std::vector<run_at_crash> known;
    const steady_time lateSince = lateRequestsSince(*worker);
    for (auto &[key, run] : worker->runs) {
        const bool requestedLate =
                !run.firstConfirmedAt && !run.adopted && run.startSentAt > lateSince;
        if (run.phase != run_phase::planned && !run.endPending && !requestedLate) {
            runs.push_back(&run);
            known.push_back(knownOf(run));
            known.back().record = recordOf(*state, key.task);
        }
    }
    for (const silenced_run &silenced : worker->silencedRuns) {
        known.push_back(silenced.known);
        known.back().record = recordOf(*state, silenced.key.task);
    }
    const double rate = ordinaryCrashRate({worker->heardAt, silencesOfOthers(*state, *worker),
                                           state->workers.size(),
                                           countRecentCrashes(*state, worker->record.address)});
    const std::vector<crash_evidence> weighed = weighCrash(known, rate);
    for (std::size_t at = 0; at < runs.size(); ++at) {
        runs[at]->crash = weighed[at];
    }
    explain_silences explained;
    for (std::size_t at = runs.size(); at < weighed.size(); ++at) {
        explained.explanations.push_back({worker->silencedRuns[at - runs.size()].key, weighed[at]});
    }
    worker->silencedRuns.clear();
    proposeExplanations(state, std::move(explained));
    for (const crash_evidence &evidence : weighed) {
        ++state->context.metricsRegistry.at("mango_crash_blames_total{blame=\"" + toText(evidence)
                                            + "\"}");
    }
}

} // namespace

crash_record recordOf(const dispatch_state &state, const task_key &key)
{
    const auto &jobs = state.context.machine.state().jobs;
    const auto job = jobs.find(key.job);
    const task_state *task = job == jobs.end() ? nullptr : findTask(job->second, key);
    return task == nullptr ? crash_record{} : task->crashRecord;
}

const char *toText(worker_exit_evidence evidence)
{
    switch (evidence) {
    case worker_exit_evidence::replacedAtAddress:
        return "replaced-at-address";
    case worker_exit_evidence::restarted:
        return "restarted";
    case worker_exit_evidence::deregistered:
        return "deregistered";
    case worker_exit_evidence::removed:
        return "removed";
    }
    return "unknown";
}

tracked_worker_handle findNewestIncarnation(const dispatch_state &state,
                                            const tracked_worker_handle &worker)
{
    const std::string &id = worker->record.incarnation.id;
    const auto after = state.workers.upper_bound({id, std::chrono::milliseconds::max()});
    if (after == state.workers.begin() || std::prev(after)->first.id != id) {
        return worker;
    }
    return std::prev(after)->second;
}

std::uint32_t countRecentCrashes(const dispatch_state &state, const host_address &address)
{
    const auto found = state.crashesByAddress.find(address);
    if (found == state.crashesByAddress.end()) {
        return 0;
    }
    const steady_time now = state.context.clock.now();
    return static_cast<std::uint32_t>(
            std::count_if(found->second.begin(), found->second.end(), [now](steady_time at) {
                return now - at < crashMemory;
            }));
}

void recordWorkerReplaced(const dispatch_handle &state, const tracked_worker_handle &worker,
                          worker_exit_evidence evidence)
{
    if (std::exchange(worker->exitRecorded, true)) {
        return;
    }
    const bool drained = worker->record.draining;
    if (drained) {
        recordWorkerHeardAgain(state, worker);
    } else {
        weighRuns(state, worker);
        state->exitedSilentSince.push_back(worker->heardAt);
        addRecentCrash(*state, worker->record.address);
    }
    const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(
            state->context.clock.now() - worker->heardAt);
    ++state->context.metricsRegistry.at(std::string("mango_worker_exits_total{evidence=\"")
                                        + toText(evidence) + "\",draining=\""
                                        + (drained ? "yes" : "no") + "\"}");
    logEvent(log_part::scheduler, "worker-gone",
             {{"worker", worker->record.incarnation.id},
              {"evidence", toText(evidence)},
              {"draining", drained ? "yes" : "no"},
              {"silent_ms", silence.count()},
              {"runs", worker->runs.size()}});
}

void recordWorkerExit(const dispatch_handle &state, const tracked_worker_handle &worker,
                      worker_exit_evidence evidence)
{
    if (worker->exited) {
        return;
    }
    recordWorkerReplaced(state, worker, evidence);
    worker->exited = true;
    markOfferChanged(*state, worker);
    settleRunsOfFormerWorker(*state, worker);
    worker->wake.notifyAll();
}

void recordWorkerRestart(const dispatch_handle &state, const tracked_worker_handle &worker)
{
    recordWorkerReplaced(state, worker, worker_exit_evidence::restarted);
    worker->current = false;
    markOfferChanged(*state, worker);
    worker->wake.notifyAll();
}

void settleRunsOfFormerWorker(dispatch_state &state, const tracked_worker_handle &worker)
{
    const tracked_worker_handle newest = findNewestIncarnation(state, worker);
    const bool replacedByKnown = newest != worker && newest->hasReportedAll;
    if (!worker->reportCallsInFlight.empty() || (!worker->exited && !replacedByKnown)) {
        return;
    }
    for (auto &[key, run] : worker->runs) {
        if (run.phase != run_phase::planned) {
            queueRunEnd(state, worker, run, run_outcome::lost, run.checkpoint);
        }
    }
}

void settleRunsOfEarlierIncarnations(dispatch_state &state, const tracked_worker_handle &newest)
{
    const worker_incarnation &incarnation = newest->record.incarnation;
    const auto end = state.workers.lower_bound(incarnation);
    for (auto at = state.workers.lower_bound({incarnation.id, std::chrono::milliseconds::min()});
         at != end; ++at) {
        settleRunsOfFormerWorker(state, at->second);
    }
}

void endRunsOfSilentWorker(dispatch_state &state, const tracked_worker_handle &worker)
{
    for (auto &[key, run] : worker->runs) {
        if (run.phase != run_phase::planned && !run.endPending && worker->exitRecorded) {
            queueRunEnd(state, worker, run, run_outcome::lost, run.checkpoint);
        } else if (run.phase != run_phase::planned && !run.endPending) {
            worker->silencedRuns.push_back({key, knownOf(run)});
            queueRunEnd(state, worker, run, run_outcome::workerSilent, run.checkpoint);
        }
    }
}

void recordWorkerHeardAgain(const dispatch_handle &state, const tracked_worker_handle &worker)
{
    explain_silences explained;
    for (const silenced_run &silenced : worker->silencedRuns) {
        explained.explanations.push_back({silenced.key, std::nullopt});
    }
    worker->silencedRuns.clear();
    proposeExplanations(state, std::move(explained));
}

void adoptUnexplainedRuns(dispatch_state &state, const task_key &key, const task_state &task)
{
    for (const active_run &run : task.unexplained) {
        if (const tracked_worker_handle worker = findWorker(state, run.worker)) {
            worker->silencedRuns.push_back(
                    {{key, run.run},
                     {std::chrono::milliseconds(0), run_confirmation::unknown, {}}});
        }
    }
}

} // namespace mango
