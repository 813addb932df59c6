#include <gtest/gtest.h>

#include "Common/event_log.h"
#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t workerCount = 60;
constexpr std::uint32_t jobCount = 100;

// Workers with little room beside long runs, and jobs that wait for more room, each for less than
// those before it.
struct full_fleet : fleet_group
{
    full_fleet()
        : fleet_group(3)
    {
        configure();
        workers.runDuration = seconds(3600);
        for (std::uint32_t number = 0; number < workerCount; ++number) {
            const std::string id = "w" + std::to_string(number);
            workers.add(id);
            announce(id);
        }
        run(milliseconds(500));
        submit(1, oneStep(workerCount, 30'000));
        run(seconds(1));
        for (std::uint32_t number = 0; number < jobCount; ++number) {
            submit(100 + number, oneStep(1, 25'000 - number * 100));
        }
        run(seconds(3));
    }

    std::uint64_t workDone(const std::string &what)
    {
        std::uint64_t sum = 0;
        for (const auto &node : nodes) {
            sum += node->metricsRegistry.at("mango_round_work_total{what=\"" + what + "\"}");
        }
        return sum;
    }
};

} // namespace

// Guards against rounds that stay dear while tasks wait that fit nowhere.
TEST(round_work, isSmallForTasksThatFitNowhere)
{
    full_fleet fleet;
    const std::uint64_t triedBefore = fleet.workDone("steps_tried");
    const std::uint64_t scoredBefore = fleet.workDone("offers_scored");
    const std::uint64_t heldBefore = fleet.workDone("scans_to_hold");
    std::size_t reports = 0;
    captureEvents([&reports](const std::string &line) {
        reports += line.find("event=task-waits") == std::string::npos ? 0 : 1;
    });
    fleet.run(seconds(4));
    captureEvents({});
    ASSERT_GE(fleet.workDone("steps_tried") - triedBefore, 10 * jobCount);
    EXPECT_LT(fleet.workDone("offers_scored") - scoredBefore, 10 * jobCount);
    EXPECT_LT(fleet.workDone("scans_to_hold") - heldBefore, 40U);
    EXPECT_GE(reports, 10U);
    EXPECT_LE(reports, 50U);
}

} // namespace mango::test
