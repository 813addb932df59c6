#pragma once

#include <functional>

#include "Consensus/replica.h"
#include "Fleet/fleet_state.h"

namespace mango {

// The fleet's state as the state machine of a replica. Tells an observer of each change, so that
// the leader keeps its indexes without looking through the whole state.
class fleet_state_machine final : public state_machine
{
public:
    using observer = std::function<void(const fleet_command &change, fleet_command_result outcome)>;

    explicit fleet_state_machine(const clock_source &clock)
        : m_clock(clock)
    {}

    std::optional<std::any> apply(std::uint64_t index, const std::string &payload) override;
    std::string saveSnapshot() override;
    bool loadSnapshot(const std::string &bytes) override;

    void observe(observer watching);
    [[nodiscard]] const fleet_state &state() const
    {
        return m_state;
    }
    // When this process learned of the job. Not agreed on: it only orders work.
    [[nodiscard]] steady_time knownSince(std::uint64_t job) const;

private:
    const clock_source &m_clock;
    fleet_state m_state;
    std::map<std::uint64_t, steady_time> m_knownSince;
    observer m_observer;
};

// A command as log bytes, and back; false when the bytes are not a command.
std::string encodeFleetCommand(const fleet_command &change);
bool decodeFleetCommand(const std::string &bytes, fleet_command &change);

} // namespace mango
