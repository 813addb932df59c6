#include "StandInWorker/task_runs.h"

#include <algorithm>

#include <boost/json.hpp>

namespace mango::stand_in {

namespace {

// A running task counts as changed that often, so that its usage is reported late but regularly.
constexpr double usageReportMs = 10'000;

std::string checkpointPath(const task_behaviour &behaviour, const std::string &name)
{
    std::string plain = name;
    std::replace(plain.begin(), plain.end(), '/', '_');
    return behaviour.checkpointFolder + "/" + plain;
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
    , m_advancedTo(clock.now())
{}

std::chrono::system_clock::time_point task_runs::wallAt(steady_time at) const
{
    return m_clock.wallTime()
           - std::chrono::duration_cast<std::chrono::system_clock::duration>(m_clock.now() - at);
}

void task_runs::end(run &ended, run_state state, const std::string &outcome, steady_time at)
{
    ended.state = state;
    ended.outcome = outcome;
    ended.changed = ++m_changes;
    ++m_ended;
    m_events.write(m_worker, "task end", toText(ended.order.task), ended.order.epoch, wallAt(at));
}

bool task_runs::saveCheckpoint(run &saved)
{
    if (m_behaviour.checkpointFolder.empty()) {
        return false;
    }
    const std::string name = toText(saved.order.task) + "-" + std::to_string(saved.order.epoch)
                             + "-" + std::to_string(static_cast<std::uint64_t>(saved.progressMs));
    if (!m_behaviour.loseCheckpoints) {
        std::ofstream file(checkpointPath(m_behaviour, name));
        file << static_cast<std::uint64_t>(saved.progressMs);
    }
    saved.checkpoint = name;
    saved.checkpointMs = saved.progressMs;
    saved.changed = ++m_changes;
    return true;
}

void task_runs::advanceRun(run &one, double elapsedMs, steady_time now)
{
    const double before = one.progressMs;
    if (!one.stopping) {
        one.progressMs += elapsedMs * one.share;
    }
    const auto interval = static_cast<double>(m_behaviour.checkpointInterval.count());
    if (one.stopping && now >= one.stopAt) {
        end(one, run_state::stopped, "", now);
    } else if (one.progressMs >= static_cast<double>(one.order.runTimeMs) && !one.stopping) {
        one.progressMs = static_cast<double>(one.order.runTimeMs);
        end(one, run_state::finished, "done on " + m_worker, now);
    } else if (interval > 0 && one.progressMs - one.checkpointMs >= interval) {
        saveCheckpoint(one);
    }
    if (static_cast<std::uint64_t>(before / usageReportMs)
        != static_cast<std::uint64_t>(one.progressMs / usageReportMs)) {
        one.changed = ++m_changes;
    }
}

void task_runs::advance()
{
    const steady_time now = m_clock.now();
    const steady_time until = std::min(now, std::max(m_leaseEnd, m_advancedTo));
    const double elapsedMs =
            std::chrono::duration<double, std::milli>(until - m_advancedTo).count();
    for (auto &[id, one] : m_runs) {
        if (one.state != run_state::running) {
            continue;
        }
        advanceRun(one, elapsedMs, until);
        if (one.state == run_state::running && now >= m_leaseEnd) {
            one.lostMs = static_cast<std::uint64_t>(one.progressMs - one.checkpointMs);
            end(one, run_state::stopped, "lease ran out", until);
        }
    }
    m_advancedTo = now;
}

void task_runs::extendLease(steady_time end)
{
    m_leaseEnd = std::max(m_leaseEnd, end);
}

void task_runs::start(const run_request &order)
{
    const auto [place, added] = m_runs.try_emplace({order.task, order.epoch});
    if (!added) {
        return;
    }
    run &one = place->second;
    one.order = order;
    one.changed = ++m_changes;
    if (!order.checkpoint.empty()) {
        std::ifstream file(checkpointPath(m_behaviour, order.checkpoint));
        std::uint64_t saved = 0;
        if (!(file >> saved)) {
            one.state = run_state::failed;
            one.outcome = "checkpoint missing";
            return;
        }
        one.progressMs = static_cast<double>(saved);
        one.checkpointMs = one.progressMs;
        one.checkpoint = order.checkpoint;
    }
    m_events.write(m_worker, order.checkpoint.empty() ? "task start" : "task resume",
                   toText(order.task), order.epoch, m_clock.wallTime());
    if (m_behaviour.failTasks) {
        end(one, run_state::failed, "this worker fails everything", m_clock.now());
    }
}

void task_runs::stop(const run_request &order)
{
    const auto [place, added] = m_runs.try_emplace({order.task, order.epoch});
    run &one = place->second;
    if (added) {
        // Bars a start of the same epoch that is still on its way.
        one.order = order;
        one.state = run_state::unknown;
        one.changed = ++m_changes;
        return;
    }
    if (one.state != run_state::running || one.stopping) {
        return;
    }
    one.stopping = true;
    one.stopAt = m_clock.now();
    if (order.withCheckpoint && saveCheckpoint(one)) {
        one.stopAt += m_behaviour.checkpointTime;
    } else {
        one.lostMs = static_cast<std::uint64_t>(one.progressMs - one.checkpointMs);
    }
}

void task_runs::carryOut(const run_request &order)
{
    const auto found = m_runs.find({order.task, order.epoch});
    switch (order.kind) {
    case run_request_kind::start:
        start(order);
        break;
    case run_request_kind::stop:
        stop(order);
        break;
    case run_request_kind::throttle:
        if (found != m_runs.end() && found->second.share != order.share) {
            found->second.share = order.share;
            found->second.changed = ++m_changes;
        }
        break;
    case run_request_kind::forget:
        if (found != m_runs.end() && found->second.state != run_state::running) {
            m_runs.erase(found);
        }
        break;
    }
}

void task_runs::dropAll()
{
    for (auto &[id, one] : m_runs) {
        if (one.state == run_state::running) {
            end(one, run_state::failed, "the worker stopped", m_clock.now());
        }
    }
    m_runs.clear();
}

std::vector<run_status> task_runs::statuses(std::uint64_t after) const
{
    std::vector<run_status> list;
    for (const auto &[id, one] : m_runs) {
        if (one.state == run_state::running && one.changed <= after) {
            continue;
        }
        run_status status;
        status.task = id.first;
        status.epoch = id.second;
        status.state = one.state;
        status.checkpoint = one.checkpoint;
        status.progressMs = static_cast<std::uint64_t>(
                one.state == run_state::stopped ? one.checkpointMs : one.progressMs);
        status.lostMs = one.lostMs;
        status.share = one.share;
        status.outcome = one.outcome;
        status.cores = one.order.size.cores * m_behaviour.coresRatio;
        status.memoryBytes = one.order.size.memoryBytes;
        list.push_back(std::move(status));
    }
    return list;
}

std::uint32_t task_runs::slotsInUse() const
{
    std::uint32_t sum = 0;
    for (const auto &[id, one] : m_runs) {
        sum += one.state == run_state::running ? one.order.size.slots : 0;
    }
    return sum;
}

double task_runs::coresInUse() const
{
    double sum = 0;
    for (const auto &[id, one] : m_runs) {
        sum += one.state == run_state::running ? one.order.size.cores : 0;
    }
    return sum;
}

std::uint64_t task_runs::memoryInUse() const
{
    std::uint64_t sum = 0;
    for (const auto &[id, one] : m_runs) {
        sum += one.state == run_state::running ? one.order.size.memoryBytes : 0;
    }
    return sum;
}

double task_runs::noiseCores() const
{
    double sum = 0;
    for (const auto &[id, one] : m_runs) {
        const bool runs = one.state == run_state::running && !one.stopping;
        sum += runs ? one.order.size.cores * one.share : 0;
    }
    return sum;
}

} // namespace mango::stand_in
