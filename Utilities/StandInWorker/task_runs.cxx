#include "StandInWorker/task_runs.h"

#include <algorithm>

#include <boost/json.hpp>

namespace mango::stand_in {

namespace {

// Progress after which a running task counts as changed, so that its resource usage is reported
// regularly without a status in every poll.
constexpr double usageReportIntervalMs = 10'000;

std::string checkpointPath(const task_behaviour &behaviour, const std::string &name)
{
    std::string fileName = name;
    std::replace(fileName.begin(), fileName.end(), '/', '_');
    return behaviour.checkpointFolder + "/" + fileName;
}

} // namespace

ledger::ledger(const std::string &path)
    : m_file(path, std::ios::app)
{}

void ledger::write(const std::string &worker, const std::string &event, const std::string &subject,
                   std::uint64_t number, std::chrono::system_clock::time_point at)
{
    const auto microseconds =
            std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch());
    m_file << boost::json::serialize(boost::json::object{{"at", microseconds.count()},
                                                         {"worker", worker},
                                                         {"event", event},
                                                         {"subject", subject},
                                                         {"number", number}})
           << "\n"
           << std::flush;
}

task_runs::task_runs(std::string worker, clock_source &clock, ledger &events,
                     task_behaviour &behaviour)
    : m_worker(std::move(worker))
    , m_clock(clock)
    , m_events(events)
    , m_behaviour(behaviour)
    , m_lastAdvance(clock.now())
{}

std::chrono::system_clock::time_point task_runs::wallTimeAt(steady_time at) const
{
    return m_clock.wallTime()
           - std::chrono::duration_cast<std::chrono::system_clock::duration>(m_clock.now() - at);
}

void task_runs::end(run &taskRun, run_state state, const std::string &outcome, steady_time at)
{
    taskRun.state = state;
    taskRun.outcome = outcome;
    taskRun.lastChange = ++m_lastChange;
    ++m_endedRuns;
    m_events.write(m_worker, "task end", toText(taskRun.request.task), taskRun.request.epoch,
                   wallTimeAt(at));
}

bool task_runs::saveCheckpoint(run &taskRun)
{
    if (m_behaviour.checkpointFolder.empty()) {
        return false;
    }
    const std::string name = toText(taskRun.request.task) + "-"
                             + std::to_string(taskRun.request.epoch) + "-"
                             + std::to_string(static_cast<std::uint64_t>(taskRun.progressMs));
    if (!m_behaviour.loseCheckpoints) {
        std::ofstream file(checkpointPath(m_behaviour, name));
        file << static_cast<std::uint64_t>(taskRun.progressMs);
    }
    taskRun.checkpoint = name;
    taskRun.checkpointMs = taskRun.progressMs;
    taskRun.lastChange = ++m_lastChange;
    return true;
}

void task_runs::advanceRun(run &taskRun, double elapsedMs, steady_time now)
{
    const double before = taskRun.progressMs;
    if (!taskRun.stopping) {
        taskRun.progressMs += elapsedMs * taskRun.share;
    }
    const auto interval = static_cast<double>(m_behaviour.checkpointInterval.count());
    if (taskRun.stopping && now >= taskRun.stopAt) {
        end(taskRun, run_state::stopped, "", now);
    } else if (taskRun.progressMs >= static_cast<double>(taskRun.request.runTimeMs)
               && !taskRun.stopping) {
        taskRun.progressMs = static_cast<double>(taskRun.request.runTimeMs);
        end(taskRun, run_state::finished, "done on " + m_worker, now);
    } else if (interval > 0 && taskRun.progressMs - taskRun.checkpointMs >= interval) {
        saveCheckpoint(taskRun);
    }
    if (static_cast<std::uint64_t>(before / usageReportIntervalMs)
        != static_cast<std::uint64_t>(taskRun.progressMs / usageReportIntervalMs)) {
        taskRun.lastChange = ++m_lastChange;
    }
}

void task_runs::advance()
{
    const steady_time now = m_clock.now();
    const steady_time until = std::min(now, std::max(m_leaseEnd, m_lastAdvance));
    const double elapsedMs =
            std::chrono::duration<double, std::milli>(until - m_lastAdvance).count();
    for (auto &[id, taskRun] : m_runs) {
        if (taskRun.state != run_state::running) {
            continue;
        }
        advanceRun(taskRun, elapsedMs, until);
        if (taskRun.state == run_state::running && now >= m_leaseEnd) {
            taskRun.lostMs = static_cast<std::uint64_t>(taskRun.progressMs - taskRun.checkpointMs);
            end(taskRun, run_state::stopped, "lease ran out", until);
        }
    }
    m_lastAdvance = now;
}

void task_runs::extendLease(steady_time end)
{
    m_leaseEnd = std::max(m_leaseEnd, end);
}

