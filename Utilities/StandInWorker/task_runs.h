#pragma once

#include <fstream>
#include <map>

#include "Common/clock_source.h"
#include "Control/worker_protocol.h"

namespace mango::stand_in {

// Writes what truly happened on a worker, one JSON line an event, for the invariant checks. The
// checks believe these lines only, never the system's own records.
class ledger
{
public:
    explicit ledger(const std::string &path);
    void write(const std::string &worker, const std::string &event, const std::string &subject,
               std::uint64_t number, std::chrono::system_clock::time_point at);

private:
    std::ofstream m_file;
};

// How tasks behave on a worker.
struct task_behaviour
{
    std::chrono::milliseconds checkpointInterval{1000};
    std::chrono::milliseconds checkpointTime{20};
    std::string checkpointFolder;
    bool failTasks = false;
    bool loseCheckpoints = false;
    // What a task truly uses, as a ratio to what it declares.
    double coresRatio = 1;
};

// One run of a task.
struct run
{
    run_request order;
    run_state state = run_state::running;
    double progressMs = 0;
    double checkpointMs = 0;
    std::string checkpoint;
    double share = 1;
    std::string outcome;
    std::uint64_t lostMs = 0;
    bool stopping = false;
    steady_time stopAt{};
    std::uint64_t changed = 0;
};

// The tasks of one worker under its lease.
class task_runs
{
public:
    task_runs(std::string worker, clock_source &clock, ledger &events, task_behaviour &behaviour);

    // Advances every run to now; ends all of them when the lease has run out.
    void advance();
    void carryOut(const run_request &order);
    void extendLease(steady_time end);
    void dropAll();

    // The runs that changed after the mark, and every run that ended and was not forgotten.
    [[nodiscard]] std::vector<run_status> statuses(std::uint64_t after) const;
    [[nodiscard]] std::uint64_t mark() const
    {
        return m_changes;
    }
    [[nodiscard]] std::uint64_t endedRuns() const
    {
        return m_ended;
    }
    [[nodiscard]] std::uint32_t slotsInUse() const;
    [[nodiscard]] double coresInUse() const;
    [[nodiscard]] std::uint64_t memoryInUse() const;
    // The load that noisy tasks put on the services beside them, in cores.
    [[nodiscard]] double noiseCores() const;

private:
    using key = std::pair<task_id, std::uint64_t>;

    void start(const run_request &order);
    void stop(const run_request &order);
    void end(run &ended, run_state state, const std::string &outcome, steady_time at);
    bool saveCheckpoint(run &saved);
    void advanceRun(run &one, double elapsedMs, steady_time now);
    [[nodiscard]] std::chrono::system_clock::time_point wallAt(steady_time at) const;

    std::string m_worker;
    clock_source &m_clock;
    ledger &m_events;
    task_behaviour &m_behaviour;
    std::map<key, run> m_runs;
    steady_time m_leaseEnd{};
    steady_time m_advancedTo{};
    std::uint64_t m_changes = 0;
    std::uint64_t m_ended = 0;
};

} // namespace mango::stand_in
