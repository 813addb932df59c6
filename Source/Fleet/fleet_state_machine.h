#pragma once

#include <functional>

#include "Consensus/replica.h"
#include "Fleet/open_job_account.h"
#include "Fleet/run_sightings.h"

namespace mango {

// Applies committed commands to the fleet's state on a replica. Notifies an observer of each
// command so that the leader can update its indexes without scanning the whole state.
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

    // Replaces the observer. It is called after each applied command; an empty one disables it.
    void observe(observer callback);
    [[nodiscard]] const fleet_state &state() const
    {
        return m_state;
    }
    // Returns the local time at which this process first saw the job, or the current time for an
    // unknown job. Not replicated, so replicas differ; use it only to order work.
    [[nodiscard]] steady_time knownSince(std::uint64_t job) const;

    // What this process has seen of the runs in progress. Not replicated.
    [[nodiscard]] const run_sightings &sightings() const
    {
        return m_sightings;
    }

    // Returns what the registered workers hold together (Fleet/worker_registration.h).
    [[nodiscard]] std::uint64_t workerBytes() const
    {
        return m_workerBytes;
    }

    // What the open jobs hold together.
    [[nodiscard]] open_job_account &openJobs()
    {
        return m_openJobs;
    }

private:
    void updateOpenJobs(const fleet_command &change);
    [[nodiscard]] std::uint64_t workerBytesOf(const std::string &id) const;

    const clock_source &m_clock;
    fleet_state m_state;
    std::uint64_t m_workerBytes = 0;
    open_job_account m_openJobs;
    std::map<std::uint64_t, steady_time> m_knownSince;
    run_sightings m_sightings;
    observer m_observer;
};

// Encodes a command for the replicated log, and decodes it; decoding returns false when the bytes
// are not a command.
std::string encodeFleetCommand(const fleet_command &change);
bool decodeFleetCommand(const std::string &bytes, fleet_command &change);

} // namespace mango
