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
};

std::uint64_t workDone(const fleet_group &fleet, const std::string &what)
{
    std::uint64_t sum = 0;
    for (const auto &node : fleet.nodes) {
        sum += node ? node->metricsRegistry.at("mango_round_work_total{what=\"" + what + "\"}") : 0;
    }
    return sum;
}

std::uint64_t roundsOf(const fleet_group &fleet)
{
    std::uint64_t sum = 0;
    for (const auto &node : fleet.nodes) {
        sum += node ? node->metricsRegistry.at("mango_rounds_total{end=\"done\"}") : 0;
    }
    return sum;
}

// Workers with many runs and room for more, where jobs of one task come and go.
struct busy_fleet : fleet_group
{
    static constexpr std::uint32_t jobsPerPhase = 50;

    busy_fleet()
        : fleet_group(3)
    {
        configure();
        for (std::uint32_t number = 0; number < 2 * workerCount; ++number) {
            const std::string id = "w" + std::to_string(number);
            workers.add(id);
            announce(id);
        }
        run(milliseconds(500));
        workers.runDuration = seconds(3600);
        submit(1, oneStep(20 * workerCount, 1000));
        run(seconds(2));
        workers.runDuration = milliseconds(300);
    }

    // Returns the number of offers that were scored for a number of jobs.
    std::uint64_t scoredForJobs(std::uint64_t firstJob)
    {
        run(milliseconds(1500));
        const std::uint64_t before = workDone(*this, "offers_scored");
        const std::size_t startsBefore = workers.starts.size();
        for (std::uint64_t job = firstJob; job < firstJob + jobsPerPhase; ++job) {
            submit(job, oneStep(1, 500));
        }
        run(milliseconds(1500));
        EXPECT_GE(workers.starts.size(), startsBefore + jobsPerPhase);
        return workDone(*this, "offers_scored") - before;
    }
};

} // namespace

// Guards against rounds that stay dear after a change of leader, with the same traffic as before.
TEST(round_work, isAsSmallAfterAChangeOfLeader)
{
    busy_fleet fleet;
    const std::uint64_t calm = fleet.scoredForJobs(100);
    EXPECT_LT(calm, 20 * busy_fleet::jobsPerPhase);
    fleet.crash(static_cast<std::size_t>(fleet.leader()));
    fleet.run(seconds(10));
    const std::uint64_t afterwards = fleet.scoredForJobs(200);
    EXPECT_LT(afterwards, 20 * busy_fleet::jobsPerPhase);
}

// Guards against rounds and offers that are made anew for reports that change nothing.
TEST(round_work, isNotRepeatedForReportsWithoutNews)
{
    fleet_group fleet(3);
    fleet.configure();
    fleet.workers.runDuration = seconds(3600);
    for (std::uint32_t number = 0; number < workerCount; ++number) {
        const std::string id = "w" + std::to_string(number);
        fleet.workers.add(id);
        fleet.announce(id);
        fleet.run(milliseconds(17));
    }
    job_graph standing = fleet_group::oneStep(workerCount, 1000);
    standing.steps[0].longRunning = true;
    fleet.submit(1, standing);
    fleet.run(seconds(3));
    const std::uint64_t roundsBefore = roundsOf(fleet);
    const std::uint64_t updatedBefore = workDone(fleet, "offers_updated");
    fleet.run(seconds(10));
    EXPECT_LT(roundsOf(fleet) - roundsBefore, 110U);
    EXPECT_LT(workDone(fleet, "offers_updated") - updatedBefore, 10 * 5 * workerCount);
}

// Guards against rounds that stay dear while tasks wait that fit nowhere.
TEST(round_work, isSmallForTasksThatFitNowhere)
{
    full_fleet fleet;
    const std::uint64_t triedBefore = workDone(fleet, "steps_tried");
    const std::uint64_t scoredBefore = workDone(fleet, "offers_scored");
    const std::uint64_t heldBefore = workDone(fleet, "scans_to_hold");
    std::size_t reports = 0;
    captureEvents([&reports](const std::string &line) {
        reports += line.find("event=task-waits") == std::string::npos ? 0 : 1;
    });
    fleet.run(seconds(4));
    captureEvents({});
    ASSERT_GE(workDone(fleet, "steps_tried") - triedBefore, 10 * jobCount);
    EXPECT_LT(workDone(fleet, "offers_scored") - scoredBefore, 10 * jobCount);
    EXPECT_LT(workDone(fleet, "scans_to_hold") - heldBefore, 40U);
    EXPECT_GE(reports, 10U);
    EXPECT_LE(reports, 50U);
}

} // namespace mango::test
