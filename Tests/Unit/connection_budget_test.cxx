#include <gtest/gtest.h>

#include "Fakes/fake_clock.h"
#include "Http/connection_budget.h"

namespace mango::test {

namespace {

constexpr std::uint64_t kilobyte = 1U << 10U;

// A table for four connections without buffers, or fewer with some.
connection_table smallTable()
{
    connection_table table;
    table.limits = {4 * connectionBytes, 10};
    return table;
}

} // namespace

TEST(connection_table, givesConnectionsAQuarterOfTheMemoryAndKeepsDescriptors)
{
    const connection_budget_limits limits = divideMachine(160U << 20U, 4100);
    EXPECT_EQ(limits.bytes, 40U << 20U);
    EXPECT_EQ(limits.connections, 3700U);
    EXPECT_EQ(divideMachine(160U << 20U, 100).connections, 0U);
}

// The client that has made no progress for longest gives way, whatever it has sent before.
TEST(connection_table, choosesTheConnectionWithoutProgressForLongest)
{
    connection_table table = smallTable();
    const auto first = addConnection(table);
    const auto second = addConnection(table);
    const auto third = addConnection(table);
    recordProgress(table, first, connection_stage::waiting);
    EXPECT_EQ(leastActiveConnection(table, third), second);
    EXPECT_EQ(leastActiveConnection(table, second), third);
    removeConnection(table, second);
    removeConnection(table, third);
    EXPECT_EQ(leastActiveConnection(table, first), std::nullopt);
}

// A connection whose request is being served never gives way.
TEST(connection_table, doesNotChooseAConnectionThatIsServed)
{
    connection_table table = smallTable();
    const auto served = addConnection(table);
    const auto other = addConnection(table);
    recordProgress(table, served, connection_stage::serving);
    EXPECT_EQ(leastActiveConnection(table, other), std::nullopt);
    recordProgress(table, served, connection_stage::waiting);
    EXPECT_EQ(leastActiveConnection(table, other), served);
}

TEST(connection_table, countsWhatConnectionsHold)
{
    connection_table table = smallTable();
    const auto first = addConnection(table);
    const auto second = addConnection(table);
    recordBytes(table, first, connectionBytes);
    recordProgress(table, first, connection_stage::serving);
    EXPECT_EQ(table.bytes, 3 * connectionBytes);
    EXPECT_EQ(table.servingBytes, 2 * connectionBytes);
    EXPECT_FALSE(exceedsLimits(table));
    recordBytes(table, second, 2 * connectionBytes);
    EXPECT_TRUE(exceedsLimits(table));
    recordBytes(table, first, 0);
    recordBytes(table, second, 0);
    EXPECT_EQ(table.servingBytes, connectionBytes);
    removeConnection(table, first);
    removeConnection(table, first);
    removeConnection(table, second);
    EXPECT_EQ(table.bytes, 0U);
    EXPECT_EQ(table.servingBytes, 0U);
    EXPECT_TRUE(table.waiting.empty());
}

// A single request that is larger than the budget is served, two are not.
TEST(connection_table, letsASingleRequestExceedTheLimits)
{
    connection_table table = smallTable();
    const auto first = addConnection(table);
    recordBytes(table, first, 100 * kilobyte);
    recordProgress(table, first, connection_stage::serving);
    EXPECT_TRUE(exceedsLimits(table));
    EXPECT_TRUE(mayExceedLimits(table, first));
    const auto second = addConnection(table);
    recordBytes(table, second, 100 * kilobyte);
    EXPECT_FALSE(mayExceedLimits(table, second));
    removeConnection(table, first);
    EXPECT_TRUE(mayExceedLimits(table, second));
}

// A crowd of clients that stop short of their ends, beside one that goes on.
TEST(connection_budget, closesACrowdAndKeepsTheOneThatGoesOn)
{
    boost::asio::io_context context{1};
    fake_clock clock{context};
    metrics_registry metricsRegistry;
    const auto budget = std::make_shared<connection_budget>(
            clock, metricsRegistry, connection_budget_limits{1U << 20U, 1000});
    std::set<std::uint64_t> open;
    const auto add = [&] {
        auto number = std::make_shared<std::uint64_t>(0);
        *number = budget->add([&open, number] {
            open.erase(*number);
        });
        open.insert(*number);
        return *number;
    };
    const std::uint64_t active = add();
    for (int client = 0; client < 500; ++client) {
        const std::uint64_t one = add();
        EXPECT_TRUE(budget->update(one, connection_stage::waiting, 200 * kilobyte));
        EXPECT_TRUE(budget->update(active, connection_stage::waiting, kilobyte));
        EXPECT_LE(metricsRegistry.at("mango_connection_bytes"), 1U << 20U);
    }
    EXPECT_TRUE(open.contains(active));
    EXPECT_LT(open.size(), 6U);
    EXPECT_EQ(metricsRegistry.at("mango_connections_closed_for_room_total"), 501U - open.size());
}

// Beyond the number of connections, a new one is closed when all others are being served.
TEST(connection_budget, closesTheNewConnectionWhenAllOthersAreServed)
{
    boost::asio::io_context context{1};
    fake_clock clock{context};
    metrics_registry metricsRegistry;
    connection_budget budget(clock, metricsRegistry, {1U << 20U, 2});
    for (int count = 0; count < 2; ++count) {
        const auto served = budget.add([] {});
        EXPECT_TRUE(budget.update(served, connection_stage::serving, 0));
    }
    const auto added = budget.add([] {});
    EXPECT_FALSE(budget.update(added, connection_stage::waiting, 0));
}

} // namespace mango::test
