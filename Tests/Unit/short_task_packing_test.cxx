#include <gtest/gtest.h>

#include "Common/event_log.h"
#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

// Guards against small tasks that take the last workers with much room, so that tasks with many
// cores find none although enough cores are free.
TEST(short_task_packing, largeTasksFindRoomOnANearlyFullService)
{
    int late = 0;
    captureEvents([&](const std::string &line) {
        const bool isLate = line.find("event=job-late") != std::string::npos;
        late += isLate ? 1 : 0;
    });
    {
        fleet_group group(3);
        group.configure();
        fleet_configuration wanted = fleet_group::configuration(2);
        wanted.routes[0].stretch = 1.5;
        wanted.routes[0].targetLatency = milliseconds(250);
        group.call(configure_call{wanted});
        for (int number = 0; number < 20; ++number) {
            const std::string name = "w" + std::to_string(100 + number);
            group.workers.add(name).record.labels = {number < 2 ? "wide" : "narrow"};
            group.announce(name);
        }
        group.run(milliseconds(1500));
        group.workers.durationOf = [](const run_key &key) {
            return key.task.job < 100 ? milliseconds(seconds(600)) : milliseconds(500);
        };
        // Long-running tasks leave 8 cores free on each worker, and 28 on two of them.
        job_graph lasting = fleet_group::oneStep(18, 24'000);
        lasting.steps[0].longRunning = true;
        lasting.steps[0].requiredLabel = "narrow";
        group.submit(1, lasting);
        lasting = fleet_group::oneStep(2, 4'000);
        lasting.steps[0].longRunning = true;
        lasting.steps[0].perWorkerLimit = 1;
        lasting.steps[0].requiredLabel = "wide";
        group.submit(2, lasting);
        group.run(seconds(1));
        // Small tasks use 72 of the 200 free cores.
        std::uint64_t job = 1000;
        for (int round = 0; round < 80; ++round) {
            job_graph small = fleet_group::oneStep(9, 4'000);
            group.submit(job++, small);
            if (round % 8 == 7) {
                job_graph large = fleet_group::oneStep(2, 28'000);
                large.steps[0].estimate = milliseconds(501);
                group.submit(job++, large);
            }
            group.run(milliseconds(240));
        }
        group.run(seconds(3));
    }
    captureEvents({});
    EXPECT_EQ(late, 0);
}

} // namespace mango::test
