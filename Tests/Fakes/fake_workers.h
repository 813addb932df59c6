#pragma once

#include <functional>
#include <map>

#include "Fleet/worker_client.h"

namespace mango::test {

// One worker in memory: it keeps a lease, a fence and lists of runs and ends as real ones do.
struct fake_worker
{
    worker_record record;
    steady_time startedAt{};
    std::uint64_t fencingToken = 0;
    worker_time leasedUntil{0};
    struct at_work
    {
        std::string checkpoint;
        steady_time since{};
        std::chrono::milliseconds length{0};
    };
    std::map<run_key, at_work> running;
    std::map<task_key, std::uint32_t> barred;
    std::vector<reported_end> ended;
    std::uint64_t lastEnd = 0;
    std::uint64_t acknowledged = 0;
    // Calls neither arrive nor are answered.
    bool cut = false;
    // Orders to start are carried out that much later, and get no answer.
    std::optional<std::chrono::milliseconds> startsLate;
    // Every run fails at its end.
    bool failsAll = false;
    // What runs stands still.
    bool hangs = false;
};

// What a test sees of one start that a worker carried out.
struct seen_start
{
    std::string worker;
    run_key key;
    steady_time at{};
    std::string specification;
    std::string checkpoint;
};

// Workers in memory, called as the scheduler calls real ones. A call takes a millisecond.
class fake_workers final : public worker_client
{
public:
    fake_workers(boost::asio::any_io_executor executor, clock_source &clock);

    // Adds a worker, or a new life of the one with that id.
    fake_worker &add(const std::string &id, std::uint32_t milliCores = 32'000);
    fake_worker &at(const std::string &id)
    {
        return m_workers.at(id);
    }
    // Ends what is due by now on all workers.
    void pass();
    // The times at which two runs of one task were at work at once, and starts after an end that
    // was done and acknowledged.
    std::vector<std::string> doubled;
    std::vector<seen_start> starts;
    // The share of its speed, in percent, at which each run was last told to work.
    std::map<run_key, std::uint32_t> paces;
    // What the listings show as the recent load of a run, when it is set.
    std::function<std::uint32_t(const run_key &)> reportedLoad;
    // How long runs take.
    std::chrono::milliseconds runLength{500};

    boost::asio::awaitable<worker_response> start(worker_call_target target,
                                                  start_run_request order) override;
    boost::asio::awaitable<worker_response> stop(worker_call_target target, run_key key) override;
    boost::asio::awaitable<worker_response> throttle(worker_call_target target, run_key key,
                                                     std::uint32_t percent) override;
    boost::asio::awaitable<std::variant<worker_report, worker_response>>
    renewLease(worker_call_target target, renew_lease_request order) override;
    void closeConnections(const worker_incarnation & /*life*/) override
    {}

private:
    // The worker that a call reaches, or why it reaches none.
    std::variant<fake_worker *, worker_response> reach(const worker_call_target &target);
    worker_time clockOf(const fake_worker &worker) const;
    worker_response carryOut(fake_worker &worker, const start_run_request &order,
                             std::uint64_t fencingToken);
    boost::asio::awaitable<void> carryOutLate(std::string id, start_run_request order,
                                              std::uint64_t fencingToken,
                                              std::chrono::milliseconds delay);
    void endRun(fake_worker &worker, const run_key &key, run_outcome outcome);
    void passOn(fake_worker &worker);

    boost::asio::any_io_executor m_executor;
    clock_source &m_clock;
    std::map<std::string, fake_worker> m_workers;
    std::uint16_t m_nextPort = 9000;
    std::int64_t m_nextBorn = 1000;
};

} // namespace mango::test
