#pragma once

#include <fstream>
#include <map>

#include "Common/clock_source.h"
#include "Control/worker_protocol.h"

namespace mango::stand_in {

// Appends the events of workers to a file, one JSON object per line. The invariant checks rely on
// these events and never on the scheduler's own records, which may contain the error to be found.
class ledger
{
public:
    // Opens the file at the path for appending.
    explicit ledger(const std::string &path);

    // Appends one event and flushes it. The time is stored in microseconds since 1970; the meaning
    // of subject and number depends on the event.
    void write(const std::string &worker, const std::string &event, const std::string &subject,
               std::uint64_t number, std::chrono::system_clock::time_point at);

private:
    std::ofstream m_file;
};

// How a stand-in worker executes its tasks.
struct task_behaviour
{
    // Progress between two checkpoints; zero disables periodic checkpoints.
    std::chrono::milliseconds checkpointInterval{1000};
    // How long a stop takes that saves a checkpoint first.
    std::chrono::milliseconds checkpointTime{20};
    // Checkpoints are disabled when empty.
    std::string checkpointFolder;
    // Every run fails as soon as it starts.
    bool failTasks = false;
    // Checkpoints are reported but not written, so that a resume from them fails.
    bool loseCheckpoints = false;
    // Reported processor use of a run as a ratio to the cores that its task requested.
    double coresRatio = 1;
};

// One run of a task and its progress, in milliseconds of run time.
struct run
{
    run_request request;
    run_state state = run_state::running;
    double progressMs = 0;
    double checkpointMs = 0;
    std::string checkpoint;
    // Share of the requested cores that the run may use, from 0 to 1; progress slows down with it.
    double share = 1;
    std::string outcome;
    std::uint64_t lostMs = 0;
    bool stopping = false;
    steady_time stopAt{};
    // Number of the last change to this run; see task_runs::lastChange.
    std::uint64_t lastChange = 0;
};

// The runs of one worker. They progress only while the worker holds its lease.
class task_runs
{
public:
    task_runs(std::string worker, clock_source &clock, ledger &events, task_behaviour &behaviour);

    // Updates the progress of every run up to now, and stops all runs if the lease has expired.
    void advance();
    // Executes a request of the scheduler. A repeated start or stop of the same run has no effect.
    void execute(const run_request &request);
    // Extends the lease to the given time; an earlier time than the current end has no effect.
    void extendLease(steady_time end);
    // Ends all running runs as failed and removes all records, as when the worker process exits.
    void failAll();

    // Statuses of the running runs that changed after the change with this number, and of all ended
    // runs that the scheduler has not asked to forget.
    [[nodiscard]] std::vector<run_status> statuses(std::uint64_t change) const;
    // Number of the latest change to any run.
    [[nodiscard]] std::uint64_t lastChange() const
    {
        return m_lastChange;
    }
    // Number of started runs that have ended. A run whose checkpoint is missing never starts.
    [[nodiscard]] std::uint64_t endedRuns() const
    {
        return m_endedRuns;
    }
    // Resources that the tasks of the running runs requested.
    [[nodiscard]] std::uint32_t slotsInUse() const;
    [[nodiscard]] double coresInUse() const;
    [[nodiscard]] std::uint64_t memoryInUse() const;
    // Cores used by running batch tasks, which slow down the service on the same worker.
    [[nodiscard]] double noiseCores() const;

private:
    using key = std::pair<task_id, std::uint64_t>;

    void start(const run_request &request);
    void stop(const run_request &request);
    void end(run &taskRun, run_state state, const std::string &outcome, steady_time at);
    bool saveCheckpoint(run &taskRun);
    void advanceRun(run &taskRun, double elapsedMs, steady_time now);
    [[nodiscard]] std::chrono::system_clock::time_point wallTimeAt(steady_time at) const;

    std::string m_worker;
    clock_source &m_clock;
    ledger &m_events;
    task_behaviour &m_behaviour;
    std::map<key, run> m_runs;
    steady_time m_leaseEnd{};
    steady_time m_lastAdvance{};
    std::uint64_t m_lastChange = 0;
    std::uint64_t m_endedRuns = 0;
};

} // namespace mango::stand_in
