#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "Common/clock_source.h"
#include "Common/metrics_registry.h"
#include "Common/settings.h"

namespace mango {

// What the connections of a process may hold together.
struct connection_budget_limits
{
    std::uint64_t bytes = 256ULL << 20U;
    std::uint64_t connections = 4096;
};

// Returns the limits for a process on a machine with that memory in bytes and that number of file
// descriptors. Connections get a quarter of the memory; the rest is for state, peers and workers.
connection_budget_limits divideMachine(std::uint64_t memoryBytes, std::uint64_t descriptors);

// The least that a machine must offer to a process.
constexpr std::uint64_t minimumMachineBytes = 32ULL << 20U;
constexpr std::uint64_t minimumMachineDescriptors = 512;

// What the machine of a process offers to it.
struct machine_limits
{
    std::uint64_t memoryBytes = 0;
    std::uint64_t descriptors = 0;
};

// Reads the keys `memory` and `descriptors`. Values that are too small are reported through the
// reader.
machine_limits readMachineLimits(settings_reader &reader);

// What a connection holds without any buffer: its socket, its stream and its coroutines.
constexpr std::uint64_t connectionBytes = 12U << 10U;

// A connection is replaceable while it waits for its client. One whose request is being served is
// not.
enum class connection_stage : std::uint8_t { waiting, serving };

// The connections of a process and what they hold.
struct connection_table
{
    struct holder
    {
        connection_stage stage = connection_stage::waiting;
        std::uint64_t bytes = 0;
        // Grows with each event at which the client of a connection made progress.
        std::uint64_t progress = 0;
    };

    connection_budget_limits limits;
    std::map<std::uint64_t, holder> holders;
    // The waiting connections, by their latest progress.
    std::set<std::pair<std::uint64_t, std::uint64_t>> waiting;
    std::uint64_t bytes = 0;
    std::uint64_t servingBytes = 0;
    std::uint64_t nextNumber = 1;
};

// Adds a connection, for which another one may have to go first, and returns its number.
std::uint64_t addConnection(connection_table &table);

// Removes a connection; no effect when it was removed before.
void removeConnection(connection_table &table, std::uint64_t connection);

// Records that a connection's client has made progress, and the stage that it is in now.
void recordProgress(connection_table &table, std::uint64_t connection, connection_stage stage);

// Records what a connection holds in buffers.
void recordBytes(connection_table &table, std::uint64_t connection, std::uint64_t bytes);

// Returns true when the connections hold more than the limits, or are more.
bool exceedsLimits(const connection_table &table);

// Returns the waiting connection, other than the given one, whose client has made no progress for
// longest; nothing when there is none.
std::optional<std::uint64_t> leastActiveConnection(const connection_table &table,
                                                   std::uint64_t except);

// Returns whether a connection may go on although the limits are exceeded and no other connection
// can give way: no other one is being served, so that a single request within the limits for
// requests is served always.
bool mayExceedLimits(const connection_table &table, std::uint64_t connection);

// Shares the limits among the connections of all HTTP servers of a process. It closes those that
// have to give way.
class connection_budget
{
public:
    connection_budget(clock_source &clock, metrics_registry &metricsRegistry,
                      const connection_budget_limits &limits);

    // Adds a connection, with a function that closes it.
    std::uint64_t add(std::function<void()> close);
    void remove(std::uint64_t connection);
    // Records what a connection does and holds, and closes others while the limits are exceeded.
    // Returns false when the connection itself has to give way.
    bool update(std::uint64_t connection, connection_stage stage, std::uint64_t bytes);
    // True when the connection has been closed to make room.
    [[nodiscard]] bool isClosed(std::uint64_t connection) const;

private:
    bool makeRoom(std::uint64_t connection);
    void closeConnection(std::uint64_t connection);
    void reportBytes();

    clock_source &m_clock;
    connection_table m_table;
    std::map<std::uint64_t, std::function<void()>> m_closers;
    // Of all budgets of the process.
    std::uint64_t &m_bytes;
    std::uint64_t m_reportedBytes = 0;
    std::uint64_t &m_closed;
    std::uint64_t m_closedSinceLog = 0;
    steady_time m_nextLog{};
};

// A connection of a budget for as long as the object exists.
class budgeted_connection
{
public:
    budgeted_connection(std::shared_ptr<connection_budget> budget, std::function<void()> close);
    ~budgeted_connection();
    budgeted_connection(const budgeted_connection &) = delete;
    budgeted_connection &operator=(const budgeted_connection &) = delete;

    // See connection_budget::update().
    bool update(connection_stage stage, std::uint64_t bytes);
    [[nodiscard]] bool isClosed() const;

private:
    std::shared_ptr<connection_budget> m_budget;
    std::uint64_t m_number;
};

} // namespace mango
