#pragma once

#include <functional>
#include <map>
#include <set>

#include "Fleet/worker_client.h"

namespace mango::test {

// An in-memory worker with a lease, a fencing token and lists of runs and ends, as real
// workers have.
struct fake_worker
{
    worker_record record;
    steady_time startedAt{};
    std::uint64_t fencingToken = 0;
    worker_time leasedUntil{0};
    // One run in progress.
    struct run_state
    {
        std::string checkpoint;
        steady_time startedAt{};
        std::chrono::milliseconds duration{0};
        // When a requested stop ends it.
        std::optional<steady_time> stopsAt;
    };
    std::map<run_key, run_state> running;
    // By task: runs up to this number are refused.
    std::map<task_key, std::uint32_t> blockedRuns;
    std::vector<reported_end> ended;
    std::uint64_t lastEnd = 0;
    std::uint64_t acknowledged = 0;
    // Calls do not arrive and get no response.
    bool unreachable = false;
    // The process has ended, so that nothing listens at its address.
    bool hasEnded = false;
    // Start requests take effect after this delay and get no response.
    std::optional<std::chrono::milliseconds> startDelay;
    // The cores that the worker really has, in thousandths: starts beyond are refused. Needs
    // `milliCoresOf`; when it is not set, nothing is refused.
    std::optional<std::uint32_t> roomMilliCores;
    // All runs fail when they end.
    bool failsEveryRun = false;
    // After this time, if it is set, instead of the duration of the run.
    std::optional<std::chrono::milliseconds> failsAfter;
    // Runs that start take so many times as long.
    double slowness = 1;
    // How long a run goes on after a request to stop it.
    std::chrono::milliseconds stopDuration{0};
    // Runs make no progress and do not end.
    bool hangs = false;
    // When the process crashes; nothing when it does not.
    std::optional<steady_time> crashesAt;
    // The process has crashed. Another one with a new id answers at the address from then on.
    std::optional<steady_time> replacedAt;
};

// A crash of a worker, as recorded for tests.
struct recorded_crash
{
    std::string worker;
    std::vector<run_key> runs;
    steady_time at{};
};

// A start request that a worker has carried out, as recorded for tests.
struct recorded_start
{
    std::string worker;
    run_key key;
    steady_time at{};
    std::string specification;
    std::string checkpoint;
};

// In-memory workers behind the interface for calls to real ones. A call takes 1 ms of fake time.
class fake_workers final : public worker_client
{
public:
    fake_workers(boost::asio::any_io_executor executor, clock_source &clock);

    // Adds a worker, or a new incarnation of the one with this id.
    fake_worker &add(const std::string &id, std::uint32_t milliCores = 32'000);
    fake_worker &at(const std::string &id)
    {
        return m_workers.at(id);
    }
    [[nodiscard]] bool exists(const std::string &id) const
    {
        return m_workers.contains(id);
    }
    // Ends the runs that are due by now on all workers, and all runs of workers whose lease has
    // expired.
    void finishDueRuns();
    // One entry for each start of a run while another run of the same task was in progress.
    std::vector<std::string> duplicateRuns;
    // One entry for each start of a task that was done before, unless the worker where it was done
    // has restarted or its lease has expired before the end was acknowledged.
    std::vector<std::string> repeatedRuns;
    // The cursor of a call also has the worker forget ends that follow the call.
    bool cursorsLast = true;
    // An end counts as acknowledged once it is in the answer to a call.
    bool listedEndsStay = false;
    std::vector<recorded_start> starts;
    // The share of full speed, in percent, that each run was last set to.
    std::map<run_key, std::uint32_t> throttles;
    // The recent load of a run in reports; 0 when this is not set.
    std::function<std::uint32_t(const run_key &)> reportedLoad;
    // The cores of a run, in thousandths, for `overloads`; not counted when this is not set.
    std::function<std::uint32_t(const run_key &)> milliCoresOf;
    // One entry for each start that brought a worker over its capacity.
    std::vector<std::string> overloads;
    // One entry for each start that was refused for lack of cores.
    std::vector<recorded_start> roomRefusals;
    // True for tasks that crash each worker that starts them, `crashDelay` after the start.
    std::function<bool(const task_key &)> crashesWorker;
    std::chrono::milliseconds crashDelay{10};
    // Jobs of gangs: the runs of a gang end when one of them ends with its worker.
    std::set<std::uint64_t> gangs;
    // How long no process answers at the address of a crashed worker.
    std::chrono::milliseconds downTime{3000};
    std::vector<recorded_crash> crashes;
    // Ends the process of a worker for good, with all of its runs and of the ends that it has not
    // listed.
    void leave(const std::string &id);
    // Crashes the process of a worker with all of its runs.
    void crash(const std::string &id);
    // Returns the ids of the workers that have taken the place of crashed ones since the last call.
    std::vector<std::string> takeReplacements()
    {
        return std::exchange(m_replacements, {});
    }
    // How long runs take.
    std::chrono::milliseconds runDuration{500};
    // How long one run takes; `runDuration` when this is not set.
    std::function<std::chrono::milliseconds(const run_key &)> durationOf;

    boost::asio::awaitable<worker_response> start(worker_call_target target,
                                                  start_run_request request) override;
    boost::asio::awaitable<worker_response> stop(worker_call_target target, run_key key) override;
    boost::asio::awaitable<worker_response> throttle(worker_call_target target, run_key key,
                                                     std::uint32_t percent) override;
    boost::asio::awaitable<std::variant<worker_report, worker_response>>
    renewLease(worker_call_target target, renew_lease_request request) override;
    void closeConnections(const worker_incarnation & /*incarnation*/) override
    {}

private:
    // The worker at the target's address, or the refusal of the call. Another incarnation of the
    // worker takes only calls for a report.
    std::variant<fake_worker *, worker_response> findTarget(const worker_call_target &target,
                                                            bool reportsOnly = false);
    worker_time clockOf(const fake_worker &worker) const;
    worker_response executeStart(fake_worker &worker, const start_run_request &request,
                                 std::uint64_t fencingToken);
    boost::asio::awaitable<void> executeDelayedStart(std::string id, start_run_request request,
                                                     std::uint64_t fencingToken,
                                                     std::chrono::milliseconds delay);
    void endRun(fake_worker &worker, const run_key &key, run_outcome outcome);
    void finishDueRuns(fake_worker &worker);
    void crash(fake_worker &worker);
    std::uint32_t usedMilliCores(const fake_worker &worker) const;
    void recordOverload(const fake_worker &worker, const run_key &started);
    void abortGang(const run_key &lost);
    void replaceCrashedWorkers();

    boost::asio::any_io_executor m_executor;
    clock_source &m_clock;
    std::map<std::string, fake_worker> m_workers;
    void forgetDoneOn(const std::string &worker);

    // By task that is done: the worker.
    std::map<task_key, std::string> m_doneOn;
    // By task that was done and acknowledged: the worker.
    std::map<task_key, std::string> m_doneForGood;
    std::uint16_t m_nextPort = 9000;
    std::int64_t m_nextBorn = 1000;
    std::vector<std::string> m_replacements;
};

} // namespace mango::test
