#pragma once

#include <set>
#include <unordered_map>

#include "Common/wake_event.h"
#include "Dispatch/worker_lease.h"
#include "Fleet/fleet_machine.h"
#include "Scheduling/image_interference.h"
#include "Scheduling/run_placement.h"
#include "Scheduling/run_progress.h"
#include "Scheduling/run_times.h"
#include "Scheduling/step_order.h"

namespace mango {

// Times of the leader's dealings with workers.
struct dispatch_timing
{
    // How long a worker goes on without hearing from the leader.
    std::chrono::milliseconds workerLease{5000};
    // A worker that was not heard for that long is given no further lease.
    std::chrono::milliseconds renewalSilenceLimit{1000};
    // How long after it was sent a start order is void.
    std::chrono::milliseconds startValidity{800};
    // How long a worker waits for an end before it answers a renewal.
    std::chrono::milliseconds renewalWait{1000};
    // The longest wait for an answer, beyond what the worker was asked to wait.
    std::chrono::milliseconds answerTimeout{600};
    // A worker not heard for that long gets no new work.
    std::chrono::milliseconds silentAfter{2200};
    // A worker not heard for that long, and without runs, is forgotten.
    std::chrono::milliseconds forgetAfter{60'000};
    // A worker that was unhealthy or had no room gets no new work for that long.
    std::chrono::milliseconds refusalBackoff{1500};
};

// What all parts of the leader share.
struct dispatch_context
{
    boost::asio::any_io_executor executor;
    clock_source &clock;
    counters &counted;
    replica &consensus;
    fleet_machine &machine;
    worker_calls &workers;
    dispatch_timing timing;
};

// What the leader knows of a run beyond what is agreed.
enum class run_phase : std::uint8_t {
    // Chosen, not agreed on yet.
    planned,
    // Agreed on, and the order is on its way.
    ordered,
    // The order got no answer: it may run, or start later.
    unsure,
    running,
    // Ordered to stop.
    stopping
};

// Why a run was placed on its worker; for the log.
struct placement_reason
{
    const char *reason = "adopted";
    // The workers that fitted, and the cores that were free on the chosen one, in thousandths.
    std::uint32_t candidates = 0;
    std::int64_t freeMilliCores = 0;
    // When the worker was last heard before the decision.
    steady_time heardAt{};
};

struct tracked_run
{
    run_key key;
    task_room room;
    bool fillsGaps = false;
    bool longRunning = false;
    image_id image = 0;
    run_phase phase = run_phase::planned;
    bool stopRequested = false;
    // Its end is being agreed on.
    bool endPending = false;
    // On the worker's clock: when the start order is void.
    worker_time startDeadline{0};
    // On the worker's clock: an answer as of then knew of the run.
    worker_time lastConfirmedAt{0};
    steady_time orderedAt{};
    std::uint32_t percent = 0;
    // When the percent was last seen to grow.
    steady_time progressedAt{};
    std::chrono::milliseconds estimate{0};
    bool allowsCopies = false;
    std::uint32_t recentLoad = 0;
    // The share of its speed that the worker was last told to let it work at, in percent.
    std::uint32_t pacePercent = 100;
    steady_time paceChangedAt{};
    // Its progress survives a stop.
    bool checkpoints = false;
    // It began from saved progress, or before this leadership.
    bool resumed = true;
    // For a lasting task: the bound of its tail; 0 when it has none.
    std::chrono::milliseconds tailTarget{0};
    // Since when its tail is over the bound; nothing when it is not.
    std::optional<steady_time> overTargetSince;
    std::string checkpoint;
    placement_reason placement;
};

// One life of a worker.
struct tracked_worker
{
    explicit tracked_worker(clock_source &clock)
        : wake(clock)
    {}

    worker_record record;
    // The agreed record is of this life; if not, no new work goes there.
    bool current = true;
    // Its process is certainly gone.
    bool exited = false;
    // It has answered this leader, so that it obeys no earlier one any more.
    bool answered = false;
    std::optional<clock_reading> clock;
    // On the worker's clock: the latest deadline that any leader may have given it.
    worker_time leasedUntil{0};
    steady_time heardAt{};
    // It gets no new work for a while, since its runs failed or stood still.
    steady_time backoffStartedAt{};
    steady_time backoffUntil{};
    // It has said that it is unhealthy or has no room.
    steady_time refusesUntil{};
    std::uint64_t lastSequence = 0;
    worker_health health;
    steady_time stalledAt{};
    std::map<run_key, tracked_run> runs;
    task_room used;
    std::uint32_t lastingMilliCores = 0;
    std::uint32_t fillingMilliCores = 0;
    // The lasting runs by image.
    std::map<image_id, std::uint32_t> longRunningImages;
    // When the interference model last learned from it.
    steady_time interferenceLearnedAt{};
    // Ends up to `lastEndCommitted` may be acknowledged; those up to `lastEndReceived` were taken
    // in.
    std::uint64_t lastEndReceived = 0;
    std::uint64_t lastEndCommitted = 0;
    // Runs of an earlier life of this id whose orders may still arrive: they are barred by stops.
    std::set<run_key> staleOrders;
    wake_event wake;
};

using tracked_worker_handle = std::shared_ptr<tracked_worker>;

// The tasks of one step that wait for a worker, and where the others are.
struct tracked_step
{
    std::vector<std::uint32_t> waiting;
    std::uint32_t unfinishedTasks = 0;
    std::map<worker_life, std::uint32_t> runsPerWorker;
    std::map<std::string, std::uint32_t> runsPerDomain;
    // Since when tasks of it have found no worker.
    std::optional<steady_time> unplacedSince;
    // Since when nothing of it runs though its turn has come.
    std::optional<steady_time> idleSince;
    // Where a task of the step failed, so that it is tried elsewhere.
    std::map<std::uint32_t, std::set<worker_life>> avoided;
};

struct tracked_job
{
    // The path of its queue.
    std::string queue;
    steady_time since{};
    // A task of it has begun under this leader.
    bool started = false;
    std::map<std::uint32_t, std::vector<tracked_step>> occurrences;
};

// Who is told when a batch of ends is agreed on.
struct end_acknowledgement
{
    tracked_worker_handle worker;
    std::uint64_t number = 0;
};

// What one leadership of one process knows; made anew with each, from the agreed state and from
// what workers say.
struct dispatch_state
{
    dispatch_state(dispatch_context &context, std::uint64_t leaderTerm)
        : context(context)
        , term(leaderTerm)
        , leaderSince(context.clock.now())
        , wake(context.clock)
    {}

