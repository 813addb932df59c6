#pragma once

#include <functional>

#include "Consensus/replica.h"
#include "State/cluster_state.h"

namespace mango {

// The agreed state as the state machine of a replica. Tells an observer of each change, so that
// the leader keeps its indexes without looking through the whole state.
class cluster_machine final : public state_machine
{
public:
    using observer = std::function<void(const command &change, const command_result &outcome)>;

    std::optional<std::any> apply(std::uint64_t index, const std::string &payload) override;
    std::string saveSnapshot() override;
    bool loadSnapshot(const std::string &bytes) override;

    void observe(observer watching);
    [[nodiscard]] const cluster_state &state() const
    {
        return m_state;
    }

private:
    cluster_state m_state;
    observer m_observer;
};

// Has a command agreed on by the replicas that hold such a state; the verdict is the state's.
boost::asio::awaitable<result<command_result, propose_failure>> proposeCommand(replica &consensus,
                                                                               command change);

} // namespace mango
