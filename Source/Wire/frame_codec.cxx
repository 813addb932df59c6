#include "Wire/frame_codec.h"

#include <array>

#include "Wire/codec.h"

namespace mango {

namespace {

// Starts every header, so that foreign data is told apart from another protocol version.
constexpr std::uint32_t frameMagic = 0x4f474e4d;

// Tables of the CRC-32 (IEEE 802.3, reflected): entry [n][b] is the effect of byte b followed by n
// zero bytes, so that eight bytes are processed at a time.
using crc_tables = std::array<std::array<std::uint32_t, 256>, sizeof(std::uint64_t)>;

constexpr crc_tables makeCrcTables()
{
    crc_tables tables{};
    for (std::uint32_t byte = 0; byte < 256; ++byte) {
        std::uint32_t crc = byte;
        for (int bit = 0; bit < 8; ++bit) {
            crc = crc >> 1U ^ ((crc & 1U) != 0 ? 0xedb88320U : 0U);
        }
        tables[0][byte] = crc;
    }
    for (std::size_t zeros = 1; zeros < tables.size(); ++zeros) {
        for (std::uint32_t byte = 0; byte < 256; ++byte) {
            const std::uint32_t before = tables[zeros - 1][byte];
            tables[zeros][byte] = before >> 8U ^ tables[0][before & 0xffU];
        }
    }
    return tables;
}

constexpr crc_tables crcTables = makeCrcTables();

network_failure refuse(network_failure::kind reason, const std::string &detail)
{
    return {reason, {}, detail};
}

} // namespace

std::uint32_t crc32Of(std::string_view bytes)
{
    std::uint32_t crc = 0xffffffffU;
    while (bytes.size() >= sizeof(std::uint64_t)) {
        std::uint64_t next = 0;
        std::memcpy(&next, bytes.data(), sizeof next);
        next ^= crc;
        crc = 0;
        for (std::size_t place = 0; place < sizeof next; ++place) {
            crc ^= crcTables[sizeof next - 1 - place][next >> (8 * place) & 0xffU];
        }
        bytes.remove_prefix(sizeof next);
    }
    for (const char byte : bytes) {
        crc = crc >> 8U ^ crcTables[0][(crc ^ static_cast<unsigned char>(byte)) & 0xffU];
    }
    return ~crc;
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
    std::string bytes;
    bytes.reserve(frameHeaderBytes + message.payload.size());
    appendEncoded(bytes, std::pair(frameMagic, header));
    bytes += message.payload;
    return bytes;
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