    dispatch_context &context;
    std::uint64_t term = 0;
    steady_time leaderSince{};
    // False once the leadership is over; coroutines then end.
    bool active = true;
    // A worker has obeyed a newer leader.
    bool superseded = false;
    std::map<worker_life, tracked_worker_handle> workers;
    std::map<std::uint64_t, tracked_job> jobs;
    std::map<run_key, tracked_worker_handle> workerByRun;
    std::vector<end_runs::one_end> pendingEnds;
    std::vector<end_acknowledgement> pendingAcknowledgements;
    std::map<std::uint64_t, std::vector<end_acknowledgement>> acknowledgements;
    std::uint64_t nextBatch = 1;
    interference_model interference;
    // By the path of a queue.
    std::map<std::string, run_times> runTimes;
    steady_time pressuresSavedAt{};
    steady_time stragglersCheckedAt{};
    // Something changed since the last scheduling round.
    bool changed = true;
    wake_event wake;
};

using dispatch_handle = std::shared_ptr<dispatch_state>;

// True while the leadership is certain, suspensions of the host included; asked again after each
// wait and before each call to a worker.
bool holdsLeadership(const dispatch_state &state);

// Builds the indexes from the agreed state.
void buildIndexes(const dispatch_handle &state);

// Follows a command that was applied to the agreed state.
void onCommandApplied(const dispatch_handle &state, const fleet_command &change);

// The life of a worker that has the address or id now; nothing when it is not known.
tracked_worker_handle findWorker(const dispatch_state &state, const worker_life &life);

// Asks for another scheduling round.
void wakeScheduler(dispatch_state &state);

// Has the end of a run agreed on; repeated calls for the same run do nothing.
void queueRunEnd(dispatch_state &state, tracked_worker &worker, tracked_run &run,
                 run_outcome outcome, const std::string &checkpoint);

// Ends a run that is not wanted any more: it is stopped, or never ordered.
void requestStop(const dispatch_handle &state, const tracked_worker_handle &worker,
                 tracked_run &run);

// Takes note that a worker's process is gone: all its runs are over.
void recordWorkerExit(const dispatch_handle &state, const tracked_worker_handle &worker);

// How long after its acceptance a job should be complete.
std::chrono::milliseconds completionObjective(const dispatch_state &state, const graph_job &job);

// Adds a chosen run and takes its room; the caller has it agreed on next.
tracked_run &addRun(dispatch_state &state, const tracked_worker_handle &worker, const run_key &key,
                    const graph_step &step, run_phase phase);

// Forgets a run that is over, on its worker and in its step.
void removeRun(dispatch_state &state, const run_key &key);

// The step of a task; nothing when its job is over.
tracked_step *findStep(dispatch_state &state, const task_key &key);

// Runs the leader's work until the leadership ends.
boost::asio::awaitable<void> runScheduler(dispatch_handle state);

// Keeps the lease of one worker and takes in what it lists, until it is forgotten.
boost::asio::awaitable<void> runWorkerSession(dispatch_handle state, tracked_worker_handle worker);

// Orders a run to be started, once its start is agreed on.
boost::asio::awaitable<void> sendStart(dispatch_handle state, tracked_worker_handle worker,
                                       run_key key);

// Asks a worker for its lists at once, once the order for the run is void.
boost::asio::awaitable<void> resolveUnansweredStart(dispatch_handle state,
                                                    tracked_worker_handle worker, run_key key);

// Takes note that a run failed, stalled or was done, for how far its worker is trusted.
void recordRunHealth(dispatch_state &state, tracked_worker &worker, const tracked_run &run,
                     run_outcome outcome, bool stalled);

// Orders a run to be stopped until the worker has answered.
boost::asio::awaitable<void> sendStop(dispatch_handle state, tracked_worker_handle worker,
                                      run_key key);

// Has a command agreed on; nothing when that failed or is uncertain.
boost::asio::awaitable<std::optional<fleet_verdict>> commitCommand(dispatch_handle state,
                                                                   fleet_command change);

} // namespace mango
