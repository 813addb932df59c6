#include "State/cluster_state.h"

#include <algorithm>

#include "Wire/codec.h"

namespace mango {

namespace {

constexpr std::size_t maximumIdempotencyRecords = 5000;
constexpr std::size_t maximumClaims = 100'000;
constexpr std::uint32_t maximumTaskFailures = 5;
constexpr std::uint32_t maximumWorkerRestarts = 4;
// A run that has made this much progress when its worker restarts was hardly the cause.
constexpr std::uint64_t harmlessProgressMs = 300'000;

const idempotency_record *findRecord(const cluster_state &state, const std::string &changeId)
{
    const auto found =
            std::find_if(state.idempotencyRecords.rbegin(), state.idempotencyRecords.rend(),
                         [&](const idempotency_record &record) {
                             return record.changeId == changeId;
                         });
    return found == state.idempotencyRecords.rend() ? nullptr : &*found;
}

// Applies an operator's change at most once. A repeated change id yields the recorded result, and
// is refused if it comes with another change.
template<class Change>
command_result applyOnce(cluster_state &state, const std::string &changeId,
                         const std::string &fingerprint, Change change)
{
    const idempotency_record *previous = changeId.empty() ? nullptr : findRecord(state, changeId);
    if (previous != nullptr && previous->fingerprint != fingerprint) {
        return change_refused{command_refusal_reason::keyReused, state.configVersion,
                              "the change id was used for another change"};
    }
    if (previous != nullptr) {
        return previous->outcome;
    }
    command_result outcome = change();
    if (!changeId.empty()) {
        state.idempotencyRecords.push_back({changeId, fingerprint, outcome});
        if (state.idempotencyRecords.size() > maximumIdempotencyRecords) {
            state.idempotencyRecords.pop_front();
        }
    }
    return outcome;
}

result<done, settings_failure> parseInto(cluster_state &state, table_kind table,
                                         const std::string &text)
{
    if (table == table_kind::routes) {
        auto parsed = parseRoutes(text);
        if (failed(parsed)) {
            return failureOf(parsed);
        }
        state.parsedRoutes = std::move(valueOf(parsed));
        return done{};
    }
    auto parsed = parsePools(text);
    if (failed(parsed)) {
        return failureOf(parsed);
    }
    state.parsedPools = std::move(valueOf(parsed));
    return done{};
}

command_result applyChange(cluster_state &state, const put_table_command &change)
{
    const std::string fingerprint = std::to_string(static_cast<int>(change.table)) + "\n"
                                    + std::to_string(change.expectedVersion) + "\n" + change.text;
    return applyOnce(state, change.changeId, fingerprint, [&]() -> command_result {
        table_record &record = state.tables[change.table];
        if (record.version != change.expectedVersion) {
            return change_refused{command_refusal_reason::versionConflict, record.version, ""};
        }
        const auto parsed = parseInto(state, change.table, change.text);
        if (failed(parsed)) {
            return change_refused{command_refusal_reason::invalidTable, record.version,
                                  describe(failureOf(parsed))};
        }
        ++state.configVersion;
        ++record.version;
        record.text = change.text;
        if (change.table == table_kind::routes) {
            recordRoutes(state.routesSince, state.parsedRoutes, state.configVersion);
        }
        return change_accepted{record.version};
    });
}

command_result applyChange(cluster_state &state, const set_domain_command &change)
{
    const std::string fingerprint = change.domain + (change.inService ? " in " : " out ")
                                    + std::to_string(change.expectedVersion);
    return applyOnce(state, change.changeId, fingerprint, [&]() -> command_result {
        const auto found = state.domains.find(change.domain);
        const std::uint64_t version = found == state.domains.end() ? 0 : found->second.version;
        if (version != change.expectedVersion) {
            return change_refused{command_refusal_reason::versionConflict, version, ""};
        }
        ++state.configVersion;
        state.domains[change.domain] = {version + 1, change.inService};
        return change_accepted{version + 1};
    });
}

bool hasLostRoute(const cluster_state &state, const std::optional<routed_request> &request)
{
    return request && !hasStayedRouted(state.routesSince, *request);
}

change_refused routeRemoved(const cluster_state &state)
{
    return {command_refusal_reason::routeRemoved, state.configVersion,
            "the route was removed while the request waited"};
}

command_result applyChange(cluster_state &state, const submit_job_command &change)
{
    if (!change.key.empty()) {
        const auto existing = state.jobsByKey.find(change.key);
        if (existing != state.jobsByKey.end()) {
            return change_accepted{existing->second};
        }
    }
    if (hasLostRoute(state, change.request)) {
        return routeRemoved(state);
    }
    if (change.spec.taskCount == 0) {
        return change_refused{command_refusal_reason::invalidJob, 0, "a job needs a task"};
    }
    const std::uint64_t job = state.nextJob++;
    job_record record;
    record.spec = change.spec;
    record.key = change.key;
    record.submittedMs = change.wallTimeMs;
    state.jobs.emplace(job, std::move(record));
    for (std::uint32_t number = 0; number < change.spec.taskCount; ++number) {
        state.tasks.emplace(task_id{job, number}, task_record{});
        state.unfinishedTasks.insert({job, number});
    }
    if (!change.key.empty()) {
        state.jobsByKey[change.key] = job;
    }
    return change_accepted{job};
}

// Moves a task to a final phase and updates the counts of its job.
void endTask(cluster_state &state, const task_id &id, task_phase phase, std::uint64_t wallTimeMs)
{
    task_record &task = state.tasks[id];
    task.phase = phase;
    state.unfinishedTasks.erase(id);
    job_record &job = state.jobs[id.job];
    job.finishedTasks += phase == task_phase::finished ? 1 : 0;
    job.failedTasks += phase == task_phase::failed ? 1 : 0;
    job.cancelledTasks += phase == task_phase::cancelled ? 1 : 0;
    if (job.finishedTasks + job.failedTasks + job.cancelledTasks == job.spec.taskCount) {
        job.endedMs = wallTimeMs;
    }
}

command_result applyChange(cluster_state &state, const cancel_job_command &change)
{
    const auto found = state.jobs.find(change.job);
    if (found == state.jobs.end()) {
        return change_refused{command_refusal_reason::unknownJob, 0, ""};
    }
    found->second.cancelled = true;
    // A placed task still runs; it is cancelled when the report of the end of its run is applied.
    for (std::uint32_t number = 0; number < found->second.spec.taskCount; ++number) {
        const task_id id{change.job, number};
        if (state.tasks[id].phase == task_phase::pending) {
            endTask(state, id, task_phase::cancelled, change.wallTimeMs);
        }
    }
    return change_accepted{change.job};
}

command_result applyChange(cluster_state &state, const place_tasks_command &change)
{
    std::uint64_t placed = 0;
    for (const task_placement &placement : change.placements) {
        const auto found = state.tasks.find(placement.task);
        if (found == state.tasks.end() || found->second.phase != task_phase::pending
            || placement.epoch != found->second.epoch + 1) {
            continue;
        }
        found->second.phase = task_phase::placed;
        found->second.epoch = placement.epoch;
        found->second.worker = placement.worker;
        found->second.workerIncarnation = placement.workerIncarnation;
        ++placed;
    }
    return change_accepted{placed};
}

void recordCheckpoint(task_record &task, const task_report &report)
{
    if (report.checkpoint.empty() || report.checkpoint == task.checkpoint) {
        return;
    }
    task.previousCheckpoint = task.checkpoint;
    task.checkpoint = report.checkpoint;
    task.progressMs = report.progressMs;
}

// Returns a task whose run has ended to the queue, or ends it if its job has been cancelled.
void requeueTask(cluster_state &state, const task_id &id, std::uint64_t wallTimeMs)
{
    task_record &task = state.tasks[id];
    task.phase = task_phase::pending;
    task.worker.clear();
    task.workerIncarnation.clear();
    if (state.jobs[id.job].cancelled) {
        endTask(state, id, task_phase::cancelled, wallTimeMs);
    }
}

// A task that ends the processes of its workers is not started for ever, at whatever time after its
// start it does so. A long run makes up for one restart.
void recordWorkerRestart(cluster_state &state, const task_report &report, std::uint64_t wallTimeMs)
{
    task_record &task = state.tasks[report.task];
    task.lostMs += report.lostMs;
    const std::uint64_t progressMs = task.progressMs + report.lostMs;
    if (progressMs - std::min(progressMs, task.resumedFromMs) >= harmlessProgressMs) {
        task.workerRestarts -= std::min(task.workerRestarts, 1U);
    } else {
        ++task.workerRestarts;
    }
    task.resumedFromMs = task.progressMs;
    if (task.workerRestarts < maximumWorkerRestarts) {
        requeueTask(state, report.task, wallTimeMs);
        return;
    }
    task.outcome = "workers restarted under the task";
    endTask(state, report.task, task_phase::failed, wallTimeMs);
}

void applyReport(cluster_state &state, const task_report &report, std::uint64_t wallTimeMs)
{
    const auto found = state.tasks.find(report.task);
    if (found == state.tasks.end() || found->second.phase != task_phase::placed
        || found->second.epoch != report.epoch) {
        return;
    }
    task_record &task = found->second;
    switch (report.change) {
    case task_change::checkpointed:
        recordCheckpoint(task, report);
        break;
    case task_change::evicted:
        recordCheckpoint(task, report);
        ++task.evictions;
        task.lostMs += report.lostMs;
        requeueTask(state, report.task, wallTimeMs);
        break;
    case task_change::lost:
        task.lostMs += report.lostMs;
        requeueTask(state, report.task, wallTimeMs);
        break;
    case task_change::workerRestarted:
        recordWorkerRestart(state, report, wallTimeMs);
        break;
    case task_change::neverStarted:
        requeueTask(state, report.task, wallTimeMs);
        break;
    case task_change::finished:
        task.outcome = report.outcome;
        task.progressMs = report.progressMs;
        endTask(state, report.task, task_phase::finished, wallTimeMs);
        break;
    case task_change::failed:
        ++task.failures;
        task.outcome = report.outcome;
        if (report.outcome == "checkpoint missing") {
            task.checkpoint = task.previousCheckpoint;
            task.previousCheckpoint.clear();
        }
        if (task.failures >= maximumTaskFailures) {
            endTask(state, report.task, task_phase::failed, wallTimeMs);
        } else {
            requeueTask(state, report.task, wallTimeMs);
        }
        break;
    }
}

command_result applyChange(cluster_state &state, const report_tasks_command &change)
{
    for (const task_report &report : change.reports) {
        applyReport(state, report, change.wallTimeMs);
    }
    return change_accepted{change.reports.size()};
}

command_result applyChange(cluster_state &state, const claim_command &change)
{
    const auto found = state.claims.find(change.key);
    if (found == state.claims.end() && hasLostRoute(state, change.request)) {
        return routeRemoved(state);
    }
    if (found == state.claims.end()) {
        state.claims[change.key] = {change.fingerprint,
                                    change.attempt,
                                    change.worker,
                                    change.workerIncarnation,
                                    change.wallTimeMs,
                                    false,
                                    {}};
        state.claimsByAge.emplace_back(change.wallTimeMs, change.key);
        return change_accepted{1};
    }
    claim_record &claim = found->second;
    if (claim.fingerprint != change.fingerprint) {
        return change_refused{command_refusal_reason::keyReused, 0,
                              "the key was used for another request"};
    }
    if (claim.completed) {
        return already_answered{claim.response};
    }
    if (claim.attempt == change.attempt) {
        claim.worker = change.worker;
        claim.workerIncarnation = change.workerIncarnation;
        return change_accepted{1};
    }
    return claim_conflict{claim.attempt, claim.worker, claim.workerIncarnation};
}

command_result applyChange(cluster_state &state, const complete_claim_command &change)
{
    const auto found = state.claims.find(change.key);
    if (found == state.claims.end() || found->second.attempt != change.attempt) {
        return change_refused{command_refusal_reason::noLongerClaimed, 0, ""};
    }
    found->second.completed = true;
    found->second.response = change.response;
    return change_accepted{1};
}

command_result applyChange(cluster_state &state, const release_claim_command &change)
{
    const auto found = state.claims.find(change.key);
    if (found == state.claims.end() || found->second.attempt != change.attempt
        || found->second.completed) {
        return change_refused{command_refusal_reason::noLongerClaimed, 0, ""};
    }
    state.claims.erase(found);
    return change_accepted{1};
}

void removeOldestClaim(cluster_state &state)
{
    const auto [claimedMs, key] = state.claimsByAge.front();
    state.claimsByAge.pop_front();
    const auto found = state.claims.find(key);
    // A key that was released and claimed again also has a newer entry in claimsByAge, which must
    // not expire together with this one.
    if (found != state.claims.end() && found->second.claimedMs == claimedMs) {
        state.claims.erase(found);
    }
}

void removeJob(cluster_state &state, std::map<std::uint64_t, job_record>::iterator job)
{
    for (std::uint32_t number = 0; number < job->second.spec.taskCount; ++number) {
        state.tasks.erase({job->first, number});
    }
    state.jobsByKey.erase(job->second.key);
    state.jobs.erase(job);
}

command_result applyChange(cluster_state &state, const expire_command &change)
{
    while (!state.claimsByAge.empty()
           && (state.claimsByAge.front().first + change.claimRetentionMs < change.wallTimeMs
               || state.claims.size() > maximumClaims)) {
        removeOldestClaim(state);
    }
    for (auto job = state.jobs.begin(); job != state.jobs.end();) {
        const auto current = job++;
        const std::uint64_t ended = current->second.endedMs;
        if (ended != 0 && ended + change.jobRetentionMs < change.wallTimeMs) {
            removeJob(state, current);
        }
    }
    return change_accepted{0};
}

} // namespace

std::string toText(const task_id &id)
{
    return std::to_string(id.job) + "/" + std::to_string(id.number);
}

task_id parseTaskId(const std::string &text)
{
    const auto slash = text.find('/');
    if (slash == std::string::npos) {
        return {};
    }
    const auto job = parseCount(text.substr(0, slash));
    const auto number = parseCount(text.substr(slash + 1));
    if (failed(job) || failed(number)) {
        return {};
    }
    return {valueOf(job), static_cast<std::uint32_t>(valueOf(number))};
}

command_result apply(cluster_state &state, const command &change)
{
    return std::visit(
            [&](const auto &typed) {
                return applyChange(state, typed);
            },
            change);
}

void rebuildIndexes(cluster_state &state)
{
    state.parsedRoutes.clear();
    state.parsedPools.clear();
    for (const auto &[kind, record] : state.tables) {
        parseInto(state, kind, record.text);
    }
    state.jobsByKey.clear();
    for (const auto &[id, job] : state.jobs) {
        if (!job.key.empty()) {
            state.jobsByKey[job.key] = id;
        }
    }
    state.claimsByAge.clear();
    for (const auto &[key, claim] : state.claims) {
        state.claimsByAge.emplace_back(claim.claimedMs, key);
    }
    std::sort(state.claimsByAge.begin(), state.claimsByAge.end());
    state.unfinishedTasks.clear();
    for (const auto &[id, task] : state.tasks) {
        if (task.phase == task_phase::pending || task.phase == task_phase::placed) {
            state.unfinishedTasks.insert(id);
        }
    }
}

std::string encodeState(const cluster_state &state)
{
    return encode(state);
}

bool decodeState(const std::string &bytes, cluster_state &state)
{
    if (!decode(bytes, state)) {
        return false;
    }
    rebuildIndexes(state);
    return true;
}

std::string encodeCommand(const command &change)
{
    return encode(change);
}

bool decodeCommand(const std::string &bytes, command &change)
{
    return decode(bytes, change);
}

} // namespace mango
