#include <gtest/gtest.h>

#include <limits>

#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t greatestJob = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t otherJob = 0x5c0e7a21d94b36f8;

// Three control processes with two workers, on which a job runs that lasts.
struct job_ids : testing::TestWithParam<std::uint64_t>, fleet_group
{
    job_ids()
        : fleet_group(3)
    {
        configure();
        for (const char *id : {"w1", "w2"}) {
            workers.add(id);
            announce(id);
        }
        run(milliseconds(200));
        workers.durationOf = [](const run_key &key) {
            return milliseconds(key.task.job == otherJob ? 600'000 : 3000);
        };
        submitLasting(otherJob);
    }

    void submitLasting(std::uint64_t job)
    {
        job_graph graph = oneStep(2);
        graph.steps[0].longRunning = true;
        submit(job, graph);
        run(milliseconds(500));
    }

    // The numbers of runs in progress of the job.
    std::size_t countRuns(std::uint64_t job)
    {
        std::size_t count = 0;
        for (const char *id : {"w1", "w2"}) {
            for (const auto &[key, state] : workers.at(id).running) {
                count += key.task.job == job ? 1 : 0;
            }
        }
        return count;
    }

    void cancel(std::uint64_t job)
    {
        call(cancel_call{"h.example", "/price/" + formatJobId(job)});
    }
};

} // namespace

// The range of the runs of a job ended at the next id, which is 0 after the greatest one: the
// leader searched for the end of that range without an end.
TEST_P(job_ids, areStoppedByACancelAndOnlyThose)
{
    submitLasting(GetParam());
    ASSERT_EQ(countRuns(GetParam()), 2U);
    cancel(GetParam());
    run(seconds(1));
    EXPECT_EQ(phase(GetParam()), job_phase::cancelled);
    EXPECT_EQ(countRuns(GetParam()), 0U);
    EXPECT_EQ(phase(otherJob), job_phase::running);
    EXPECT_EQ(countRuns(otherJob), 2U);
}

// A new leader finds the cancelled job with runs that may be active, and stops these.
TEST_P(job_ids, areStoppedByANewLeader)
{
    submitLasting(GetParam());
    for (const char *id : {"w1", "w2"}) {
        workers.at(id).stopDuration = seconds(3);
    }
    cancel(GetParam());
    crash(static_cast<std::size_t>(leader()));
    run(seconds(8));
    ASSERT_GE(leader(), 0);
    EXPECT_EQ(phase(GetParam()), job_phase::cancelled);
    EXPECT_EQ(countRuns(GetParam()), 0U);
    EXPECT_EQ(phase(otherJob), job_phase::running);
    EXPECT_EQ(countRuns(otherJob), 2U);
}

// A job that fails is closed like a cancelled one, while runs of others are active.
TEST_P(job_ids, failBesideOthers)
{
    for (const char *id : {"w1", "w2"}) {
        workers.at(id).failsEveryRun = true;
    }
    submit(GetParam(), oneStep(3));
    run(seconds(30));
    EXPECT_EQ(phase(GetParam()), job_phase::failed);
    EXPECT_EQ(countRuns(GetParam()), 0U);
    EXPECT_EQ(countRuns(otherJob), 2U);
}

INSTANTIATE_TEST_SUITE_P(extreme, job_ids,
                         testing::Values(0, 1, otherJob - 1, otherJob + 1, greatestJob - 1,
                                         greatestJob),
                         [](const auto &info) {
                             return formatJobId(info.param);
                         });

} // namespace mango::test
