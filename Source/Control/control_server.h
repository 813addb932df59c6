#pragma once

#include <memory>

#include "Control/leader_state.h"
#include "Http/http_server.h"
#include "Storage/data_folder.h"

namespace mango {

// One control process: its replica, and the leadership while it leads.
class control_server
{
public:
    control_server(boost::asio::any_io_executor executor, clock_source &clock,
                   random_source &random, network &links, disk &files, timeline &events,
                   counters &counted, const control_settings &settings, std::string token);
    ~control_server();

    // Loads the data folder and listens; the failure names what is wrong.
    boost::asio::awaitable<result<done, settings_failure>> start();
    // Hands leadership over and ends.
    boost::asio::awaitable<void> stop();

private:
    boost::asio::awaitable<answer_message> handleCall(call message);
    boost::asio::awaitable<answer_message> handleAsLeader(leader_handle leader,
                                                          call_message message);
    boost::asio::awaitable<answer_message> relay(call message);
    boost::asio::awaitable<void> followLeadership();
    void beginLeadership();
    void endLeadership();

    control_context m_context;
    network &m_links;
    cluster_state_machine m_machine;
    replica m_replica;
    std::string m_token;
    std::unique_ptr<http_server> m_admin;
    leader_handle m_leader;
    std::uint64_t m_leaderships = 0;
    std::map<host_address, std::shared_ptr<rpc_client>> m_relays;
    bool m_stopping = false;
};

} // namespace mango
