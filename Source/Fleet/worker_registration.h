#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "Fleet/fleet_state.h"

namespace mango {

// The largest body of a heartbeat that is decoded.
inline constexpr std::size_t maximumHeartbeatBytes = 64U << 10U;
// The largest id, service and failure domain of a worker, each.
inline constexpr std::size_t maximumWorkerNameBytes = 255;
// What the labels of one worker may have.
inline constexpr std::size_t maximumWorkerLabels = 256;
inline constexpr std::size_t maximumWorkerLabelBytes = 16U << 10U;

// What the registered workers of a replica may hold together.
struct registration_limits
{
    std::uint64_t bytes = 32ULL << 20U;
};

// Returns the limit for a process on a machine with that memory in bytes: an eighth of it.
registration_limits limitRegistrations(std::uint64_t memoryBytes);

// Returns why a worker with these properties is not registered, for its sender; empty when the
// properties are within the limits.
std::string describeExcess(const worker_record &record);

// Returns how many bytes of memory the record holds, beyond its own size.
std::uint64_t heapBytesOf(const worker_record &record);

// Returns how many bytes a registered worker holds in the process that leads: its replicated
// record, the leader's copy, its session and its connection.
std::uint64_t registeredBytes(const worker_record &record);

enum class registration_verdict : std::uint8_t {
    admitted,
    // No route of the configuration leads to the service, and no known job is for it.
    unknownService,
    // The registered workers hold as much as they may.
    noRoom
};

// Decides whether a heartbeat may be recorded. `heldBytes` is what the registered workers hold
// together. Later heartbeats of registered workers are admitted, unless they ask for more room than
// there is. Before the first configuration, each service may turn out to be named by it.
registration_verdict judgeRegistration(const fleet_state &state, const worker_record &record,
                                       std::uint64_t heldBytes, const registration_limits &limits);

} // namespace mango
