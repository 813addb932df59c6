#include <gtest/gtest.h>

#include "Dispatch/report_limits.h"
#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct one_worker_group : fleet_group
{
    one_worker_group()
        : fleet_group(3)
    {
        configure();
        workers.add("w1");
        announce("w1");
        run(milliseconds(200));
    }
};

} // namespace

// The checkpoints that a worker reports are replicated, whatever their size, as often as it changes
// them. The end of a run counts without its checkpoint.
TEST(report_limits, keepsCheckpointsOfAnySize)
{
    one_worker_group group;
    group.workers.runDuration = seconds(6);
    group.submit(1, fleet_group::oneStep(1));
    group.run(milliseconds(500));
    const run_key key{{1, 0, 0, 0}, 1};
    auto &run = group.workers.at("w1").running.at(key);
    run.checkpoint.assign(maximumCheckpointBytes, 'c');
    group.run(seconds(2));
    run.checkpoint.assign(maximumCheckpointBytes + 1, 'd');
    group.run(seconds(2));
    group.workers.crash("w1");
    group.run(seconds(6));
    const task_state *task = findTask(group.leading().state().jobs.at(1), key.task);
    EXPECT_EQ(task->checkpoint, std::string(maximumCheckpointBytes, 'c'));
    group.run(seconds(10));
    EXPECT_EQ(group.phase(1), job_phase::completed);
}

// A report with runs that the leader does not know had all of them stopped at once.
TEST(report_limits, stopsRunsWithoutEndAtOnce)
{
    one_worker_group group;
    fake_worker &worker = group.workers.at("w1");
    constexpr std::size_t strays = 5 * maximumStrayStops;
    for (std::uint32_t index = 0; index < strays; ++index) {
        fake_worker::run_state run;
        run.startedAt = group.clock.now();
        run.duration = seconds(600);
        worker.running[{{99, 0, 0, index}, 1}] = run;
    }
    worker.stopDuration = milliseconds(500);
    std::size_t stoppedFirst = 0;
    for (int step = 0; step < 2000; ++step) {
        group.run(milliseconds(10));
        const auto stopping =
                std::count_if(worker.running.begin(), worker.running.end(), [](const auto &item) {
                    return item.second.stopsAt.has_value();
                });
        stoppedFirst = stoppedFirst == 0 ? static_cast<std::size_t>(stopping) : stoppedFirst;
    }
    EXPECT_EQ(stoppedFirst, maximumStrayStops);
    EXPECT_TRUE(worker.running.empty());
}

} // namespace mango::test
