#pragma once

#include <set>

#include "Common/metrics_registry.h"
#include "Common/receipt_tracker.h"
#include "Wire/rpc.h"

namespace mango {

// Finds the leader of the control replicas through seed addresses, follows changes of the leader
// and of the group's members, and sends calls to the leader.
class leader_client
{
public:
    leader_client(boost::asio::any_io_executor executor, clock_source &clock, network &links,
                  causal_clock &stamps, metrics_registry &metricsRegistry,
                  std::vector<host_address> seeds);

    // Probes the leader at an interval until the process ends.
    boost::asio::awaitable<void> run();
    // Tracks for receiptMark() what this process knows, until it ends.
    boost::asio::awaitable<void> trackReceipts();
    // The number of commands that the leader had certainly applied before any request arrived at
    // this process that is read now.
    [[nodiscard]] std::uint64_t receiptMark() const
    {
        return m_receipts.knownBeforeReceipt();
    }
    // Sends a call to the leader and returns its response, within `timeout`. While there is no
    // leader the call is retried for `leaderTimeout`, then the outcome is `unavailable`. The
    // outcome is `uncertain` when there was no response but the leader may have executed the call.
    // The call's `receivedAfter` is what receiptMark() returned when the request was read.
    boost::asio::awaitable<fleet_response> serve(fleet_call request, steady_span leaderTimeout,
                                                 steady_span timeout);
    // Replaces the seed addresses; the replicas known so far stay known.
    void setSeeds(std::vector<host_address> seeds);
    // Whether the leader has responded within the last 1.5 s.
    [[nodiscard]] bool isLeaderReachable() const;
    // The last known address of the leader; its port is 0 when it is unknown.
    [[nodiscard]] const host_address &leader() const
    {
        return m_leader;
    }
    [[nodiscard]] steady_time now() const
    {
        return m_clock.now();
    }
    // The limits for callers in the last received configuration.
    [[nodiscard]] const caller_limits &limits() const
    {
        return m_limits;
    }
    // Called with the new limits when they change.
    std::function<void(const caller_limits &)> onLimits;

private:
    struct attempt;

    boost::asio::awaitable<attempt> tryOnce(const fleet_call &request, steady_span timeout);
    std::shared_ptr<rpc_client> clientOf(const host_address &address);
    host_address nextReplica();
    void updateFromResponse(const fleet_response &response, const host_address &from);

    boost::asio::any_io_executor m_executor;
    clock_source &m_clock;
    network &m_links;
    causal_clock &m_stamps;
    metrics_registry &m_metricsRegistry;
    std::vector<host_address> m_seeds;
    std::vector<host_address> m_replicas;
    std::size_t m_nextReplica = 0;
    host_address m_leader;
    steady_time m_lastLeaderResponse{};
    caller_limits m_limits;
    // The greatest number of applied commands that any response has told.
    std::uint64_t m_commandsApplied = 0;
    receipt_tracker m_receipts;
    std::map<host_address, std::shared_ptr<rpc_client>> m_clients;
};

} // namespace mango
