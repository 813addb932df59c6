#pragma once

#include <deque>
#include <set>
#include <unordered_map>

#include "Dispatch/customer_runs.h"
#include "Common/wake_event.h"
#include "Common/work_meter.h"
#include "Dispatch/round_work.h"
#include "Dispatch/worker_lease.h"
#include "Fleet/fleet_state_machine.h"
#include "Fleet/worker_registration.h"
#include "Jobs/job_account.h"
#include "Scheduling/crash_suspects.h"
#include "Scheduling/image_interference.h"
#include "Scheduling/observed_capacity.h"
#include "Scheduling/run_placement.h"
#include "Scheduling/run_progress.h"
#include "Scheduling/room_shortage.h"
#include "Scheduling/run_times.h"
#include "Scheduling/step_order.h"
#include "Scheduling/worker_soundness.h"

namespace mango {

// Time limits and intervals that the leader applies to workers.
struct dispatch_timing
{
    // How long a worker keeps its runs without a renewal from the leader.
    std::chrono::milliseconds workerLease{5000};
    // A worker that has been silent for longer is polled, but its lease is not extended.
    std::chrono::milliseconds renewalSilenceLimit{1000};
    // How long a start request remains valid after it was sent.
    std::chrono::milliseconds startValidity{800};
    // How long a worker may hold a renewal open while it waits for a run to end (long poll).
    std::chrono::milliseconds renewalWait{1000};
    // How long to wait for a response, on top of the wait that the worker was asked for.
    std::chrono::milliseconds responseTimeout{600};
    // A worker that has been silent for longer gets no new work.
    std::chrono::milliseconds silentAfter{2200};
    // A worker that has been silent for longer and has no runs is removed.
    std::chrono::milliseconds forgetAfter{60'000};
    // How long a worker gets no new work after it reported to be unhealthy or could not be reached,
    // and nothing beyond its runs after it refused a start for lack of resources.
    std::chrono::milliseconds refusalBackoff{1500};
};

// References to the services of the process that all parts of the leader use.
struct dispatch_context
{
    boost::asio::any_io_executor executor;
    clock_source &clock;
    metrics_registry &metricsRegistry;
    replica &consensus;
    fleet_state_machine &machine;
    worker_client &workers;
    dispatch_timing timing;
    work_meter &work;
    registration_limits registrations;
};

// The leader's view of a run, which is more detailed than the replicated state.
enum class run_phase : std::uint8_t {
    // A worker is chosen; the start is not committed yet.
    planned,
    // The start is committed and the start request is being sent.
    starting,
    // The start request got no response: the run may have started or may start later.
    unconfirmed,
    running,
    // The worker has accepted a request to stop the run.
    stopping
};

// Why a run was placed on its worker, for the log.
struct placement_reason
{
    const char *reason = "adopted";
    // The number of workers that met the constraints.
    std::uint32_t candidates = 0;
    // Unused cores of the chosen worker, in thousandths.
    std::int64_t freeMilliCores = 0;
    // When the last response of the worker before the decision arrived.
    steady_time heardAt{};
    // Workers that had crashed under the task before.
    std::uint32_t earlierCrashes = 0;
};

// One run that is placed on a worker.
struct tracked_run
{
    run_key key;
    resource_amounts resources;
    bool bestEffort = false;
    bool longRunning = false;
    image_id image = 0;
    run_phase phase = run_phase::planned;
    bool stopRequested = false;
    // The end of the run is queued for commit.
    bool endPending = false;
    // When the start request expires, on the worker's clock; never before it is sent.
    worker_time startDeadline = worker_time::max();
    // The worker's clock at the first and at the latest response that reported the run or accepted
    // a request for it.
    std::optional<worker_time> firstConfirmedAt;
    worker_time lastConfirmedAt{0};
    // Its worker takes no other new runs until this one has survived its start.
    bool onTrial = false;
    // An earlier leader has requested its start.
    bool adopted = false;
    // How long it had lasted under earlier leaders when its worker last reported an end.
    std::chrono::milliseconds survivedBefore{0};
    // Workers had crashed under its task when it was started.
    bool suspect = false;
    // What the crash of its worker tells about its task; nothing while that has not crashed.
    std::optional<crash_evidence> crash;
    steady_time startSentAt{};
    // The share of the work that is done.
    std::uint32_t progressPercent = 0;
    // When `progressPercent` last changed, and when the worker last reported it.
    steady_time progressedAt{};
    steady_time reportedAt{};
    std::chrono::milliseconds estimate{0};
    bool allowsSpeculativeCopies = false;
    // As last reported: the tail latency in milliseconds of a task that serves requests, else the
    // cores in use in thousandths.
    std::uint32_t recentLoad = 0;
    // The share of full speed, in percent, that the worker last accepted for the run.
    std::uint32_t throttlePercent = 100;
    steady_time throttleChangedAt{};
    // The task saves checkpoints, so that a stop does not lose its progress.
    bool checkpoints = false;
    // The run started from a checkpoint, or under an earlier leader.
    bool resumed = true;
    // The target for the tail latency of a long-running task; 0 when there is none.
    std::chrono::milliseconds tailLatencyTarget{0};
    // Since when the tail latency has exceeded its target; nothing when it does not.
    std::optional<steady_time> overTargetSince;
    std::string checkpoint;
    placement_reason placement;
};

// A run that ended with the silence of its worker, and what was known of it then.
struct silenced_run
{
    run_key key;
    run_at_crash known;
};

// One incarnation of a worker: one process under the worker's id.
struct tracked_worker
{
    explicit tracked_worker(clock_source &clock)
        : wake(clock)
    {}

