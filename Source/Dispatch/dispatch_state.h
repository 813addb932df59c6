#pragma once

#include <set>
#include <unordered_map>

#include "Common/wake_event.h"
#include "Dispatch/worker_lease.h"
#include "Fleet/fleet_state_machine.h"
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
    std::chrono::milliseconds renewUntilSilentFor{1000};
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
    std::chrono::milliseconds restTime{1500};
};

// What all parts of the leader share.
struct dispatch_context
{
    boost::asio::any_io_executor executor;
    clock_source &clock;
    counters &counted;
    replica &agreement;
    fleet_state_machine &machine;
    worker_client &workers;
    dispatch_timing timing;
};

// What the leader knows of a run beyond what is agreed.
enum class live_phase : std::uint8_t {
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
    const char *why = "adopted";
    // The workers that fitted, and the cores that were free on the chosen one, in thousandths.
    std::uint32_t candidates = 0;
    std::int64_t freeMilliCores = 0;
    // When the worker was last heard before the decision.
    steady_time heardAt{};
};

struct live_run
{
    run_key key;
    resource_amounts resources;
    bool bestEffort = false;
    bool longRunning = false;
    image_id image = 0;
    live_phase phase = live_phase::planned;
    bool stopWanted = false;
    // Its end is being agreed on.
    bool ending = false;
    // On the worker's clock: when the start order is void.
    worker_time startDeadline{0};
    // On the worker's clock: an answer as of then knew of the run.
    worker_time seenAt{0};
    steady_time orderedAt{};
    std::uint32_t progressPercent = 0;
    // When the percent was last seen to grow.
    steady_time percentAt{};
    std::chrono::milliseconds estimate{0};
    bool allowsSpeculativeCopies = false;
    std::uint32_t recentLoad = 0;
    // The share of its speed that the worker was last told to let it work at, in percent.
    std::uint32_t pacedTo = 100;
    steady_time pacedSince{};
    // Its progress survives a stop.
    bool checkpoints = false;
    // It began from saved progress, or before this leadership.
    bool resumed = true;
    // For a lasting task: the bound of its tail; 0 when it has none.
    std::chrono::milliseconds tailLatencyTarget{0};
    // Since when its tail is over the bound; nothing when it is not.
    std::optional<steady_time> overSince;
    std::string checkpoint;
    placement_reason placed;
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
    bool gone = false;
    // It has answered this leader, so that it obeys no earlier one any more.
    bool answered = false;
    std::optional<clock_reading> clock;
    // On the worker's clock: the latest deadline that any leader may have given it.
    worker_time leasedUntil{0};
    steady_time heardAt{};
    // It gets no new work for a while, since its runs failed or stood still.
    steady_time restSince{};
    steady_time restUntil{};
    // It has said that it is unhealthy or has no room.
    steady_time refusesUntil{};
    std::uint64_t lastSequence = 0;
    worker_health health;
    steady_time stalledAt{};
    std::map<run_key, live_run> runs;
    resource_amounts used;
    std::uint32_t lastingMilliCores = 0;
    std::uint32_t fillingMilliCores = 0;
    // The lasting runs by image.
    std::map<image_id, std::uint32_t> longRunningImages;
    // When the interference model last learned from it.
    steady_time learnedAt{};
    // Ends up to `endsAgreed` may be acknowledged; those up to `endsSeen` were taken in.
    std::uint64_t endsSeen = 0;
    std::uint64_t endsAgreed = 0;
    // Runs of an earlier life of this id whose orders may still arrive: they are barred by stops.
    std::set<run_key> toBar;
    wake_event wake;
};

using live_worker_handle = std::shared_ptr<tracked_worker>;

// The tasks of one step that wait for a worker, and where the others are.
struct live_step
{
    std::vector<std::uint32_t> waiting;
    std::uint32_t notDone = 0;
    std::map<worker_incarnation, std::uint32_t> onWorkers;
    std::map<std::string, std::uint32_t> onDomains;
    // Since when tasks of it have found no worker.
    std::optional<steady_time> lacksSince;
    // Since when nothing of it runs though its turn has come.
    std::optional<steady_time> starvingSince;
    // Where a task of the step failed, so that it is tried elsewhere.
    std::map<std::uint32_t, std::set<worker_incarnation>> avoided;
};

struct live_job
{
    // The path of its queue.
    std::string queue;
    steady_time since{};
    // A task of it has begun under this leader.
    bool begun = false;
    std::map<std::uint32_t, std::vector<live_step>> occurrences;
};

