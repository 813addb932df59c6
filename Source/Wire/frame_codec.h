#pragma once

#include <optional>
#include <string>

#include "Wire/network.h"

namespace mango {

// The largest payload of one frame, in bytes.
inline constexpr std::size_t maximumFramePayloadBytes = 32ULL << 20U;

// The version of the messages between processes; another version is refused.
inline constexpr std::uint16_t protocolVersion = 1;

// The bytes of a frame header, which stands before each payload.
inline constexpr std::size_t frameHeaderBytes = 36;

// What a frame header says of the payload that follows it.
struct frame_header
{
    std::uint16_t version = protocolVersion;
    std::uint8_t answer = 0;
    std::uint32_t cluster = 0;
    std::uint32_t payloadBytes = 0;
    std::uint32_t checksum = 0;
    std::uint64_t correlation = 0;
    std::uint64_t stamp = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(version, answer, cluster, payloadBytes, checksum, correlation, stamp);
    }
};

// CRC-32 of the bytes.
std::uint32_t crc32Of(std::string_view bytes);

// The number that stands for a cluster name in each frame.
std::uint32_t clusterChecksum(const std::string &clusterName);

// Header and payload as bytes.
std::string encodeFrame(const frame &message, std::uint32_t cluster);

// Reads a header of frameHeaderBytes bytes; fails on another version or cluster and on a payload
// that is too large.
result<frame_header, network_failure> decodeHeader(std::string_view bytes, std::uint32_t cluster);

// Joins a header with its payload; fails when the checksum differs.
result<frame, network_failure> joinFrame(const frame_header &header, std::string payload);

} // namespace mango
