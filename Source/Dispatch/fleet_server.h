#pragma once

#include "Dispatch/caller_service.h"

namespace mango {

// The settings of one process that takes part in deciding where jobs run.
struct fleet_settings
{
    // Where they were read from.
    std::string file;
    std::string cluster;
    std::string logLevel;
    std::string dataFolder;
    // For calls between processes.
    host_address listen;
    // For operators and workers.
    host_address control;
    // For metrics; without a port they are not served.
    host_address metrics;
    replica_options replicas;
    dispatch_timing timing;
    // Planned stops end by then.
    std::chrono::milliseconds stopTime{4000};
};

// Reads and checks the settings file of such a process.
result<fleet_settings, settings_failure> loadFleetSettings(const std::string &path);

// One process of the fleet's control: its replica, and the leadership while it leads.
class fleet_server
{
public:
    fleet_server(boost::asio::any_io_executor executor, clock_source &clock, random_source &random,
                 network &links, disk &files, timeline &events, counters &counted,
                 const fleet_settings &settings, worker_calls &workers);
    ~fleet_server();

    // Loads the data folder and listens for other processes.
    boost::asio::awaitable<result<done, settings_failure>> start();
    // Hands leadership over and ends.
    boost::asio::awaitable<void> stop();
    // Serves a call here when this process leads, else has the leader serve it.
    boost::asio::awaitable<fleet_answer> serve(fleet_request request);
    // True while this process certainly leads.
    [[nodiscard]] bool leads() const
    {
        return m_leader && mayAct(*m_leader);
    }
    [[nodiscard]] const fleet_state &state() const
    {
        return m_machine.state();
    }
    [[nodiscard]] replica_status replicaStatus() const
    {
        return m_replica.status();
    }
    // Learns of replicas from other seeds from now on.
    void setSeeds(std::vector<host_address> seeds)
    {
        m_replica.setSeeds(std::move(seeds));
    }
    // The leader's address between processes; empty when it is not known.
    [[nodiscard]] host_address leaderAddress() const
    {
        return m_replica.leaderAddress();
    }

private:
    boost::asio::awaitable<answer_message> handleCall(call message);
    boost::asio::awaitable<fleet_answer> serveHere(fleet_request request);
    boost::asio::awaitable<fleet_answer> passOn(fleet_request request);
    boost::asio::awaitable<void> followLeadership();
    void beginLeadership();
    void endLeadership();
    void describeGroup(fleet_answer &answer) const;

    fleet_settings m_settings;
    network &m_links;
    timeline &m_events;
    fleet_machine m_machine;
    replica m_replica;
    dispatch_context m_context;
    dispatch_handle m_leader;
    std::map<host_address, std::shared_ptr<rpc_client>> m_clients;
    bool m_stopping = false;
};

} // namespace mango
