#include <gtest/gtest.h>

#include "Common/event_log.h"
#include "Common/work_meter.h"
#include "Fakes/fake_clock.h"
#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;

steady_span timeOf(const work_meter &meter, work_kind kind)
{
    return meter.totals()[static_cast<std::size_t>(kind)].time;
}

std::uint64_t countOf(const work_meter &meter, work_kind kind)
{
    return meter.totals()[static_cast<std::size_t>(kind)].count;
}

} // namespace

// A round that sends calls must not count their time twice: the sum of all kinds is compared with
// the processor time.
TEST(work_meter, countsEachMomentForTheInnermostSection)
{
    boost::asio::io_context context(1);
    fake_clock clock(context);
    metrics_registry metricsRegistry;
    work_meter meter(clock, metricsRegistry);
    {
        const metered_work outer(&meter, work_kind::rounds);
        clock.jump(milliseconds(5));
        for (int number = 0; number < 2; ++number) {
            const metered_work inner(&meter, work_kind::sends);
            clock.jump(milliseconds(10));
        }
        clock.jump(milliseconds(2));
    }
    clock.jump(milliseconds(100));
    {
        const metered_work later(&meter, work_kind::rounds);
        clock.jump(milliseconds(1));
    }
    const metered_work unmeasured(nullptr, work_kind::rounds);
    EXPECT_EQ(timeOf(meter, work_kind::rounds), milliseconds(8));
    EXPECT_EQ(countOf(meter, work_kind::rounds), 2U);
    EXPECT_EQ(timeOf(meter, work_kind::sends), milliseconds(20));
    EXPECT_EQ(countOf(meter, work_kind::sends), 2U);
    meter.exportTotals();
    EXPECT_EQ(metricsRegistry.at("mango_work_microseconds_total{kind=\"sends\"}"), 20'000U);
    EXPECT_EQ(metricsRegistry.at("mango_work_total{kind=\"sends\"}"), 2U);
}

// Where the time of a busy leader went was not to be seen in its log.
TEST(work_meter, isLoggedByTheLeaderOnceASecond)
{
    std::vector<std::string> lines;
    fleet_group group(3);
    group.configure();
    group.workers.add("w1");
    group.announce("w1");
    captureEvents([&lines](const std::string &line) {
        if (line.starts_with("event=leader-work ")) {
            lines.push_back(line);
        }
    });
    group.run(std::chrono::seconds(5));
    captureEvents({});
    ASSERT_GE(lines.size(), 4U);
    EXPECT_LE(lines.size(), 5U);
    EXPECT_NE(lines.back().find("rounds="), std::string::npos) << lines.back();
    auto &metrics = group.nodes[static_cast<std::size_t>(group.leader())]->metricsRegistry;
    EXPECT_GT(metrics.at("mango_work_total{kind=\"rounds\"}"), 0U);
    EXPECT_GT(metrics.at("mango_work_total{kind=\"reports\"}"), 0U);
    EXPECT_GT(metrics.at("mango_work_total{kind=\"appends\"}"), 0U);
    EXPECT_GT(metrics.at("mango_work_total{kind=\"applies\"}"), 0U);
}

} // namespace mango::test
