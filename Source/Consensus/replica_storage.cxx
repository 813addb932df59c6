#include "Consensus/replica_storage.h"

#include <algorithm>
#include <set>

#include "Wire/codec.h"
#include "Wire/frame_codec.h"

namespace mango {

namespace asio = boost::asio;

namespace {

constexpr const char *identityFile = "identity";
constexpr const char *voteFile = "vote";
constexpr const char *snapshotFile = "snapshot";
constexpr const char *logPrefix = "log-";
constexpr std::size_t recordHeaderBytes = 12;

std::uint32_t readUint32(const std::string &bytes, std::size_t at)
{
    std::uint32_t number = 0;
    std::memcpy(&number, bytes.data() + at, sizeof number);
    return number;
}

// Encodes a value and prepends its checksum.
template<class Value>
std::string withChecksum(const Value &value)
{
    const std::string bytes = encode(value);
    const std::uint32_t checksum = crc32Of(bytes);
    return std::string(reinterpret_cast<const char *>(&checksum), sizeof checksum) + bytes;
}

template<class Value>
bool decodeWithChecksum(const std::string &bytes, Value &value)
{
    if (bytes.size() < sizeof(std::uint32_t)) {
        return false;
    }
    const std::string_view content = std::string_view(bytes).substr(sizeof(std::uint32_t));
    return crc32Of(content) == readUint32(bytes, 0) && decode(content, value);
}

// Reads a file written by withChecksum() into the value; leaves the value unchanged when the file
// does not exist.
template<class Value>
asio::awaitable<result<done, disk_failure>> loadChecksummed(disk &files, std::string name,
                                                            Value &value)
{
    auto content = co_await files.read(name);
    if (failed(content)) {
        co_return failureOf(content);
    }
    if (valueOf(content) && !decodeWithChecksum(*valueOf(content), value)) {
        co_return disk_failure{disk_failure::kind::corrupt, name, "wrong checksum"};
    }
    co_return done{};
}

// An intact record of the log, with its write number and encoded size.
struct log_record
{
    log_entry entry;
    std::uint32_t write = 0;
    std::size_t bytes = 0;
};

std::optional<log_record> readRecord(const std::string &bytes, std::size_t at)
{
    if (bytes.size() - at < recordHeaderBytes) {
        return std::nullopt;
    }
    const std::size_t length = readUint32(bytes, at);
    if (length == 0 || length > bytes.size() - at - recordHeaderBytes) {
        return std::nullopt;
    }
    const std::size_t checksummedStart = at + recordHeaderBytes - sizeof(std::uint32_t);
    const std::string_view checked(bytes.data() + checksummedStart, sizeof(std::uint32_t) + length);
    log_record found;
    if (crc32Of(checked) != readUint32(bytes, at + 4)
        || !decode(checked.substr(sizeof(std::uint32_t)), found.entry)) {
        return std::nullopt;
    }
    found.write = readUint32(bytes, checksummedStart);
    found.bytes = recordHeaderBytes + length;
    return found;
}

// Returns true when records of more than one write follow the position. The bytes at the position
// were then synced to disk and damaged later. Records of a single write belong to the last write,
// which was never acknowledged.
bool syncedRecordsFollow(const std::string &bytes, std::size_t position)
{
    std::set<std::uint32_t> writes;
    for (std::size_t at = position + 1; at + recordHeaderBytes < bytes.size(); ++at) {
        if (const auto found = readRecord(bytes, at)) {
            writes.insert(found->write);
            at += found->bytes - 1;
        }
    }
    return writes.size() > 1;
}

} // namespace

std::string encodeRecord(const log_entry &entry, std::uint32_t write)
{
    const std::string content =
            std::string(reinterpret_cast<const char *>(&write), sizeof write) + encode(entry);
    const std::uint32_t head[2] = {static_cast<std::uint32_t>(content.size() - sizeof write),
                                   crc32Of(content)};
    return std::string(reinterpret_cast<const char *>(head), sizeof head) + content;
}

decoded_records decodeRecords(const std::string &bytes)
{
    decoded_records decoded;
    while (auto found = readRecord(bytes, decoded.consumed)) {
        decoded.entries.push_back(std::move(found->entry));
        decoded.lastWrite = found->write;
        decoded.consumed += found->bytes;
    }
    return decoded;
}

replica_storage::replica_storage(disk &files)
    : m_files(files)
{}

asio::awaitable<result<stored_replica, disk_failure>> replica_storage::load(std::string newIdentity)
{
    stored_replica loaded;
    const auto identity = co_await loadChecksummed(m_files, identityFile, loaded.identity);
    if (failed(identity)) {
        co_return failureOf(identity);
    }
    if (loaded.identity.empty()) {
        loaded.identity = newIdentity;
        const auto saved = co_await m_files.replace(identityFile, withChecksum(newIdentity));
        if (failed(saved)) {
            co_return failureOf(saved);
        }
    }
    const auto vote = co_await loadChecksummed(m_files, voteFile, loaded.vote);
    if (failed(vote)) {
        co_return failureOf(vote);
    }
    const auto snapshot = co_await loadChecksummed(m_files, snapshotFile, loaded.snapshot);
    if (failed(snapshot)) {
        co_return failureOf(snapshot);
    }
    const auto log = co_await loadLog(loaded);
    if (failed(log)) {
        co_return failureOf(log);
    }
    co_return loaded;
}

asio::awaitable<result<done, disk_failure>> replica_storage::loadLog(stored_replica &loaded)
{
    const auto names = co_await m_files.list();
    if (failed(names)) {
        co_return failureOf(names);
    }
    // Use the newest log that starts no later than directly after the snapshot. Older logs remain
    // when the process crashes while switching to a new log file.
    std::vector<std::uint64_t> starts;
    for (const std::string &name : valueOf(names)) {
        const auto start = parseCount(name.starts_with(logPrefix) ? name.substr(4) : "");
        if (!failed(start) && valueOf(start) <= loaded.snapshot.index + 1) {
            starts.push_back(valueOf(start));
        }
    }
    if (starts.empty()) {
        co_return co_await startLogFile(loaded.snapshot.index + 1, {});
    }
    m_firstIndex = *std::max_element(starts.begin(), starts.end());
    m_logName = logPrefix + std::to_string(m_firstIndex);
    const auto content = co_await m_files.read(m_logName);
    if (failed(content)) {
        co_return failureOf(content);
    }
    const std::string bytes = valueOf(content).value_or("");
    const decoded_records decoded = decodeRecords(bytes);
    const std::vector<log_entry> &entries = decoded.entries;
    const std::size_t consumed = decoded.consumed;
    m_nextWrite = decoded.lastWrite + 1;
    if (consumed < bytes.size()) {
        if (syncedRecordsFollow(bytes, consumed)) {
            co_return disk_failure{disk_failure::kind::corrupt, m_logName,
                                   "damaged record at byte " + std::to_string(consumed)};
        }
        loaded.tornTail = true;
        const auto truncated = co_await m_files.truncate(m_logName, consumed);
        if (failed(truncated)) {
            co_return failureOf(truncated);
        }
    }
    m_logBytes = 0;
    bool continuesSnapshot = true;
    for (const log_entry &entry : entries) {
        m_offsets.push_back(m_logBytes);
        m_logBytes += encodeRecord(entry, 0).size();
        if (entry.index == loaded.snapshot.index && entry.term != loaded.snapshot.term) {
            continuesSnapshot = false;
        }
        if (entry.index > loaded.snapshot.index && continuesSnapshot) {
            loaded.entries.push_back(entry);
        }
    }
    const bool endsBeforeSnapshot = m_firstIndex + entries.size() < loaded.snapshot.index + 1;
    if (!continuesSnapshot || endsBeforeSnapshot) {
        co_return co_await startLogFile(loaded.snapshot.index + 1, {});
    }
    co_return done{};
}

asio::awaitable<result<done, disk_failure>> replica_storage::saveVote(stored_vote vote)
{
    return m_files.replace(voteFile, withChecksum(vote));
}

asio::awaitable<result<done, disk_failure>> replica_storage::append(std::vector<log_entry> entries)
{
    if (m_logUnusable) {
        co_return disk_failure{disk_failure::kind::ioError, m_logName,
                               "an earlier truncation of the log failed"};
    }
    std::string bytes;
    std::vector<std::uint64_t> offsets;
    const std::uint32_t write = m_nextWrite++;
    for (const log_entry &entry : entries) {
        offsets.push_back(m_logBytes + bytes.size());
        bytes += encodeRecord(entry, write);
    }
    const std::uint64_t size = bytes.size();
    const auto written = co_await m_files.append(m_logName, std::move(bytes));
    if (failed(written)) {
        co_await truncateLog(m_logBytes);
        co_return failureOf(written);
    }
    m_offsets.insert(m_offsets.end(), offsets.begin(), offsets.end());
    m_logBytes += size;
    co_return done{};
}

asio::awaitable<result<done, disk_failure>> replica_storage::truncateLog(std::uint64_t size)
{
    const auto truncated = co_await m_files.truncate(m_logName, size);
    m_logUnusable = failed(truncated);
    if (!m_logUnusable) {
        m_logBytes = size;
    }
    co_return truncated;
}

asio::awaitable<result<done, disk_failure>> replica_storage::truncateFrom(std::uint64_t index)
{
    if (index < m_firstIndex || index >= m_firstIndex + m_offsets.size()) {
        co_return done{};
    }
    const std::size_t kept = index - m_firstIndex;
    const auto truncated = co_await truncateLog(m_offsets[kept]);
    if (!failed(truncated)) {
        m_offsets.resize(kept);
    }
    co_return truncated;
}

std::uint64_t replica_storage::logBytesThrough(std::uint64_t index) const
{
    if (index < m_firstIndex) {
        return 0;
    }
    const std::uint64_t next = index + 1 - m_firstIndex;
    return next < m_offsets.size() ? m_offsets[next] : m_logBytes;
}

asio::awaitable<result<done, disk_failure>>
replica_storage::saveSnapshot(stored_snapshot snapshot, std::vector<log_entry> followingEntries)
{
    const std::uint64_t firstIndex = snapshot.index + 1;
    const auto saved = co_await m_files.replace(snapshotFile, withChecksum(snapshot));
    if (failed(saved)) {
        co_return failureOf(saved);
    }
    co_return co_await startLogFile(firstIndex, followingEntries);
}

asio::awaitable<result<done, disk_failure>>
replica_storage::startLogFile(std::uint64_t firstIndex, const std::vector<log_entry> &entries)
{
    const std::string oldName = m_logName;
    const std::string newName = logPrefix + std::to_string(firstIndex);
    std::string bytes;
    std::deque<std::uint64_t> offsets;
    for (const log_entry &entry : entries) {
        offsets.push_back(bytes.size());
        bytes += encodeRecord(entry, 0);
    }
    const std::uint64_t size = bytes.size();
    const auto written = co_await m_files.replace(newName, std::move(bytes));
    if (failed(written)) {
        co_return failureOf(written);
    }
    m_logName = newName;
    m_nextWrite = 1;
    m_firstIndex = firstIndex;
    m_offsets = std::move(offsets);
    m_logBytes = size;
    if (!oldName.empty() && oldName != newName) {
        co_await m_files.remove(oldName);
    }
    co_return done{};
}

} // namespace mango
