#include <gtest/gtest.h>

#include <limits>

#include "Unit/fleet_group.h"
#include "Wire/codec.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t scheduledJob = 0x5c0e7a21d94b36f8;
constexpr auto minute = std::chrono::milliseconds(60'000);
constexpr std::uint32_t minutesOfAYear = 365 * 24 * 60;
constexpr auto greatestTime = milliseconds(1LL << 50U);

job_graph scheduled(std::uint32_t occurrences, milliseconds firstAt, milliseconds interval,
                    std::uint32_t tasks = 1)
{
    job_graph graph = fleet_group::oneStep(tasks);
    graph.schedule = job_schedule{occurrences, firstAt, interval};
    return graph;
}

// Three control processes with two workers.
struct scheduled_jobs : testing::Test, fleet_group
{
    scheduled_jobs()
        : fleet_group(3)
    {
        configure();
        for (const char *id : {"w1", "w2"}) {
            workers.add(id);
            announce(id);
        }
        run(milliseconds(200));
    }

    [[nodiscard]] milliseconds wallTime() const
    {
        return std::chrono::duration_cast<milliseconds>(clock.wallTime().time_since_epoch());
    }

    // The occurrences of the job that have been started, with the number of starts.
    [[nodiscard]] std::map<std::uint32_t, int> startsByOccurrence() const
    {
        std::map<std::uint32_t, int> starts;
        for (const recorded_start &start : workers.starts) {
            if (start.key.task.job == scheduledJob) {
                ++starts[start.key.task.occurrence];
            }
        }
        return starts;
    }

    // Restarts all processes.
    void restartAll()
    {
        for (std::size_t number = 0; number < nodes.size(); ++number) {
            crash(number);
        }
        for (std::size_t number = 0; number < nodes.size(); ++number) {
            start(number, false);
        }
        run(seconds(4));
    }
};

// The bytes that the state needs in a snapshot once the job was accepted and has waited for long.
std::size_t snapshotBytes(const job_graph &graph)
{
    fleet_state state;
    apply(state, submit_job{scheduledJob, queue_parameters{}, graph});
    for (int repeat = 0; repeat < 3; ++repeat) {
        apply(state, open_occurrences{{{scheduledJob, graph.schedule->occurrences}}});
    }
    return encode(state).size();
}

} // namespace

