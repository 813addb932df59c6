#include "Http/connection_budget.h"

#include <algorithm>

#include "Common/event_log.h"
#include "Common/log.h"

namespace mango {

namespace {

// Of a machine's descriptors: for files, for peers and for connections to workers and leaders.
constexpr std::uint64_t reservedDescriptors = 400;
constexpr std::uint64_t connectionShareOfMemory = 4;
constexpr std::uint64_t defaultMachineBytes = 256ULL << 20U;
constexpr std::uint64_t defaultMachineDescriptors = 4096;
constexpr auto logInterval = std::chrono::seconds(1);

} // namespace

connection_budget_limits divideMachine(std::uint64_t memoryBytes, std::uint64_t descriptors)
{
    return {memoryBytes / connectionShareOfMemory,
            descriptors - std::min(descriptors, reservedDescriptors)};
}

machine_limits readMachineLimits(settings_reader &reader)
{
    const std::uint64_t memory = reader.bytes("memory", defaultMachineBytes);
    if (memory < minimumMachineBytes) {
        reader.reject("memory", "must be 32MB or more");
    }
    const std::uint64_t descriptors = reader.count("descriptors", defaultMachineDescriptors);
    if (descriptors < minimumMachineDescriptors) {
        reader.reject("descriptors",
                      "must be " + std::to_string(minimumMachineDescriptors) + " or more");
    }
    return {memory, descriptors};
}

std::uint64_t addConnection(connection_table &table)
{
    const std::uint64_t number = table.nextNumber++;
    table.holders[number] = {connection_stage::waiting, connectionBytes, number};
    table.waiting.emplace(number, number);
    table.bytes += connectionBytes;
    return number;
}

void removeConnection(connection_table &table, std::uint64_t connection)
{
    const auto found = table.holders.find(connection);
    if (found == table.holders.end()) {
        return;
    }
    const connection_table::holder &holder = found->second;
    table.bytes -= holder.bytes;
    table.servingBytes -= holder.stage == connection_stage::serving ? holder.bytes : 0;
    table.waiting.erase({holder.progress, connection});
    table.holders.erase(found);
}

void recordProgress(connection_table &table, std::uint64_t connection, connection_stage stage)
{
    const auto found = table.holders.find(connection);
    if (found == table.holders.end()) {
        return;
    }
    connection_table::holder &holder = found->second;
    table.waiting.erase({holder.progress, connection});
    table.servingBytes -= holder.stage == connection_stage::serving ? holder.bytes : 0;
    holder.stage = stage;
    holder.progress = table.nextNumber++;
    if (stage == connection_stage::waiting) {
        table.waiting.emplace(holder.progress, connection);
    } else {
        table.servingBytes += holder.bytes;
    }
}

void recordBytes(connection_table &table, std::uint64_t connection, std::uint64_t bytes)
{
    const auto found = table.holders.find(connection);
    if (found == table.holders.end()) {
        return;
    }
    connection_table::holder &holder = found->second;
    const std::uint64_t held = connectionBytes + bytes;
    table.bytes += held - holder.bytes;
    if (holder.stage == connection_stage::serving) {
        table.servingBytes += held - holder.bytes;
    }
    holder.bytes = held;
}

bool exceedsLimits(const connection_table &table)
{
    return table.bytes > table.limits.bytes || table.holders.size() > table.limits.connections;
}

std::optional<std::uint64_t> leastActiveConnection(const connection_table &table,
                                                   std::uint64_t except)
{
    for (const auto &[progress, connection] : table.waiting) {
        if (connection != except) {
            return connection;
        }
    }
    return std::nullopt;
}

bool mayExceedLimits(const connection_table &table, std::uint64_t connection)
{
    const auto found = table.holders.find(connection);
    if (found == table.holders.end() || table.holders.size() > table.limits.connections) {
        return false;
    }
    const bool serves = found->second.stage == connection_stage::serving;
    return table.servingBytes == (serves ? found->second.bytes : 0);
}

connection_budget::connection_budget(clock_source &clock, metrics_registry &metricsRegistry,
                                     const connection_budget_limits &limits)
    : m_clock(clock)
    , m_bytes(metricsRegistry.at("mango_connection_bytes"))
    , m_closed(metricsRegistry.at("mango_connections_closed_for_room_total"))
{
    m_table.limits = limits;
}

std::uint64_t connection_budget::add(std::function<void()> close)
{
    const std::uint64_t connection = addConnection(m_table);
    m_closers.emplace(connection, std::move(close));
    makeRoom(connection);
    return connection;
}

void connection_budget::remove(std::uint64_t connection)
{
    removeConnection(m_table, connection);
    m_closers.erase(connection);
    reportBytes();
}

bool connection_budget::update(std::uint64_t connection, connection_stage stage,
                               std::uint64_t bytes)
{
    recordProgress(m_table, connection, stage);
    recordBytes(m_table, connection, bytes);
    return makeRoom(connection);
}

bool connection_budget::isClosed(std::uint64_t connection) const
{
    return !m_table.holders.contains(connection);
}

bool connection_budget::makeRoom(std::uint64_t connection)
{
    while (exceedsLimits(m_table)) {
        const auto other = leastActiveConnection(m_table, connection);
        if (!other) {
            break;
        }
        closeConnection(*other);
    }
    reportBytes();
    return !isClosed(connection)
           && (!exceedsLimits(m_table) || mayExceedLimits(m_table, connection));
}

void connection_budget::reportBytes()
{
    m_bytes += m_table.bytes - m_reportedBytes;
    m_reportedBytes = m_table.bytes;
}

void connection_budget::closeConnection(std::uint64_t connection)
{
    removeConnection(m_table, connection);
    if (const auto closer = m_closers.extract(connection)) {
        closer.mapped()();
    }
    ++m_closed;
    ++m_closedSinceLog;
    if (m_clock.now() < m_nextLog) {
        return;
    }
    m_nextLog = m_clock.now() + logInterval;
    logEvent(log_part::wire, "connections-closed-for-room",
             {{"closed", m_closedSinceLog},
              {"open", m_table.holders.size()},
              {"maximum_open", m_table.limits.connections},
              {"bytes", m_table.bytes},
              {"maximum_bytes", m_table.limits.bytes}});
    m_closedSinceLog = 0;
}

budgeted_connection::budgeted_connection(std::shared_ptr<connection_budget> budget,
                                         std::function<void()> close)
    : m_budget(std::move(budget))
    , m_number(m_budget->add(std::move(close)))
{}

budgeted_connection::~budgeted_connection()
{
    m_budget->remove(m_number);
}

bool budgeted_connection::update(connection_stage stage, std::uint64_t bytes)
{
    return m_budget->update(m_number, stage, bytes);
}

bool budgeted_connection::isClosed() const
{
    return m_budget->isClosed(m_number);
}

} // namespace mango
