#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "Common/metrics_registry.h"
#include "Common/timeline.h"
#include "Common/wake_event.h"
#include "Control/cluster_state_machine.h"
#include "Control/control_settings.h"
#include "Control/worker_protocol.h"
#include "Scheduling/credits.h"
#include "Scheduling/interference.h"
#include "Scheduling/placement.h"

namespace mango {

// The state of one placed task that the leader requests, and what its worker has confirmed. Not
// replicated.
struct task_run
{
    bool startConfirmed = false;
    bool stopRequested = false;
    bool stopWithCheckpoint = false;
    // The share of its cores that the task may use, from 0 to 1.
    double targetShare = 1;
    double confirmedShare = 1;
    // Progress as the worker reported it last, and progress at the last checkpoint.
    std::uint64_t progressMs = 0;
    std::uint64_t checkpointMs = 0;
    double measuredCores = 0;
    std::uint64_t measuredMemory = 0;
};

// Task failures on a worker and the quarantine that follows from them.
struct worker_health
{
    std::uint32_t consecutiveFailures = 0;
    std::set<std::uint64_t> failedJobs;
    steady_time quarantinedUntil{};
    std::chrono::milliseconds nextQuarantine{0};
    // Set by a quarantine and reset by a finished task. Meanwhile the worker gets new tasks only
    // when it has none, and a single failure quarantines it again.
    bool onProbation = false;
};

// What the leader tracks of a worker. Rebuilt from announcements and replies after a change of
// leader.
struct worker_state
{
    explicit worker_state(clock_source &clock)
        : wake(clock)
    {}

    worker_announcement announced;
    bool agentRunning = false;
    // The worker has reported all its runs to this leader.
    bool runsReported = false;
    bool leaving = false;
    steady_time lastResponse{};
    // Until then the worker may run tasks that this leader or the previous one placed on it.
    steady_time leaseEnd{};
    // The same for tasks of the previous process under this name.
    steady_time formerLeaseEnd{};
    bool wasServing = false;
    std::string nonce;
    steady_time nonceReceived{};
    credit_account credits;
    // The version of the session list that the worker confirmed last.
    std::uint64_t confirmedListVersion = 0;
    std::map<task_id, task_run> runs;
    // Requests to stop or forget runs that differ from the replicated state.
    std::vector<run_request> cleanupRequests;
    // The total size of placed tasks, and of those whose placement is not committed yet.
    task_size placed{0, 0, 0, 0};
    task_size tentative{0, 0, 0, 0};
    // The slots that entries should leave to batch work.
    std::uint32_t requestedBatchSlots = 0;
    // The urgent task for which another task was evicted here.
    std::optional<task_id> reservedFor;
    steady_time reservedUntil{};
    interference_estimate interference;
    // Excluded from batch work, see service_workers.h.
    bool servicesOnly = false;
    // The sum of the response times and the number of responses in the current window, over all
    // entries.
    double windowMicroseconds = 0;
    std::uint32_t windowResponses = 0;
    worker_health health;
    wake_event wake;
};

// The session of one entry process, which holds a lease on its view of the workers.
struct entry_session
{
    std::uint64_t id = 0;
    std::string name;
    std::string incarnation;
    std::string failureDomain;
    steady_time leaseEnd{};
    std::uint64_t configVersion = 0;
    bool leaving = false;
    std::uint64_t viewVersion = 0;
    // The view of each worker that was sent to the entry last.
    std::map<std::string, worker_view> lastSent;
    std::map<std::string, pool_demand> demands;
    std::map<std::string, double> smoothedDemand;
};

// Measured resource use of a route's tasks, as a ratio to the size that their jobs declare.
struct learned_size
{
    double cores = 1;
    double memory = 1;
};

// Dependencies shared by all parts of the control program.
struct control_context
{
    boost::asio::any_io_executor executor;
    clock_source &clock;
    random_source &random;
    timeline &events;
    metrics_registry &metricsRegistry;
    const control_settings &settings;
    replica &consensus;
    cluster_state_machine &machine;
};

// All state of one leadership that is not replicated. When the leadership ends, `active` becomes
// false; coroutines that still hold the state then return.
struct leader_state
{
    leader_state(control_context &context, std::uint64_t leaderTerm, std::uint64_t number)
        : shared(context)
        , term(leaderTerm)
        , idBase(((leaderTerm << 8U) + number) << 16U)
        , leadershipStart(context.clock.now())
        , scheduleWake(context.clock)
        , reportWake(context.clock)
    {}

    control_context &shared;
    std::uint64_t term;
    // The session ids and list versions of this leadership are above it, and therefore above those
    // of all earlier leaderships.
    std::uint64_t idBase;
    steady_time leadershipStart;
    bool active = true;
    std::map<std::string, std::unique_ptr<worker_state>> workers;
    std::map<std::uint64_t, entry_session> sessions;
    std::uint64_t nextSession = 1;
    // The sessions whose requests workers may accept.
    session_list allowedSessions;
    std::uint64_t viewVersion = 0;

    // By pool.
    std::map<std::string, placement_index> placementIndexes;
    // Workers whose entries in the placement indexes are outdated.
    std::set<std::string> staleWorkers;
    // Task numbers of pending tasks by job, in descending order of priority class.
    std::map<std::pair<int, std::uint64_t>, std::set<std::uint32_t>> pending;
    std::map<std::string, double> usedCoresByTeam;
    // By route.
    std::map<std::string, learned_size> learnedSizes;
    // The response time of workers without interference, by pool.
    std::map<std::string, double> baselineMicroseconds;
    // The number of consecutive windows in which a pool had more service workers than it needs.
    std::map<std::string, std::uint32_t> surplusWindows;
    // The configuration version that the placement indexes were built from.
    std::uint64_t indexedConfigVersion = 0;
    // The worker on which each task failed last.
    std::map<task_id, std::string> lastFailedWorkers;
    // Reports to commit, and the runs (task and epoch) with a report that is not applied yet.
    std::deque<task_report> reports;
    std::set<std::pair<task_id, std::uint64_t>> reportedRuns;
    wake_event scheduleWake;
    wake_event reportWake;
};

using leader_handle = std::shared_ptr<leader_state>;

// Returns the state of a worker, which is created when there is none.
worker_state &findOrAddWorker(leader_state &leader, const std::string &name);

// Returns true while this leadership has not ended and a majority confirms it.
bool isCurrentLeader(const leader_state &leader);

// Returns true while entries may still act on leases of the previous leader.
bool inEntryGracePeriod(const leader_state &leader);

// Returns the wall-clock time in ms since 1970, for time stamps in the replicated state.
std::uint64_t currentWallTimeMs(const leader_state &leader);

// Updates the indexes of the leadership after a command has been applied.
void onCommandApplied(leader_state &leader, const command &change);

// Fills the indexes from the replicated state, at the start of a leadership.
void rebuildIndexes(leader_state &leader);

// Returns true when a worker may get new work: it has reported its runs, responds, is not leaving,
// and its failure domain is in service.
bool isServing(const leader_state &leader, const worker_state &worker);

// Returns the size to use for the placement of a task: the declared size, or a larger one when
// tasks of its route were measured to use more.
task_size effectiveSize(const leader_state &leader, const job_spec &spec);

// Marks a worker's entry in the placement indexes as outdated, so that the next refresh updates it.
void markStale(leader_state &leader, const std::string &worker);

} // namespace mango