    worker_record record;
    // The fencing token of this leader's requests to it.
    std::uint64_t fencingToken = 0;
    // The committed record of the worker id names this incarnation; only then it gets new work.
    bool current = true;
    // The process has certainly ended, or the worker has been removed.
    bool exited = false;
    // Its end has been counted, and it has been weighed which of its runs may be the cause.
    bool exitRecorded = false;
    // It has said that it ends, or its earlier incarnation has; it may still have runs.
    bool departureAnnounced = false;
    // It has answered this leader, and so refuses requests of earlier leaders.
    bool answered = false;
    std::optional<clock_reading> clock;
    // The latest lease end that any leader may have granted, on the worker's clock.
    worker_time leasedUntil{0};
    steady_time heardAt{};
    // When the backoff after failed or stalled runs began.
    steady_time backoffStartedAt{};
    // What its runs have shown; `hasProbe` is not maintained here.
    worker_soundness soundness;
    // It gets no new work until then, since it refused a request or could not be reached.
    steady_time refusesUntil{};
    // What it can take as far as its answers to start requests tell.
    observed_capacity observed;
    // The highest sequence number of its announcements.
    std::uint64_t lastSequence = 0;
    steady_time stalledAt{};
    std::map<run_key, tracked_run> runs;
    std::uint32_t runsOnTrial = 0;
    // Those of them that count against the limit of trials.
    std::uint32_t trialSlots = 0;
    // The runs that have ended with its silence since it was last heard.
    std::vector<silenced_run> silencedRuns;
    // Resources of all its runs; the cores are those of runs that are not best-effort.
    resource_amounts used;
    std::uint32_t longRunningMilliCores = 0;
    std::uint32_t bestEffortMilliCores = 0;
    // The number of long-running runs by image.
    boost::container::flat_map<image_id, std::uint32_t> longRunningImages;
    // The number of runs with a target for their tail latency.
    std::uint32_t latencyCriticalRuns = 0;
    // When the interference model was last updated with its figures.
    steady_time interferenceLearnedAt{};
    // The worker numbers the ends of its runs. Ends up to `lastEndReceived` have been processed;
    // those up to `lastEndCommitted` may be acknowledged.
    std::uint64_t lastEndReceived = 0;
    std::uint64_t lastEndCommitted = 0;
    // The first end in its last report; 0 when that listed none.
    std::uint64_t oldestListedEnd = 0;
    // It has reported all of its runs to this leader, so that runs of its earlier incarnations that
    // it has not reported do not exist and never will.
    bool hasReportedAll = false;
    // When the calls for reports were sent that are in flight. Their answers may list ends.
    std::multiset<steady_time> reportCallsInFlight;
    // When the latest of those was sent that failed although its relay did not.
    std::optional<steady_time> failedCallSentAt;
    // How often in a row its lease was found to have certainly expired.
    std::uint32_t expiredChecks = 0;
    // Its place among the offers of the scheduling rounds.
    std::size_t offerIndex = 0;
    // It is among the changed workers of the state.
    bool offerChanged = false;
    wake_event wake;
};

using tracked_worker_handle = std::shared_ptr<tracked_worker>;

// The wait of tasks that found no worker.
struct unplaced_wait
{
    // Since when some task has found no worker; nothing when none waits.
    std::optional<steady_time> since;
    // When the log last reported the wait.
    steady_time loggedAt{};
};

// The tasks of one step that wait for a worker, and where its runs are placed.
struct tracked_step
{
    // Indexes of the tasks that wait, in the order in which they are placed.
    std::vector<std::uint32_t> waiting;
    std::uint32_t unfinishedTasks = 0;
    std::map<worker_incarnation, std::uint32_t> runsPerWorker;
    std::map<std::string, std::uint32_t> runsPerDomain;
    // Of a long-running step, the tasks that have not run yet and the restarts wait apart.
    unplaced_wait wait;
    unplaced_wait restartsWait;
    // When a first run was last placed although short tasks lacked room.
    std::optional<steady_time> admittedInShortageAt;
    // By task: since when it has waited for a trial.
    std::map<std::uint32_t, steady_time> trialWaitSince;
    // By task: since when it has waited to learn whether the workers of its runs have crashed.
    std::map<std::uint32_t, steady_time> explanationWaitSince;
    // Since when the step has had no run although it is ready.
    std::optional<steady_time> idleSince;
    // By task: workers where it failed or stalled or runs slowly, so that it is tried elsewhere.
    std::map<std::uint32_t, std::set<worker_incarnation>> avoidedWorkers;
};

// One unfinished job.
struct tracked_job
{
    // The path prefix of its queue.
    std::string queue;
    // When this process learned of the job.
    steady_time knownSince{};
    // A run of it has started under this leader.
    bool firstTaskStarted = false;
    // None of its steps has tasks to place until a run of it ends.
    bool isSettled = false;
    // The time from its acceptance within which it should be complete, and by step the expected
    // time of the critical path from there on, as of `estimatedAt`.
    std::chrono::milliseconds objective{0};
    std::vector<std::chrono::milliseconds> criticalPaths;
    steady_time estimatedAt{};
    // The steps of each open occurrence.
    std::map<std::uint32_t, std::vector<tracked_step>> occurrences;
    // How many occurrences have been opened, the closed ones included.
    std::uint32_t openedOccurrences = 0;
    // When the start of its first run under this leader was committed.
    std::optional<steady_time> firstRunAt;
    std::uint32_t startedRuns = 0;
    std::array<std::uint32_t, runOutcomeCount> endedRuns{};
    // Where its time went; empty for a job with a schedule.
    std::vector<step_account> accounts;
};

// An end of a run that may be acknowledged to its worker once it is committed.
struct end_acknowledgement
{
    tracked_worker_handle worker;
    std::uint64_t number = 0;
};

// The scheduling rounds since the last summary in log and metrics.
struct round_summary
{
    steady_time since{};
    std::uint32_t rounds = 0;
    steady_span longest{0};
    steady_span total{0};
    // The most tasks for which a round held room.
    std::uint32_t mostHeld = 0;
    round_work work;
};

// The leader's state in memory. Each leadership builds it anew from the replicated state and from
// what workers report.
struct dispatch_state
{
    dispatch_state(dispatch_context &leaderContext, std::uint64_t leaderTerm)
        : context(leaderContext)
        , term(leaderTerm)
        , leaderSince(leaderContext.clock.now())
        , nextBatch((leaderTerm << 32U) + 1)
        , wake(leaderContext.clock)
    {}

