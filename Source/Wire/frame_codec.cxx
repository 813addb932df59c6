#include "Wire/frame_codec.h"

#include <boost/crc.hpp>

#include "Wire/codec.h"

namespace mango {

namespace {

// Starts every header, so that foreign data is told apart from another protocol version.
constexpr std::uint32_t frameMagic = 0x4f474e4d;

network_failure refuse(network_failure::kind reason, const std::string &detail)
{
    return {reason, {}, detail};
}

} // namespace

std::uint32_t crc32Of(std::string_view bytes)
{
    boost::crc_32_type crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

std::uint32_t clusterChecksum(const std::string &clusterName)
{
    return crc32Of(clusterName);
}

std::string encodeFrame(const frame &message, std::uint32_t cluster)
{
    frame_header header;
    header.isResponse = message.isResponse ? 1 : 0;
    header.cluster = cluster;
    header.payloadBytes = static_cast<std::uint32_t>(message.payload.size());
    header.checksum = crc32Of(message.payload);
    header.correlation = message.correlation;
    header.timestamp = message.timestamp;
    return encode(std::pair(frameMagic, header)) + message.payload;
}

result<frame_header, network_failure> decodeHeader(std::string_view bytes, std::uint32_t cluster)
{
    std::pair<std::uint32_t, frame_header> read;
    if (!decode(bytes, read) || read.first != frameMagic) {
        return refuse(network_failure::kind::invalidFrame, "not a frame header");
    }
    const frame_header &header = read.second;
    if (header.version != protocolVersion) {
        return refuse(network_failure::kind::versionMismatch,
                      "the peer uses protocol version " + std::to_string(header.version));
    }
    if (header.cluster != cluster) {
        return refuse(network_failure::kind::clusterMismatch,
                      "the peer belongs to a cluster of another name");
    }
    if (header.payloadBytes > maximumFramePayloadBytes) {
        return refuse(network_failure::kind::tooLarge,
                      std::to_string(header.payloadBytes) + " bytes");
    }
    return header;
}

result<frame, network_failure> joinFrame(const frame_header &header, std::string payload)
{
    if (crc32Of(payload) != header.checksum) {
        return refuse(network_failure::kind::invalidFrame, "payload checksum mismatch");
    }
    return frame{header.correlation, header.timestamp, header.isResponse != 0, std::move(payload)};
}

} // namespace mango
