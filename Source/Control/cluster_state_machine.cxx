#include "Control/cluster_state_machine.h"

namespace mango {

std::optional<std::any> cluster_state_machine::apply(std::uint64_t /*index*/,
                                                     const std::string &payload)
{
    command change;
    if (!decodeCommand(payload, change)) {
        return std::nullopt;
    }
    command_result outcome = mango::apply(m_state, change);
    if (m_observer) {
        m_observer(change, outcome);
    }
    return outcome;
}

std::string cluster_state_machine::saveSnapshot()
{
    return encodeState(m_state);
}

bool cluster_state_machine::loadSnapshot(const std::string &bytes)
{
    cluster_state loaded;
    if (!decodeState(bytes, loaded)) {
        return false;
    }
    m_state = std::move(loaded);
    return true;
}

void cluster_state_machine::setObserver(observer callback)
{
    m_observer = std::move(callback);
}

boost::asio::awaitable<result<command_result, propose_failure>> proposeCommand(replica &consensus,
                                                                               command change)
{
    auto proposed = co_await consensus.propose(encodeCommand(change));
    if (failed(proposed)) {
        co_return failureOf(proposed);
    }
    co_return std::any_cast<command_result>(std::move(valueOf(proposed)));
}

} // namespace mango