void task_runs::start(const run_request &request)
{
    const auto [position, inserted] = m_runs.try_emplace({request.task, request.epoch});
    if (!inserted) {
        return;
    }
    run &taskRun = position->second;
    taskRun.request = request;
    taskRun.lastChange = ++m_lastChange;
    if (!request.checkpoint.empty()) {
        std::ifstream file(checkpointPath(m_behaviour, request.checkpoint));
        std::uint64_t savedProgressMs = 0;
        if (!(file >> savedProgressMs)) {
            taskRun.state = run_state::failed;
            taskRun.outcome = "checkpoint missing";
            return;
        }
        taskRun.progressMs = static_cast<double>(savedProgressMs);
        taskRun.checkpointMs = taskRun.progressMs;
        taskRun.checkpoint = request.checkpoint;
    }
    m_events.write(m_worker, request.checkpoint.empty() ? "task start" : "task resume",
                   toText(request.task), request.epoch, m_clock.wallTime());
    if (m_behaviour.failTasks) {
        end(taskRun, run_state::failed, "this worker fails everything", m_clock.now());
    }
}

void task_runs::stop(const run_request &request)
{
    const auto [position, inserted] = m_runs.try_emplace({request.task, request.epoch});
    run &taskRun = position->second;
    if (inserted) {
        // Blocks a start request of the same epoch that arrives after this stop request.
        taskRun.request = request;
        taskRun.state = run_state::unknown;
        taskRun.lastChange = ++m_lastChange;
        return;
    }
    if (taskRun.state != run_state::running || taskRun.stopping) {
        return;
    }
    taskRun.stopping = true;
    taskRun.stopAt = m_clock.now();
    if (request.withCheckpoint && saveCheckpoint(taskRun)) {
        taskRun.stopAt += m_behaviour.checkpointTime;
    } else {
        taskRun.lostMs = static_cast<std::uint64_t>(taskRun.progressMs - taskRun.checkpointMs);
    }
}

void task_runs::execute(const run_request &request)
{
    const auto found = m_runs.find({request.task, request.epoch});
    switch (request.kind) {
    case run_request_kind::start:
        start(request);
        break;
    case run_request_kind::stop:
        stop(request);
        break;
    case run_request_kind::throttle:
        if (found != m_runs.end() && found->second.share != request.share) {
            found->second.share = request.share;
            found->second.lastChange = ++m_lastChange;
        }
        break;
    case run_request_kind::forget:
        if (found != m_runs.end() && found->second.state != run_state::running) {
            m_runs.erase(found);
        }
        break;
    }
}

void task_runs::failAll()
{
    for (auto &[id, taskRun] : m_runs) {
        if (taskRun.state == run_state::running) {
            end(taskRun, run_state::failed, "the worker stopped", m_clock.now());
        }
    }
    m_runs.clear();
}

std::vector<run_status> task_runs::statuses(std::uint64_t change) const
{
    std::vector<run_status> list;
    for (const auto &[id, taskRun] : m_runs) {
        if (taskRun.state == run_state::running && taskRun.lastChange <= change) {
            continue;
        }
        run_status status;
        status.task = id.first;
        status.epoch = id.second;
        status.state = taskRun.state;
        status.checkpoint = taskRun.checkpoint;
        status.progressMs = static_cast<std::uint64_t>(
                taskRun.state == run_state::stopped ? taskRun.checkpointMs : taskRun.progressMs);
        status.lostMs = taskRun.lostMs;
        status.share = taskRun.share;
        status.outcome = taskRun.outcome;
        status.cores = taskRun.request.size.cores * m_behaviour.coresRatio;
        status.memoryBytes = taskRun.request.size.memoryBytes;
        list.push_back(std::move(status));
    }
    return list;
}

std::uint32_t task_runs::slotsInUse() const
{
    std::uint32_t sum = 0;
    for (const auto &[id, taskRun] : m_runs) {
        sum += taskRun.state == run_state::running ? taskRun.request.size.slots : 0;
    }
    return sum;
}

double task_runs::coresInUse() const
{
    double sum = 0;
    for (const auto &[id, taskRun] : m_runs) {
        sum += taskRun.state == run_state::running ? taskRun.request.size.cores : 0;
    }
    return sum;
}

std::uint64_t task_runs::memoryInUse() const
{
    std::uint64_t sum = 0;
    for (const auto &[id, taskRun] : m_runs) {
        sum += taskRun.state == run_state::running ? taskRun.request.size.memoryBytes : 0;
    }
    return sum;
}

double task_runs::noiseCores() const
{
    double sum = 0;
    for (const auto &[id, taskRun] : m_runs) {
        const bool isRunning = taskRun.state == run_state::running && !taskRun.stopping;
        sum += isRunning ? taskRun.request.size.cores * taskRun.share : 0;
    }
    return sum;
}

} // namespace mango::stand_in