// Who is told when a batch of ends is agreed on.
struct end_receipt
{
    live_worker_handle worker;
    std::uint64_t number = 0;
};

// What one leadership of one process knows; made anew with each, from the agreed state and from
// what workers say.
struct dispatch_state
{
    dispatch_state(dispatch_context &context, std::uint64_t leaderTerm)
        : shared(context)
        , term(leaderTerm)
        , began(context.clock.now())
        , wake(context.clock)
    {}

    dispatch_context &shared;
    std::uint64_t term = 0;
    steady_time began{};
    // False once the leadership is over; coroutines then end.
    bool active = true;
    // A worker has obeyed a newer leader.
    bool outranked = false;
    std::map<worker_incarnation, live_worker_handle> workers;
    std::map<std::uint64_t, live_job> jobs;
    std::map<run_key, live_worker_handle> whereRuns;
    std::vector<end_runs::run_end> pendingEnds;
    std::vector<end_receipt> pendingReceipts;
    std::map<std::uint64_t, std::vector<end_receipt>> receipts;
    std::uint64_t nextBatch = 1;
    interference_model interference;
    // By the path of a queue.
    std::map<std::string, run_times> runTimes;
    steady_time pressuresNotedAt{};
    steady_time helpedAt{};
    // Something changed since the last scheduling round.
    bool changed = true;
    wake_event wake;
};

using dispatch_handle = std::shared_ptr<dispatch_state>;

// True while the leadership is certain, suspensions of the host included; asked again after each
// wait and before each call to a worker.
bool mayAct(const dispatch_state &state);

// Builds the indexes from the agreed state.
void fillDispatch(const dispatch_handle &state);

// Follows a command that was applied to the agreed state.
void followCommand(const dispatch_handle &state, const fleet_command &change);

// The life of a worker that has the address or id now; nothing when it is not known.
live_worker_handle findWorker(const dispatch_state &state, const worker_incarnation &incarnation);

// Asks for another scheduling round.
void wakeScheduler(dispatch_state &state);

// Has the end of a run agreed on; repeated calls for the same run do nothing.
void queueEnd(dispatch_state &state, tracked_worker &worker, live_run &run, run_outcome outcome,
              const std::string &checkpoint);

// Ends a run that is not wanted any more: it is stopped, or never ordered.
void requestStop(const dispatch_handle &state, const live_worker_handle &worker, live_run &run);

// Takes note that a worker's process is gone: all its runs are over.
void noteGone(const dispatch_handle &state, const live_worker_handle &worker);

// How long after its acceptance a job should be complete.
std::chrono::milliseconds objectiveOf(const dispatch_state &state, const job_state &job);

// Adds a chosen run and takes its room; the caller has it agreed on next.
live_run &addRun(dispatch_state &state, const live_worker_handle &worker, const run_key &key,
                 const job_step &step, live_phase phase);

// Forgets a run that is over, on its worker and in its step.
void removeRun(dispatch_state &state, const run_key &key);

// The step of a task; nothing when its job is over.
live_step *findStep(dispatch_state &state, const task_key &key);

// Runs the leader's work until the leadership ends.
boost::asio::awaitable<void> runScheduler(dispatch_handle state);

// Keeps the lease of one worker and takes in what it lists, until it is forgotten.
boost::asio::awaitable<void> runWorker(dispatch_handle state, live_worker_handle worker);

// Orders a run to be started, once its start is agreed on.
boost::asio::awaitable<void> sendStart(dispatch_handle state, live_worker_handle worker,
                                       run_key key);

// Asks a worker for its lists at once, once the order for the run is void.
boost::asio::awaitable<void> settleUnanswered(dispatch_handle state, live_worker_handle worker,
                                              run_key key);

// Takes note that a run failed, stalled or was done, for how far its worker is trusted.
void noteHealth(dispatch_state &state, tracked_worker &worker, const live_run &run,
                run_outcome outcome, bool stalled);

// Orders a run to be stopped until the worker has answered.
boost::asio::awaitable<void> sendStop(dispatch_handle state, live_worker_handle worker,
                                      run_key key);

// Has a command agreed on; nothing when that failed or is uncertain.
boost::asio::awaitable<std::optional<fleet_command_result>> agree(dispatch_handle state,
                                                                  fleet_command change);

} // namespace mango
