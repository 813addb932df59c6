#pragma once

#include "Entry/entry_state.h"
#include "Wire/rpc.h"

namespace mango {

// Why there is no result of a proposal.
enum class control_failure : std::uint8_t {
    // The command was certainly not committed.
    notCommitted,
    // The command may have been committed; the same one may be proposed again.
    uncertain
};

// Calls the leader of the control replicas, directly or through another replica.
class control_client
{
public:
    control_client(entry_state &entry, network &links);

    // Reports to the leader at the report interval, or at once when a worker has announced itself,
    // and applies the views in its responses. Returns after `deregister` has been called.
    boost::asio::awaitable<void> runReports();
    // Ends the entry's session and gives all credits back, at a planned stop. Tries each replica at
    // most once.
    boost::asio::awaitable<void> deregister();
    // Proposes a command until it is committed or the deadline passes; tries other replicas when
    // one does not respond. Returns the result of the committed command.
    boost::asio::awaitable<result<command_result, control_failure>> propose(command change,
                                                                            steady_time deadline);
    // Returns the state of a job as JSON text, or nothing when the job is unknown. Fails when no
    // leader has responded before the deadline.
    boost::asio::awaitable<result<std::optional<std::string>, control_failure>>
    queryJob(std::uint64_t job, steady_time deadline);
    // Returns what is recorded of the requests with a key; fails as queryJob() does.
    boost::asio::awaitable<result<key_response, control_failure>> queryKey(key_request request,
                                                                           steady_time deadline);

private:
    boost::asio::awaitable<result<response_message, network_failure>> invoke(call message,
                                                                             steady_span timeout);
    boost::asio::awaitable<bool> reportOnce(bool complete);
    void tryNextReplica();

    entry_state &m_entry;
    std::vector<std::shared_ptr<rpc_client>> m_clients;
    std::size_t m_current = 0;
    bool m_stopping = false;
};

} // namespace mango
