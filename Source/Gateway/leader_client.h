#pragma once

#include <set>

#include "Common/counters.h"
#include "Wire/rpc.h"

namespace mango {

// Finds the control's leader from a few seeds, keeps learning where the group is, and has the
// leader serve calls.
class leader_client
{
public:
    leader_client(boost::asio::any_io_executor executor, clock_source &clock, network &links,
                  causal_clock &stamps, counters &counted, std::vector<host_address> seeds);

    // Keeps in touch until the process ends.
    boost::asio::awaitable<void> run();
    // Has the leader serve a call, for the span at most. While nobody leads it is tried again for
    // `patience`; the answer is `uncertain` when the leader may have acted on it.
    boost::asio::awaitable<fleet_answer> serve(fleet_request request, steady_span patience,
                                               steady_span timeout);
    // Learns of replicas from other seeds from now on.
    void useSeeds(std::vector<host_address> seeds);
    // True when the leader answered a moment ago.
    [[nodiscard]] bool isLeaderReachable() const;
    // Where the leader was last seen; no port when it is not known.
    [[nodiscard]] const host_address &leader() const
    {
        return m_leader;
    }
    [[nodiscard]] steady_time now() const
    {
        return m_clock.now();
    }
    // The limits of callers in the configuration that was last seen.
    [[nodiscard]] const caller_limits &limits() const
    {
        return m_limits;
    }
    // Called when the limits change.
    std::function<void(const caller_limits &)> onLimits;

private:
    struct attempt;

    boost::asio::awaitable<attempt> tryOnce(const fleet_request &request, steady_span timeout);
    std::shared_ptr<rpc_client> clientOf(const host_address &address);
    host_address nextContact();
    void learn(const fleet_answer &answer, const host_address &from);

    boost::asio::any_io_executor m_executor;
    clock_source &m_clock;
    network &m_links;
    causal_clock &m_stamps;
    counters &m_counted;
    std::vector<host_address> m_seeds;
    std::vector<host_address> m_contacts;
    std::size_t m_nextContact = 0;
    host_address m_leader;
    steady_time m_inTouchAt{};
    caller_limits m_limits;
    std::map<host_address, std::shared_ptr<rpc_client>> m_clients;
};

} // namespace mango