    dispatch_context &context;
    std::uint64_t term = 0;
    steady_time leaderSince{};
    // False once the leadership has ended; all coroutines then return.
    bool active = true;
    // A worker refused a request since it has accepted one of a newer leader.
    bool superseded = false;
    std::map<worker_incarnation, tracked_worker_handle> workers;
    std::map<std::uint64_t, tracked_job> jobs;
    std::map<run_key, tracked_worker_handle> workerByRun;
    // Ends and their acknowledgements that are not proposed yet.
    std::vector<end_runs::run_end> pendingEnds;
    std::vector<end_acknowledgement> pendingAcknowledgements;
    // By the number of the proposed batch, which differs from those of other leaderships.
    std::map<std::uint64_t, std::vector<end_acknowledgement>> acknowledgements;
    std::uint64_t nextBatch;
    // The opening of occurrences has been proposed and is not committed yet.
    bool openingProposed = false;
    interference_model interference;
    customer_ledger customers;
    // By the path prefix of a queue.
    std::map<std::string, run_times> runTimes;
    steady_time pressuresSavedAt{};
    steady_time stragglersCheckedAt{};
    // The last run that the check for stragglers handled, when its limit was reached.
    run_key lastSuspect;
    steady_time workersCheckedAt{};
    // The workers whose offers the next round updates.
    std::vector<tracked_worker_handle> changedWorkers;
    // The next round updates all offers.
    bool allOffersChanged = false;
    // False after a worker was added or removed; the next round then lists the workers anew.
    bool workersListed = false;
    // The number of runs on trial that count against the limit.
    std::size_t trialSlots = 0;
    // When workers at the address were found to have crashed lately, oldest first.
    std::map<host_address, std::deque<steady_time>> crashesByAddress;
    // When the workers that have exited lately were last heard, oldest exit first.
    std::deque<steady_time> exitedSilentSince;
    // By service; the sums are those of `roomCountedAt`, with what was placed since.
    std::map<std::string, service_room> serviceRooms;
    steady_time roomCountedAt{};
    round_summary roundSummary;
    // Something has changed since the last scheduling round began.
    bool changed = true;
    wake_event wake;
};

using dispatch_handle = std::shared_ptr<dispatch_state>;

// True while this process certainly leads and no worker has accepted a newer leader. The answer may
// change at any time, also by a suspension of the host: check it again after each wait and before
// each call to a worker.
bool holdsLeadership(const dispatch_state &state);

// Builds the indexes from the replicated state when a leadership begins.
void buildIndexes(const dispatch_handle &state);

// Updates the indexes after a command was applied to the replicated state.
void onCommandApplied(const dispatch_handle &state, const fleet_command &change);

// The tracked worker of an incarnation; null when it is not known.
tracked_worker_handle findWorker(const dispatch_state &state,
                                 const worker_incarnation &incarnation);

// Has the next round update the worker's offer.
void markOfferChanged(dispatch_state &state, const tracked_worker_handle &worker);

// Records that the worker's clock showed `at` when it reported the run or accepted a request for
// it.
void confirmRun(tracked_run &run, worker_time at);

// Returns how long the run is known to have lasted on its worker.
std::chrono::milliseconds survivalOf(const tracked_run &run);

// Returns true when the run has lasted for so long that its start crashes no worker.
bool hasSurvivedStart(const tracked_run &run);

// Ends the trial of a run, if it is on trial.
void endTrial(dispatch_state &state, const tracked_worker_handle &worker, tracked_run &run);

// Requests another scheduling round.
void wakeScheduler(dispatch_state &state);

// Queues the end of a run for commit; repeated calls for the same run do nothing.
void queueRunEnd(dispatch_state &state, const tracked_worker_handle &worker, tracked_run &run,
                 run_outcome outcome, const std::string &checkpoint);

// Records that a run was done or has failed that has been given up before: the report arrived late.
// A task that is done has its newer runs stopped; a failure counts as an attempt.
void recordLateEnd(dispatch_state &state, const tracked_worker_handle &worker,
                   const reported_end &end);

// Stops a run that is no longer needed; a run whose start is not committed yet never starts.
void requestStop(const dispatch_handle &state, const tracked_worker_handle &worker,
                 tracked_run &run);

// The time from its acceptance within which a job should be complete, whose critical path is
// expected to take the given time.
std::chrono::milliseconds completionObjective(const queue_parameters &queue,
                                              std::chrono::milliseconds criticalPath);

// Adds a run to its worker and counts its resources as used. For a new run the caller then has the
// start committed.
tracked_run &addRun(dispatch_state &state, const tracked_worker_handle &worker, const run_key &key,
                    const job_step &step, run_phase phase);

// Removes a run that has ended from its worker and its step.
void removeRun(dispatch_state &state, const run_key &key);

// Moves a run that an earlier incarnation of the worker was to start to the worker, which has
// reported it. Returns null when there is no such run.
tracked_run *takeOverRun(dispatch_state &state, const tracked_worker_handle &worker,
                         const run_key &key);

// The step of a task; null when its job is finished.
tracked_step *findStep(dispatch_state &state, const task_key &key);

// Runs scheduling rounds until the leadership ends.
boost::asio::awaitable<void> runScheduler(dispatch_handle state);

// Renews the lease of one worker and processes its reports until the worker is removed or the
// leadership ends.
boost::asio::awaitable<void> runWorkerSession(dispatch_handle state, tracked_worker_handle worker);

// Has the worker report at once, beside the renewal that may be waiting for an end.
boost::asio::awaitable<void> requestReport(dispatch_handle state, tracked_worker_handle worker);

// Handles the announcement that the worker ends. The announcement names no incarnation and may
// have been held up since an earlier one, so the runs are given up only once the worker has ended:
// nothing listens at its address, or its lease has expired. Until then it is asked for reports.
boost::asio::awaitable<void> handleDeparture(dispatch_handle state, tracked_worker_handle worker);

// Sends the start request of a run whose start is committed.
boost::asio::awaitable<void> sendStart(dispatch_handle state, tracked_worker_handle worker,
                                       run_key key);

// Waits until the start request of a run has expired, then asks the worker for a report, which
// tells whether the run has started.
boost::asio::awaitable<void> resolveUnansweredStart(dispatch_handle state,
                                                    tracked_worker_handle worker, run_key key);

// Returns what the runs of a worker have shown of it.
worker_soundness soundnessOf(const tracked_worker &worker);

// Updates the failure streak of a worker after one of its runs was done, failed or stalled; may
// begin a backoff.
void recordRunHealth(dispatch_state &state, const tracked_worker_handle &worker,
                     const tracked_run &run, run_outcome outcome, bool stalled);

// Sends the stop request of a run, again and again until the worker has accepted it.
boost::asio::awaitable<void> sendStop(dispatch_handle state, tracked_worker_handle worker,
                                      run_key key);

// Proposes a command and waits until it is committed and applied; nothing when that failed or the
// outcome is unknown.
boost::asio::awaitable<std::optional<fleet_command_result>> commitCommand(dispatch_handle state,
                                                                          fleet_command change);

} // namespace mango
