#pragma once

#include <memory>

#include "Control/leader_state.h"
#include "Http/http_server.h"
#include "Storage/data_folder.h"

namespace mango {

// A control process: a replica of the cluster state, and the scheduler while the replica is the
// leader.
class control_server
{
public:
    control_server(boost::asio::any_io_executor executor, clock_source &clock,
                   random_source &random, network &links, disk &files, timeline &events,
                   metrics_registry &metricsRegistry, const control_settings &settings,
                   std::string token);
    ~control_server();

    // Loads the data folder and starts to listen; on failure, returns the setting that is wrong.
    boost::asio::awaitable<result<done, settings_failure>> start();
    // Finishes the open requests of the administration API, transfers the leadership to another
    // replica and stops.
    boost::asio::awaitable<void> stop();

private:
    boost::asio::awaitable<response_message> handleCall(call message);
    boost::asio::awaitable<response_message> handleAsLeader(leader_handle leader,
                                                            call_message message);
    boost::asio::awaitable<response_message> forwardToLeader(call message);
    boost::asio::awaitable<void> watchLeadership();
    void beginLeadership();
    void endLeadership();

    control_context m_context;
    network &m_links;
    cluster_state_machine m_machine;
    replica m_replica;
    std::string m_token;
    std::unique_ptr<http_server> m_admin;
    leader_handle m_leader;
    std::uint64_t m_leadershipCount = 0;
    std::map<host_address, std::shared_ptr<rpc_client>> m_leaderClients;
    bool m_stopping = false;
};

} // namespace mango
