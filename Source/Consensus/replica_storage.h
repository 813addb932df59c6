#pragma once

#include <deque>
#include <functional>

#include "Storage/disk.h"
#include "Wire/messages.h"

namespace mango {

// The term a replica is in and whom it voted for in it.
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

// The state up to an index of the log, with the group as of then.
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

// What a replica found in its data folder when it started.
struct stored_replica
{
    std::string identity;
    stored_vote vote;
    stored_snapshot snapshot;
    std::deque<log_entry> entries;
    bool tornTail = false;
};

// The durable files of one replica: identity, vote, snapshot and log. The log is a file of records,
// each with its length, checksum and the number of the write that it came with. What the last write
// left cut short or with holes is dropped on load, since it was never acknowledged.
class replica_storage
{
public:
    explicit replica_storage(disk &files);

    // Reads everything; an empty folder gets the identity given. Fails when a file is corrupt
    // before its end.
    boost::asio::awaitable<result<stored_replica, disk_failure>> load(std::string newIdentity);

    boost::asio::awaitable<result<done, disk_failure>> saveVote(stored_vote vote);

    // Adds entries after the last one. On a failure the file is cut back to what it held before;
    // when that fails too, every later call fails until the process starts again.
    boost::asio::awaitable<result<done, disk_failure>> append(std::vector<log_entry> entries);

    // Removes all entries from the index on.
    boost::asio::awaitable<result<done, disk_failure>> truncateFrom(std::uint64_t index);

    // Replaces the snapshot and starts a new log with the entries that follow it.
    boost::asio::awaitable<result<done, disk_failure>> saveSnapshot(stored_snapshot snapshot,
                                                                    std::vector<log_entry> rest);

private:
    boost::asio::awaitable<result<done, disk_failure>> truncateLog(std::uint64_t size);
    boost::asio::awaitable<result<done, disk_failure>>
    startLogFile(std::uint64_t firstIndex, const std::vector<log_entry> &entries);
    boost::asio::awaitable<result<done, disk_failure>> loadLog(stored_replica &loaded);

    disk &m_files;
    std::string m_logName;
    std::uint64_t m_firstIndex = 1;
    std::uint64_t m_logBytes = 0;
    // The size of the log file before each entry, from m_firstIndex on.
    std::deque<std::uint64_t> m_offsets;
    bool m_logUnusable = false;
    // The number of the next write to the log.
    std::uint32_t m_nextWrite = 1;
};

// A log record as bytes: length, checksum, number of the write, entry.
std::string encodeRecord(const log_entry &entry, std::uint32_t write);

// The records at the beginning of a log.
struct decoded_records
{
    std::vector<log_entry> entries;
    // Where the bytes ended or a record was not whole.
    std::size_t consumed = 0;
    // The number of the write that the last whole record came with.
    std::uint32_t lastWrite = 0;
};

decoded_records decodeRecords(const std::string &bytes);

} // namespace mango
