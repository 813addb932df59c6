#pragma once

#include <optional>
#include <string>

#include "Wire/network.h"

namespace mango {

// The largest payload of one frame.
inline constexpr std::size_t maximumFramePayloadBytes = 32ULL << 20U;

// The version of the protocol between processes; frames of another version are rejected.
inline constexpr std::uint16_t protocolVersion = 1;

// The size of the encoded header that precedes each payload.
inline constexpr std::size_t frameHeaderBytes = 36;

// The header of a frame. `cluster` is the clusterChecksum() of the sender's cluster name,
// `checksum` the CRC-32 of the payload.
struct frame_header
{
    std::uint16_t version = protocolVersion;
    std::uint8_t isResponse = 0;
    std::uint32_t cluster = 0;
    std::uint32_t payloadBytes = 0;
    std::uint32_t checksum = 0;
    std::uint64_t correlation = 0;
    std::uint64_t timestamp = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(version, isResponse, cluster, payloadBytes, checksum, correlation, timestamp);
    }
};

// Computes the CRC-32 of the bytes.
std::uint32_t crc32Of(std::string_view bytes);

// The CRC-32 of the cluster name, by which a frame header identifies the cluster.
std::uint32_t clusterChecksum(const std::string &clusterName);

// Encodes a frame: its header, then its payload.
std::string encodeFrame(const frame &message, std::uint32_t cluster);

// Decodes a header of frameHeaderBytes bytes; fails when it is invalid, has another protocol
// version or cluster, or announces more than maximumFramePayloadBytes.
result<frame_header, network_failure> decodeHeader(std::string_view bytes, std::uint32_t cluster);

// Combines a header with its payload; fails when the checksum of the payload does not match.
result<frame, network_failure> joinFrame(const frame_header &header, std::string payload);

} // namespace mango
