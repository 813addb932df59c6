#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "Common/counters.h"
#include "Common/timeline.h"
#include "Common/wake_event.h"
#include "Control/cluster_machine.h"
#include "Control/control_settings.h"
#include "Control/worker_protocol.h"
#include "Scheduling/credits.h"
#include "Scheduling/interference.h"
#include "Scheduling/placement.h"

namespace mango {

// What the leader wants of one placed task and what its worker has confirmed; not durable.
struct task_run
{
    bool startConfirmed = false;
    bool stopWanted = false;
    bool stopWithCheckpoint = false;
    double shareWanted = 1;
    double shareConfirmed = 1;
    std::uint64_t progressMs = 0;
    std::uint64_t checkpointMs = 0;
    double measuredCores = 0;
    std::uint64_t measuredMemory = 0;
};

// How a worker has done with the tasks it was given.
struct worker_health
{
    std::uint32_t consecutiveFailures = 0;
    std::set<std::uint64_t> failedJobs;
    steady_time quarantinedUntil{};
    std::chrono::milliseconds nextQuarantine{0};
    bool onTrial = false;
};

// A worker as the leader sees it; rebuilt from announcements and calls after a change of leader.
struct worker_state
{
    explicit worker_state(clock_source &clock)
        : wake(clock)
    {}

    worker_announcement announced;
    bool agentRunning = false;
    // Since this leader's first call it has told every run it knows.
    bool known = false;
    bool leaving = false;
    steady_time lastAnswer{};
    // Until then it may run tasks that this leader or the one before gave it.
    steady_time leaseEnd{};
    // The same for tasks of a process that had the name before.
    steady_time formerLeaseEnd{};
    bool wasServing = false;
    std::string nonce;
    steady_time nonceAt{};
    credit_account credits;
    std::uint64_t confirmedList = 0;
    std::map<task_id, task_run> runs;
    std::vector<task_order> forgets;
    // The sizes of placed tasks, and of those whose placement is being agreed on.
    task_size placed{0, 0, 0, 0};
    task_size tentative{0, 0, 0, 0};
    std::uint32_t wantedBatchSlots = 0;
    std::optional<task_id> reservedFor;
    steady_time reservedUntil{};
    interference_estimate interference;
    // Kept free of batch work, see service_workers.h.
    bool servicesOnly = false;
    // Answers of the current window, over all entries.
    double windowMicroseconds = 0;
    std::uint32_t windowAnswers = 0;
    worker_health health;
    wake_event wake;
};

// One entry process with a lease on its view.
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
    // What the entry was told of each worker last.
    std::map<std::string, worker_view> sent;
    std::map<std::string, pool_demand> demands;
    std::map<std::string, double> smoothedDemand;
};

// Measured sizes of a route's tasks, as a ratio to what their jobs declare.
struct learned_size
{
    double cores = 1;
    double memory = 1;
};

// What every part of the control program uses.
struct control_context
{
    boost::asio::any_io_executor executor;
    clock_source &clock;
    random_source &random;
    timeline &events;
    counters &counted;
    const control_settings &settings;
    replica &consensus;
    cluster_machine &machine;
};

// All soft state of one leadership. It dies with the leadership; coroutines that outlive it see
// `active` false and end.
struct leader_state
{
    leader_state(control_context &context, std::uint64_t leaderTerm, std::uint64_t number)
        : shared(context)
        , term(leaderTerm)
        , firstNumber(((leaderTerm << 8U) + number) << 16U)
        , since(context.clock.now())
        , scheduleWake(context.clock)
        , reportWake(context.clock)
    {}

    control_context &shared;
    std::uint64_t term;
    // Session ids and list versions of this leadership are above it, and above all earlier ones.
    std::uint64_t firstNumber;
    steady_time since;
    bool active = true;
    std::map<std::string, std::unique_ptr<worker_state>> workers;
    std::map<std::uint64_t, entry_session> sessions;
    std::uint64_t nextSession = 1;
    session_list allowed;
    std::uint64_t viewVersion = 0;

    std::map<std::string, placement_index> rooms;
    std::set<std::string> staleRooms;
    // Pending tasks by the urgency of their job, most urgent first.
    std::map<std::pair<int, std::uint64_t>, std::set<std::uint32_t>> pending;
    std::map<std::string, double> usedCoresByTeam;
    std::map<std::string, learned_size> learned;
    // The answer time of quiet workers of each pool, in microseconds.
    std::map<std::string, double> quietMicroseconds;
    // Windows in a row in which a pool had more service workers than it needs.
    std::map<std::string, std::uint32_t> surplusWindows;
    std::uint64_t roomsVersion = 0;
    std::map<task_id, std::string> lastFailedOn;
    std::deque<task_report> reports;
    std::set<std::pair<task_id, std::uint64_t>> reported;
    wake_event scheduleWake;
    wake_event reportWake;
};

using leader_handle = std::shared_ptr<leader_state>;

// The state of a worker, made when it is not known yet.
worker_state &workerNamed(leader_state &leader, const std::string &name);

// True while the leadership counts: not ended, and confirmed by a majority.
bool stillLeads(const leader_state &leader);

// True while entries of the leader before may still act on what it granted.
bool inEntryGrace(const leader_state &leader);

// The wall time in milliseconds, for records.
std::uint64_t wallMilliseconds(const leader_state &leader);

// Follows an applied command in the indexes of the leadership.
void onCommandApplied(leader_state &leader, const command &change);

// Fills the indexes from the agreed state, at the start of a leadership.
void fillIndexes(leader_state &leader);

// A worker that may be given new work: announced, answering, staying, and in a domain in service.
bool isServing(const leader_state &leader, const worker_state &worker);

// What a task is counted as on a worker: its declared size, or more when its route's tasks have
// been measured to be larger.
task_size effectiveSize(const leader_state &leader, const job_spec &spec);

// Marks a worker's room as changed, so that the next round takes it in.
void markStale(leader_state &leader, const std::string &worker);

} // namespace mango
