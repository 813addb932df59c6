#pragma once

#include <deque>
#include <functional>

#include "Storage/disk.h"
#include "Wire/messages.h"

namespace mango {

// The current term of a replica and the identity of the candidate that it voted for in that term.
struct stored_vote
{
    std::uint64_t term = 0;
    std::string votedFor;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(term, votedFor);
    }
};

// The state of the state machine after the entry at `index`, with the membership as of that entry.
struct stored_snapshot
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    members group;
    std::string state;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(index, term, group, state);
    }
};

// The persistent state of a replica, as read from its data folder at the start.
struct stored_replica
{
    std::string identity;
    stored_vote vote;
    stored_snapshot snapshot;
    std::deque<log_entry> entries;
    // True when an incomplete record was removed from the end of the log.
    bool tornTail = false;
};

// Stores the persistent state of one replica: identity, vote, snapshot and log. The log is a file
// of records, each with its length, its checksum and the number of the write that added it.
// Incomplete or damaged data from the last write is discarded on load: that write was never
// acknowledged.
class replica_storage
{
public:
    explicit replica_storage(disk &files);

    // Reads all files; an empty folder is assigned the given identity. Fails when a file is
    // corrupt; an incomplete last write of the log is not an error.
    boost::asio::awaitable<result<stored_replica, disk_failure>> load(std::string newIdentity);

    boost::asio::awaitable<result<done, disk_failure>> saveVote(stored_vote vote);

    // Appends entries to the log. On failure the log is truncated to its previous size; when that
    // fails too, later calls of append() fail until a truncation succeeds or the process restarts.
    boost::asio::awaitable<result<done, disk_failure>> append(std::vector<log_entry> entries);

    // Removes the entry at the index and all later ones.
    boost::asio::awaitable<result<done, disk_failure>> truncateFrom(std::uint64_t index);

    // Replaces the snapshot, then starts a new log file that holds only the given entries, which
    // must be those that follow the snapshot.
    boost::asio::awaitable<result<done, disk_failure>>
    saveSnapshot(stored_snapshot snapshot, std::vector<log_entry> followingEntries);

    // The size of the log file up to and including the entry at the index, in bytes; of all of it
    // when there is no such entry.
    [[nodiscard]] std::uint64_t logBytesThrough(std::uint64_t index) const;

private:
    boost::asio::awaitable<result<done, disk_failure>> truncateLog(std::uint64_t size);
    boost::asio::awaitable<result<done, disk_failure>>
    startLogFile(std::uint64_t firstIndex, const std::vector<log_entry> &entries);
    boost::asio::awaitable<result<done, disk_failure>> loadLog(stored_replica &loaded);

    disk &m_files;
    std::string m_logName;
    std::uint64_t m_firstIndex = 1;
    std::uint64_t m_logBytes = 0;
    // The offset of each entry in the log file, from m_firstIndex on.
    std::deque<std::uint64_t> m_offsets;
    // True when the last truncation of the log failed; its tail may then be incomplete.
    bool m_logUnusable = false;
    // The number that the records of the next write carry.
    std::uint32_t m_nextWrite = 1;
};

// Encodes a log record: length, checksum, number of the write, entry.
std::string encodeRecord(const log_entry &entry, std::uint32_t write);

// The intact records at the beginning of a log.
struct decoded_records
{
    std::vector<log_entry> entries;
    // The number of bytes decoded: the offset of the first incomplete or damaged record, or the
    // size of the log.
    std::size_t consumed = 0;
    // The write number of the last intact record.
    std::uint32_t lastWrite = 0;
};

decoded_records decodeRecords(const std::string &bytes);

} // namespace mango
