#include "Fakes/fake_workers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mango::test {

namespace asio = boost::asio;

namespace {

constexpr auto callDuration = std::chrono::milliseconds(1);
constexpr auto responseTimeout = std::chrono::milliseconds(1000);
constexpr auto checkInterval = std::chrono::milliseconds(10);
// A longer lease is shortened to this.
constexpr auto maximumLease = std::chrono::milliseconds(5000);

} // namespace

fake_workers::fake_workers(asio::any_io_executor executor, clock_source &clock)
    : m_executor(std::move(executor))
    , m_clock(clock)
{}

fake_worker &fake_workers::add(const std::string &id, std::uint32_t milliCores)
{
    const auto known = m_workers.find(id);
    const std::uint16_t port =
            known == m_workers.end() ? m_nextPort++ : known->second.record.address.port;
    fake_worker worker;
    worker.record.incarnation = {id, std::chrono::milliseconds(m_nextBorn++)};
    worker.record.address = {"10.1.0.1", port};
    worker.record.failureDomain = "a";
    worker.record.service = "desk";
    worker.record.capacity = {milliCores, 64'000, 0};
    worker.startedAt = m_clock.now();
    forgetDoneOn(id);
    return m_workers[id] = std::move(worker);
}

void fake_workers::forgetDoneOn(const std::string &worker)
{
    std::erase_if(m_doneOn, [&worker](const auto &item) {
        return item.second == worker;
    });
}

worker_time fake_workers::clockOf(const fake_worker &worker) const
{
    return std::chrono::duration_cast<worker_time>(m_clock.now() - worker.startedAt);
}

void fake_workers::endRun(fake_worker &worker, const run_key &key, run_outcome outcome)
{
    const auto found = worker.running.find(key);
    if (found == worker.running.end()) {
        return;
    }
    worker.ended.push_back({++worker.lastEnd, key, outcome, found->second.checkpoint});
    if (outcome == run_outcome::done) {
        m_doneOn[key.task] = worker.record.incarnation.id;
    }
    worker.blockedRuns[key.task] = std::max(worker.blockedRuns[key.task], key.run);
    worker.running.erase(found);
}

void fake_workers::leave(const std::string &id)
{
    fake_worker &worker = m_workers.at(id);
    worker.running.clear();
    worker.ended.clear();
    worker.hasEnded = true;
    forgetDoneOn(id);
}

void fake_workers::crash(const std::string &id)
{
    crash(m_workers.at(id));
}

void fake_workers::crash(fake_worker &worker)
{
    recorded_crash &recorded =
            crashes.emplace_back(recorded_crash{worker.record.incarnation.id, {}, m_clock.now()});
    for (const auto &[key, run] : worker.running) {
        recorded.runs.push_back(key);
    }
    worker.running.clear();
    worker.ended.clear();
    for (const run_key &lost : recorded.runs) {
        if (gangs.contains(lost.task.job)) {
            abortGang(lost);
        }
    }
    worker.crashesAt.reset();
    worker.unreachable = true;
    worker.replacedAt = m_clock.now() + downTime;
    forgetDoneOn(worker.record.incarnation.id);
}

std::uint32_t fake_workers::usedMilliCores(const fake_worker &worker) const
{
    std::uint32_t used = 0;
    for (const auto &[key, run] : worker.running) {
        used += milliCoresOf(key);
    }
    return used;
}

void fake_workers::recordOverload(const fake_worker &worker, const run_key &started)
{
    const std::uint32_t used = usedMilliCores(worker);
    if (used > worker.record.capacity.milliCores) {
        overloads.push_back(toText(started) + " on " + worker.record.incarnation.id + ": "
                            + std::to_string(used));
    }
}

void fake_workers::abortGang(const run_key &lost)
{
    for (auto &[id, worker] : m_workers) {
        std::vector<run_key> others;
        for (const auto &[key, run] : worker.running) {
            if (key.task.job == lost.task.job && key.task.step == lost.task.step
                && key.run == lost.run) {
                others.push_back(key);
            }
        }
        for (const run_key &key : others) {
            endRun(worker, key, run_outcome::gangAborted);
        }
    }
}

void fake_workers::replaceCrashedWorkers()
{
    std::vector<std::string> due;
    for (const auto &[id, worker] : m_workers) {
        if (worker.replacedAt && *worker.replacedAt <= m_clock.now()) {
            due.push_back(id);
        }
    }
    for (const std::string &id : due) {
        const worker_record crashed = m_workers.at(id).record;
        m_workers.erase(id);
        const std::string replacement = id + "+";
        worker_record &record = add(replacement, crashed.capacity.milliCores).record;
        const worker_incarnation incarnation = record.incarnation;
        record = crashed;
        record.incarnation = incarnation;
        m_replacements.push_back(replacement);
    }
}

void fake_workers::finishDueRuns(fake_worker &worker)
{
    if (worker.crashesAt && *worker.crashesAt <= m_clock.now()) {
        crash(worker);
    }
    std::vector<std::pair<run_key, run_outcome>> over;
    const bool leaseExpired = clockOf(worker) > worker.leasedUntil;
    if (leaseExpired) {
        forgetDoneOn(worker.record.incarnation.id);
    }
    for (const auto &[key, run] : worker.running) {
        if (leaseExpired) {
            over.emplace_back(key, run_outcome::leaseExpired);
        } else if (run.stopsAt && *run.stopsAt <= m_clock.now()) {
            over.emplace_back(key, run_outcome::stopped);
        } else if (!worker.hangs && m_clock.now() - run.startedAt >= run.duration) {
            over.emplace_back(key, worker.failsEveryRun ? run_outcome::failed : run_outcome::done);
        }
    }
    for (const auto &[key, outcome] : over) {
        endRun(worker, key, outcome);
    }
}

void fake_workers::finishDueRuns()
{
    for (auto &[id, worker] : m_workers) {
        finishDueRuns(worker);
    }
    replaceCrashedWorkers();
}

std::variant<fake_worker *, worker_response>
fake_workers::findTarget(const worker_call_target &target, bool reportsOnly)
{
    for (auto &[id, worker] : m_workers) {
        if (worker.record.address != target.address) {
            continue;
        }
        if (worker.hasEnded) {
            return worker_response{worker_call_result::neverSent, std::nullopt, false, true};
        }
        if (worker.record.incarnation.id != target.incarnation.id) {
            return worker_response{worker_call_result::wrongIncarnation, clockOf(worker)};
        }
        if (worker.record.incarnation != target.incarnation && !reportsOnly) {
            return worker_response{worker_call_result::neverSent, std::nullopt};
        }
        finishDueRuns(worker);
        if (target.fencingToken < worker.fencingToken) {
            return worker_response{worker_call_result::staleFencingToken, clockOf(worker)};
        }
        worker.fencingToken = target.fencingToken;
        return &worker;
    }
    return worker_response{worker_call_result::neverSent, std::nullopt};
}

worker_response fake_workers::executeStart(fake_worker &worker, const start_run_request &request,
                                           std::uint64_t fencingToken)
{
    finishDueRuns(worker);
    const worker_time clock = clockOf(worker);
    if (fencingToken < worker.fencingToken) {
        return {worker_call_result::staleFencingToken, clock};
    }
    if (clock > request.deadline) {
        return {worker_call_result::deadlineExceeded, clock};
    }
    worker.leasedUntil =
            std::max(worker.leasedUntil, std::min(request.deadline, clock + maximumLease));
    if (worker.running.contains(request.key)) {
        return {worker_call_result::done, clock};
    }
    const auto blockedRuns = worker.blockedRuns.find(request.key.task);
    if (blockedRuns != worker.blockedRuns.end() && blockedRuns->second >= request.key.run) {
        return {worker_call_result::staleRun, clock};
    }
    if (worker.roomMilliCores && !worker.running.contains(request.key)
        && usedMilliCores(worker) + milliCoresOf(request.key) > *worker.roomMilliCores) {
        roomRefusals.push_back({worker.record.incarnation.id, request.key, m_clock.now(),
                                request.specification, request.checkpoint});
        return {worker_call_result::insufficientResources, clock};
    }
    for (auto &[id, other] : m_workers) {
        finishDueRuns(other);
        for (const auto &[key, run] : other.running) {
            if (key.task == request.key.task && key.run != request.key.run) {
                duplicateRuns.push_back(toText(request.key) + " beside " + toText(key));
            }
        }
    }
    if (const auto done = m_doneForGood.find(request.key.task); done != m_doneForGood.end()) {
        repeatedRuns.push_back(toText(request.key) + " was done and acknowledged on "
                               + done->second);
    } else if (const auto done = m_doneOn.find(request.key.task); done != m_doneOn.end()) {
        repeatedRuns.push_back(toText(request.key) + " was done on " + done->second);
    }
    std::chrono::milliseconds duration = durationOf ? durationOf(request.key) : runDuration;
    if (worker.failsEveryRun && worker.failsAfter) {
        duration = *worker.failsAfter;
    }
    duration = std::chrono::milliseconds(
            static_cast<std::int64_t>(static_cast<double>(duration.count()) * worker.slowness));
    worker.running[request.key] = {request.checkpoint, m_clock.now(), duration, std::nullopt};
    starts.push_back({worker.record.incarnation.id, request.key, m_clock.now(),
                      request.specification, request.checkpoint});
    if (milliCoresOf) {
        recordOverload(worker, request.key);
    }
    if (crashesWorker && crashesWorker(request.key.task) && !worker.crashesAt) {
        worker.crashesAt = m_clock.now() + crashDelay;
    }
    return {worker_call_result::done, clock};
}

asio::awaitable<void> fake_workers::executeDelayedStart(std::string id, start_run_request request,
                                                        std::uint64_t fencingToken,
                                                        std::chrono::milliseconds delay)
{
    co_await m_clock.sleepFor(delay);
    const auto found = m_workers.find(id);
    if (found != m_workers.end()) {
        executeStart(found->second, request, fencingToken);
    }
}

asio::awaitable<worker_response> fake_workers::start(worker_call_target target,
                                                     start_run_request request)
{
    co_await m_clock.sleepFor(callDuration);
    const auto reached = findTarget(target);
    if (const auto *refusal = std::get_if<worker_response>(&reached)) {
        co_return *refusal;
    }
    fake_worker &worker = *std::get<fake_worker *>(reached);
    if (worker.unreachable) {
        co_await m_clock.sleepFor(responseTimeout);
        co_return worker_response{worker_call_result::unanswered, std::nullopt};
    }
    if (worker.startDelay) {
        asio::co_spawn(m_executor,
                       executeDelayedStart(target.incarnation.id, request, target.fencingToken,
                                           *worker.startDelay),
                       asio::detached);
        co_await m_clock.sleepFor(responseTimeout);
        co_return worker_response{worker_call_result::unanswered, std::nullopt};
    }
    co_return executeStart(worker, request, target.fencingToken);
}

asio::awaitable<worker_response> fake_workers::stop(worker_call_target target, run_key key)
{
    co_await m_clock.sleepFor(callDuration);
    const auto reached = findTarget(target);
    if (const auto *refusal = std::get_if<worker_response>(&reached)) {
        co_return *refusal;
    }
    fake_worker &worker = *std::get<fake_worker *>(reached);
    if (worker.unreachable) {
        co_await m_clock.sleepFor(responseTimeout);
        co_return worker_response{worker_call_result::unanswered, std::nullopt};
    }
    worker.blockedRuns[key.task] = std::max(worker.blockedRuns[key.task], key.run);
    const auto running = worker.running.find(key);
    if (worker.stopDuration.count() > 0 && running != worker.running.end()) {
        running->second.stopsAt = m_clock.now() + worker.stopDuration;
    } else {
        endRun(worker, key, run_outcome::stopped);
    }
    co_return worker_response{worker_call_result::done, clockOf(worker)};
}

asio::awaitable<worker_response> fake_workers::throttle(worker_call_target target, run_key key,
                                                        std::uint32_t percent)
{
    co_await m_clock.sleepFor(callDuration);
    const auto reached = findTarget(target);
    if (const auto *refusal = std::get_if<worker_response>(&reached)) {
        co_return *refusal;
    }
    throttles[key] = percent;
    co_return worker_response{worker_call_result::done, clockOf(*std::get<fake_worker *>(reached))};
}

asio::awaitable<std::variant<worker_report, worker_response>>
fake_workers::renewLease(worker_call_target target, renew_lease_request request)
{
    co_await m_clock.sleepFor(callDuration);
    steady_time until = m_clock.now() + request.wait;
    while (true) {
        const auto reached = findTarget(target, true);
        if (const auto *refusal = std::get_if<worker_response>(&reached)) {
            co_return *refusal;
        }
        fake_worker &worker = *std::get<fake_worker *>(reached);
        if (worker.record.incarnation != target.incarnation) {
            // Another incarnation only reports.
            request = {};
            until = m_clock.now();
        }
        if (worker.unreachable) {
            co_await m_clock.sleepFor(responseTimeout + request.wait);
            co_return worker_response{worker_call_result::unanswered, std::nullopt};
        }
        worker.acknowledged =
                std::max(cursorsLast ? worker.acknowledged : 0, request.acknowledgedEnds);
        for (const reported_end &end : worker.ended) {
            if (end.number <= worker.acknowledged && end.outcome == run_outcome::done
                && m_doneOn.contains(end.key.task)) {
                m_doneForGood.insert_or_assign(end.key.task, worker.record.incarnation.id);
            }
        }
        std::erase_if(worker.ended, [&](const reported_end &end) {
            return end.number <= worker.acknowledged;
        });
        if (request.deadline) {
            worker.leasedUntil =
                    std::max(worker.leasedUntil,
                             std::min(*request.deadline, clockOf(worker) + maximumLease));
        }
        if (!worker.ended.empty() || m_clock.now() >= until) {
            worker_report report;
            report.clock = clockOf(worker);
            report.startTime = worker.record.incarnation.startTime;
            report.ended = worker.ended;
            for (const reported_end &end : worker.ended) {
                if (listedEndsStay && end.outcome == run_outcome::done
                    && m_doneOn.contains(end.key.task)) {
                    m_doneForGood.insert_or_assign(end.key.task, worker.record.incarnation.id);
                }
            }
            for (const auto &[key, run] : worker.running) {
                const auto worked =
                        worker.hangs ? 0 : (m_clock.now() - run.startedAt) * 100 / run.duration;
                const auto percent = std::min<std::int64_t>(100, worked);
                report.running.push_back({key, run.checkpoint, static_cast<std::uint32_t>(percent),
                                          reportedLoad ? reportedLoad(key) : 0});
            }
            co_return report;
        }
        co_await m_clock.sleepFor(checkInterval);
    }
}

} // namespace mango::test