// Each process that led listed all occurrences of a job of a year and exceeded its memory.
TEST_F(scheduled_jobs, needNoMoreMemoryForMoreOccurrences)
{
    const std::size_t few = snapshotBytes(scheduled(20'000, milliseconds(0), minute));
    EXPECT_EQ(snapshotBytes(scheduled(minutesOfAYear, milliseconds(0), minute)), few);
    const std::uint32_t most = std::numeric_limits<std::uint32_t>::max();
    EXPECT_EQ(snapshotBytes(scheduled(most, milliseconds(0), milliseconds(0))), few);
    EXPECT_EQ(snapshotBytes(scheduled(most, greatestTime, greatestTime)), few);
    // An occurrence that has more tasks leaves room for fewer of them.
    EXPECT_LE(snapshotBytes(scheduled(most, milliseconds(0), minute, 20'000)), 2 * few);
    EXPECT_LE(snapshotBytes(scheduled(most, milliseconds(0), minute, 11'000)), 2 * few);
}

TEST_F(scheduled_jobs, doNotDelayOthers)
{
    const std::uint32_t most = std::numeric_limits<std::uint32_t>::max();
    std::uint64_t job = scheduledJob;
    for (const job_graph &graph : {scheduled(minutesOfAYear, wallTime() + minute, minute),
                                   scheduled(most, wallTime() + minute, milliseconds(1)),
                                   scheduled(most, milliseconds(0), greatestTime),
                                   scheduled(most, greatestTime, greatestTime)}) {
        EXPECT_EQ(submit(job, graph).outcome, fleet_outcome::accepted);
        ++job;
    }
    submit(1, oneStep(4));
    run(seconds(2));
    EXPECT_EQ(phase(1), job_phase::completed);
    for (std::uint64_t accepted = scheduledJob; accepted < job; ++accepted) {
        EXPECT_TRUE(phase(accepted)) << accepted - scheduledJob;
    }
}

TEST_F(scheduled_jobs, runEachOccurrenceOnceWhenItIsDue)
{
    constexpr std::uint32_t count = 12;
    const milliseconds firstAt = wallTime() + seconds(3);
    submit(scheduledJob, scheduled(count, firstAt, seconds(1), 2));
    run(seconds(30));
    EXPECT_EQ(phase(scheduledJob), job_phase::completed);
    const auto starts = startsByOccurrence();
    ASSERT_EQ(starts.size(), count);
    for (const auto &[occurrence, number] : starts) {
        EXPECT_EQ(number, 2) << occurrence;
    }
    for (const recorded_start &start : workers.starts) {
        const auto due = firstAt + seconds(1) * start.key.task.occurrence;
        EXPECT_GE(start.at.time_since_epoch(), due);
        EXPECT_LE(start.at.time_since_epoch(), due + milliseconds(500));
    }
}

// Occurrences that are due at the same time run one after the other as the window moves on, also
// those beyond the first window.
TEST_F(scheduled_jobs, runTheirBacklogToItsEnd)
{
    constexpr std::uint32_t count = 9;
    workers.runDuration = milliseconds(100);
    submit(scheduledJob, scheduled(count, milliseconds(0), milliseconds(0), 4000));
    for (int wait = 0; wait < 1200 && phase(scheduledJob) != job_phase::completed; ++wait) {
        run(milliseconds(500));
        const auto leader = static_cast<std::size_t>(std::max(0, this->leader()));
        const auto &jobs = nodes[leader]->server->state().jobs;
        if (const auto job = jobs.find(scheduledJob); job != jobs.end()) {
            EXPECT_LE(job->second.occurrences.size(), 5U);
        }
    }
    EXPECT_EQ(phase(scheduledJob), job_phase::completed);
    EXPECT_EQ(startsByOccurrence().size(), count);
    EXPECT_TRUE(workers.duplicateRuns.empty());
    EXPECT_TRUE(workers.repeatedRuns.empty());
}

// What has been opened and closed is replicated: a new leader neither repeats nor skips any.
TEST_F(scheduled_jobs, goOnUnderNewLeadersAndAfterARestartOfAll)
{
    constexpr std::uint32_t count = 30;
    submit(scheduledJob, scheduled(count, wallTime() + seconds(1), seconds(1)));
    run(seconds(7));
    crash(static_cast<std::size_t>(leader()));
    run(seconds(6));
    ASSERT_GE(leader(), 0);
    for (std::size_t number = 0; number < nodes.size(); ++number) {
        if (!nodes[number]) {
            start(number, false);
        }
    }
    run(seconds(4));
    restartAll();
    run(seconds(25));
    EXPECT_EQ(phase(scheduledJob), job_phase::completed);
    const auto starts = startsByOccurrence();
    EXPECT_EQ(starts.size(), count);
    EXPECT_TRUE(workers.duplicateRuns.empty());
    EXPECT_TRUE(workers.repeatedRuns.empty());
}

TEST_F(scheduled_jobs, endWithACancel)
{
    workers.runDuration = seconds(20);
    submit(scheduledJob, scheduled(minutesOfAYear, milliseconds(0), seconds(1)));
    run(seconds(3));
    ASSERT_FALSE(workers.at("w1").running.empty());
    call(cancel_call{"h.example", "/price/" + formatJobId(scheduledJob)});
    const std::size_t starts = workers.starts.size();
    run(seconds(5));
    EXPECT_EQ(phase(scheduledJob), job_phase::cancelled);
    EXPECT_TRUE(workers.at("w1").running.empty());
    EXPECT_TRUE(workers.at("w2").running.empty());
    EXPECT_EQ(workers.starts.size(), starts);
}

} // namespace mango::test
