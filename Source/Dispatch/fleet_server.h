#pragma once

#include "Common/receipt_tracker.h"
#include "Dispatch/caller_service.h"
#include "Dispatch/relayed_worker_client.h"

namespace mango {

// How many connections of each kind a control process may have open.
struct connection_limits
{
    std::size_t toWorkers = 0;
    // From operators and workers to the HTTP API.
    std::size_t toControl = 0;
};

// Divides the file descriptors of a control process among its kinds of connections. The rest is for
// files, other replicas, gateways and the metrics page.
connection_limits divideConnections(std::size_t available);

// The settings of one control process of the fleet.
struct fleet_settings
{
    // The path of the settings file.
    std::string file;
    std::string cluster;
    std::string logLevel;
    std::string dataFolder;
    // Listens for calls of other control processes and of gateways.
    host_address listen;
    // Listens for HTTP requests of operators and workers.
    host_address control;
    // Serves metrics; port 0 turns that off.
    host_address metrics;
    replica_options replicas;
    dispatch_timing timing;
    connection_limits connections;
    // What the connections from workers and operators hold together.
    std::uint64_t connectionMemory = 64ULL << 20U;
    // What the registered workers hold together.
    registration_limits registrations;
    // What the open jobs hold together.
    open_job_limits openJobs;
    // With more workers the leader calls them through the other replicas.
    std::size_t directWorkers = 600;
    // The time limit of a planned stop.
    std::chrono::milliseconds shutdownTimeout{4000};
};

// Reads and checks the settings file of a control process.
result<fleet_settings, settings_failure> loadFleetSettings(const std::string &path);

// The traffic between control processes and entries.
struct link_totals
{
    std::uint64_t framesIn = 0;
    std::uint64_t reads = 0;
    std::uint64_t framesOut = 0;
    std::uint64_t writes = 0;
};

// One control process of the fleet: its replica, and the dispatch state while it leads.
class fleet_server
{
public:
    fleet_server(boost::asio::any_io_executor executor, clock_source &clock, random_source &random,
                 network &links, disk &files, timeline &events, metrics_registry &metricsRegistry,
                 const fleet_settings &settings, worker_client &workers);
    ~fleet_server();

    // Loads the data folder and listens for calls of other processes; fails with the setting that
    // cannot be used.
    boost::asio::awaitable<result<done, settings_failure>> start();
    // Hands leadership over and stops.
    boost::asio::awaitable<void> stop();
    // Serves a request that this process has received itself: locally when it leads, else by the
    // leader. `receivedAfter` is what receiptMark() returned when the request was read.
    boost::asio::awaitable<fleet_response> serve(fleet_request request,
                                                 std::uint64_t receivedAfter);
    boost::asio::awaitable<fleet_response> serve(fleet_call call);
    // The number of commands that were certainly applied before any request arrived that is read
    // now.
    [[nodiscard]] std::uint64_t receiptMark() const
    {
        return m_receipts.knownBeforeReceipt();
    }
    // True while this process holds the leader lease and no worker has accepted a newer leader.
    [[nodiscard]] bool hasLeaderLease() const
    {
        return m_leadership && holdsLeadership(*m_leadership);
    }
    [[nodiscard]] const fleet_state &state() const
    {
        return m_machine.state();
    }
    [[nodiscard]] replica_status replicaStatus() const
    {
        return m_replica.status();
    }
    // Replaces the seed addresses at which other replicas are looked for.
    void setSeeds(std::vector<host_address> seeds)
    {
        m_replica.setSeeds(std::move(seeds));
    }
    // The address of the leader for calls between processes; port 0 when it is not known.
    [[nodiscard]] host_address leaderAddress() const
    {
        return m_replica.leaderAddress();
    }
    // The address, for calls between processes, of the replica that a worker should send its next
    // heartbeats to: the leader, or with many workers a relay; port 0 when it is not known.
    [[nodiscard]] host_address heartbeatAddress(const std::string &worker) const;

private:
    boost::asio::awaitable<response_message> handleCall(call message);
    boost::asio::awaitable<fleet_response> serveOrForward(fleet_call call);
    boost::asio::awaitable<fleet_response> serveLocally(fleet_call call);
    // Answers an operator's order or read of the configuration and logs how.
    boost::asio::awaitable<fleet_response> serveOperator(fleet_call call);
    [[nodiscard]] bool isInForce(const fleet_request &request) const;
    boost::asio::awaitable<fleet_response> forwardToLeader(fleet_call forwarded);
    boost::asio::awaitable<void> watchLeadership();
    void recordLag(steady_span lag);
    void recordLease();
    void recordWork();
    void updateRelays();
    [[nodiscard]] bool usesRelays() const;
    [[nodiscard]] std::vector<host_address> steadyReplicas();
    boost::asio::awaitable<response_message> relayWorkerCall(worker_call request);
    [[nodiscard]] bool isUnchanged(const worker_heartbeat &heartbeat) const;
    void beginLeadership();
    void endLeadership();
    void describeGroup(fleet_response &response) const;

    fleet_settings m_settings;
    network &m_links;
    timeline &m_events;
    work_meter m_work;
    fleet_state_machine m_machine;
    replica m_replica;
    worker_client &m_directWorkers;
    relayed_worker_client m_relayedWorkers;
    transit_monitor m_transits;
    receipt_tracker m_receipts;
    dispatch_context m_context;
    // Since when each of the other replicas has responded without a longer pause.
    std::map<host_address, steady_time> m_respondingSince;
    dispatch_handle m_leadership;
    std::map<host_address, std::shared_ptr<rpc_client>> m_clients;
    bool m_stopping = false;
    // How late watchLeadership() woke up, at most, since the last report.
    steady_span m_longestLag{0};
    steady_time m_lagReportedAt{};
    // As of the last report.
    work_totals m_reportedWork;
    steady_span m_reportedProcessorTime{0};
    link_totals m_reportedLinks;
    steady_time m_workReportedAt{};
    bool m_leaseHeld = false;
    steady_time m_leaseChangedAt{};
};

} // namespace mango
