#include <gtest/gtest.h>

#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t workerCount = 4;

std::string nameOf(std::size_t number)
{
    return "w" + std::to_string(number);
}

// Three control processes with four workers, which they call directly or through relays.
struct worker_departure : testing::TestWithParam<bool>, fleet_group
{
    worker_departure()
        : fleet_group(3, 3, 3, 1, GetParam() ? 0 : 600)
    {
        run(seconds(3));
        configure();
        for (std::size_t number = 0; number < workerCount; ++number) {
            workers.add(nameOf(number));
            announce(nameOf(number));
        }
        run(milliseconds(500));
        workers.runDuration = seconds(9);
    }

    void announceDraining(const std::string &worker)
    {
        workers.at(worker).record.draining = true;
        announce(worker);
    }

    // The task that the worker runs.
    task_key taskOn(const std::string &worker)
    {
        EXPECT_EQ(workers.at(worker).running.size(), 1U);
        return workers.at(worker).running.begin()->first.task;
    }

    // When the newest run of the task has started.
    steady_time lastStartOf(const task_key &task)
    {
        steady_time last{};
        for (const recorded_start &start : workers.starts) {
            last = start.key.task == task ? start.at : last;
        }
        return last;
    }

    void expectNothingRepeated()
    {
        EXPECT_TRUE(workers.duplicateRuns.empty()) << workers.duplicateRuns.front();
        EXPECT_TRUE(workers.repeatedRuns.empty()) << workers.repeatedRuns.front();
    }
};

} // namespace

// A departure that was held up since an earlier incarnation of the worker was taken for that of the
// present one, whose tasks were started elsewhere while they ran.
TEST_P(worker_departure, ofAnEarlierIncarnationEndsNoRuns)
{
    announceDraining("w0");
    workers.leave("w0");
    run(seconds(1));
    workers.add("w0");
    announce("w0");
    run(seconds(1));
    submit(7, oneStep(workerCount, 20'000));
    run(seconds(1));
    announceDraining("w0");
    const task_key task = taskOn("w0");
    const std::size_t starts = workers.starts.size();
    call(worker_exit_call{"w0"});
    run(seconds(5));
    EXPECT_EQ(workers.starts.size(), starts);
    EXPECT_EQ(taskOn("w0"), task);
    run(seconds(5));
    expectNothingRepeated();
    EXPECT_EQ(workers.starts.size(), starts);
    EXPECT_EQ(phase(7), job_phase::completed);
}

// The worker ends some time after its announcement, which may not have been acknowledged.
TEST_P(worker_departure, endsItsRunsOnceItHasEnded)
{
    submit(7, oneStep(workerCount, 20'000));
    run(seconds(1));
    announceDraining("w0");
    const task_key task = taskOn("w0");
    call(worker_exit_call{"w0"});
    run(seconds(2));
    EXPECT_EQ(taskOn("w0"), task);
    workers.add("spare");
    announce("spare");
    const steady_time endedAt = clock.now();
    workers.leave("w0");
    run(seconds(2));
    EXPECT_GT(lastStartOf(task), endedAt);
    EXPECT_LE(lastStartOf(task) - endedAt, seconds(1));
    run(seconds(12));
    expectNothingRepeated();
    EXPECT_EQ(phase(7), job_phase::completed);
}

// Silence does not prove that the worker has ended: its runs may go on until its lease expires.
TEST_P(worker_departure, withoutAnEndThatIsSeenWaitsForTheLease)
{
    submit(7, oneStep(workerCount, 20'000));
    run(seconds(1));
    workers.add("spare");
    announce("spare");
    announceDraining("w0");
    const task_key task = taskOn("w0");
    workers.at("w0").unreachable = true;
    call(worker_exit_call{"w0"});
    run(seconds(12));
    EXPECT_FALSE(workers.at("w0").running.contains({task, 1}));
    run(seconds(8));
    expectNothingRepeated();
    EXPECT_EQ(phase(7), job_phase::completed);
}

// The ends that the worker lists after its announcement still count.
TEST_P(worker_departure, countsWhatEndsAfterTheAnnouncement)
{
    submit(7, oneStep(workerCount, 20'000));
    run(seconds(8));
    announceDraining("w0");
    call(worker_exit_call{"w0"});
    run(seconds(3));
    workers.leave("w0");
    run(seconds(3));
    expectNothingRepeated();
    EXPECT_EQ(workers.starts.size(), workerCount);
    EXPECT_EQ(phase(7), job_phase::completed);
}

INSTANTIATE_TEST_SUITE_P(calls, worker_departure, testing::Bool(), [](const auto &info) {
    return info.param ? "relayed" : "direct";
});

} // namespace mango::test
