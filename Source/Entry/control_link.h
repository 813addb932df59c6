#pragma once

#include "Entry/entry_state.h"
#include "Wire/rpc.h"

namespace mango {

// Why the control program gave no verdict on a proposal.
enum class control_failure : std::uint8_t {
    // It certainly was not taken.
    notTaken,
    // It may have been taken; the same proposal may be sent again.
    uncertain
};

// Calls whichever control replica leads now, directly or through another replica.
class control_link
{
public:
    control_link(entry_state &entry, network &links);

    // Reports to the leader again and again, and takes in the views it answers with.
    boost::asio::awaitable<void> runReports();
    // Gives all credits back at a planned stop.
    boost::asio::awaitable<void> sayGoodbye();
    // Has a command agreed on, before the deadline; asks other replicas when one does not answer.
    boost::asio::awaitable<result<command_result, control_failure>> propose(command change,
                                                                            steady_time deadline);
    // The state of a job as JSON text; nothing when it is not known there.
    boost::asio::awaitable<result<std::optional<std::string>, control_failure>>
    askJob(std::uint64_t job, steady_time deadline);

private:
    boost::asio::awaitable<result<answer_message, network_failure>> invoke(call message,
                                                                           steady_span timeout);
    boost::asio::awaitable<bool> reportOnce(bool complete);
    void tryNextReplica();

    entry_state &m_entry;
    std::vector<std::shared_ptr<rpc_client>> m_clients;
    std::size_t m_current = 0;
    bool m_stopping = false;
};

} // namespace mango
