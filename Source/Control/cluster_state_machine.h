#pragma once

#include <functional>

#include "Consensus/replica.h"
#include "State/cluster_state.h"

namespace mango {

// The state machine of a replica: applies committed commands to the replicated state. It notifies
// an observer of each command, so that the leader can update its indexes without a scan of the
// whole state.
class cluster_state_machine final : public state_machine
{
public:
    using observer = std::function<void(const command &change, const command_result &outcome)>;

    // Applies an encoded command and returns its command_result; empty if it cannot be decoded.
    std::optional<std::any> apply(std::uint64_t index, const std::string &payload) override;
    std::string saveSnapshot() override;
    // Replaces the state by that of a snapshot; returns false and keeps the state if the snapshot
    // cannot be decoded.
    bool loadSnapshot(const std::string &bytes) override;

    // Sets the function that is called after each applied command. A snapshot does not call it.
    void setObserver(observer callback);
    [[nodiscard]] const cluster_state &state() const
    {
        return m_state;
    }

private:
    cluster_state m_state;
    observer m_observer;
};

// Proposes a command to the replicas and waits until it is committed and applied. Returns the
// result of the command, or why it is not known to have been committed.
boost::asio::awaitable<result<command_result, propose_failure>> proposeCommand(replica &consensus,
                                                                               command change);

} // namespace mango
