#include <gtest/gtest.h>

#include <malloc.h>

#include "Jobs/job_memory.h"
#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A job of many small steps, as large as a body of 256 KB allows.
job_graph jobOfSteps(std::size_t steps, std::uint32_t tasksOfEach = 1)
{
    job_graph graph = fleet_group::oneStep(tasksOfEach);
    graph.steps.resize(steps, graph.steps.front());
    return graph;
}

// A group without workers, so that jobs wait, whose open jobs may hold as much as `jobs` of these.
struct full_group : fleet_group
{
    full_group(std::size_t size, std::uint64_t jobs)
        : fleet_group(size, 0, size)
    {
        openJobs.bytes = jobs * jobMemory(graph).sum();
        for (std::size_t number = 0; number < size; ++number) {
            start(number, true);
        }
        run(seconds(3));
        configure();
    }

    job_graph graph = jobOfSteps(50);
};

// What a group of one process holds.
struct held_memory
{
    std::size_t heap = 0;
    std::size_t disk = 0;

    // The content of the fake disk is on the heap, and in the replica's log and snapshot again.
    [[nodiscard]] std::size_t state() const
    {
        return heap - 2 * disk;
    }
};

held_memory heldBy(const fleet_group &group)
{
    const struct mallinfo2 heap = mallinfo2();
    held_memory held{heap.uordblks + heap.hblkhd, 0};
    for (const auto &[name, bytes] : group.disks[0]->files) {
        held.disk += bytes.capacity();
    }
    return held;
}

} // namespace

// Some 20 jobs of 10,500 steps, each within the limits, ended all control processes again and
// again.
TEST(open_job_account, growsWithoutEndByTheNumberOfJobs)
{
    full_group group(3, 4);
    for (std::uint64_t job = 1; job <= 8; ++job) {
        const fleet_response response = group.submit(job, group.graph);
        EXPECT_EQ(response.outcome, job <= 4 ? fleet_outcome::accepted : fleet_outcome::overloaded);
        EXPECT_EQ(response.retryAfter, seconds(job <= 4 ? 0 : 30));
    }
    EXPECT_EQ(group.leading().state().jobs.size(), 4U);
    EXPECT_EQ(group.submit(2, group.graph).outcome, fleet_outcome::accepted);
    EXPECT_EQ(group.submit(9, jobOfSteps(300)).outcome, fleet_outcome::invalid);
    // Cancels are served whatever the memory, and the room of what is over is free again.
    EXPECT_EQ(group.call(cancel_call{"h.example", "/price/" + formatJobId(3)}).outcome,
              fleet_outcome::accepted);
    const fleet_response again = group.submit(5, group.graph);
    EXPECT_EQ(again.outcome, fleet_outcome::accepted);
    EXPECT_EQ(group.submit(6, group.graph).retryAfter, seconds(10));
}

// Submissions that were being committed at the same time found the same room.
TEST(open_job_account, givesTheSameRoomToSeveralSubmissions)
{
    full_group group(3, 4);
    std::vector<fleet_outcome> outcomes;
    const auto submit = [&group, &outcomes](std::uint64_t job) -> boost::asio::awaitable<void> {
        fleet_request call = submit_call{"h.example", "/price/" + formatJobId(job), group.graph};
        const auto response = co_await group.leading().serve(std::move(call), 0);
        outcomes.push_back(response.outcome);
    };
    for (std::uint64_t job = 1; job <= 12; ++job) {
        boost::asio::co_spawn(*group.context, submit(job), boost::asio::detached);
    }
    group.run(seconds(2));
    EXPECT_EQ(std::count(outcomes.begin(), outcomes.end(), fleet_outcome::accepted), 4);
    EXPECT_EQ(std::count(outcomes.begin(), outcomes.end(), fleet_outcome::overloaded), 8);
    EXPECT_EQ(group.leading().state().jobs.size(), 4U);
}

// A replica that starts again counts the jobs of its log, and another leader those of the first.
TEST(open_job_account, startsAnewWithEachLeader)
{
    full_group group(3, 2);
    group.submit(1, group.graph);
    group.submit(2, group.graph);
    for (std::size_t number = 0; number < 3; ++number) {
        group.crash(number);
        group.start(number, false);
        group.run(seconds(4));
        EXPECT_EQ(group.submit(3, group.graph).outcome, fleet_outcome::overloaded);
    }
    group.workers.add("w1");
    group.announce("w1");
    group.run(seconds(60));
    EXPECT_EQ(group.phase(1), job_phase::completed);
    EXPECT_EQ(group.submit(3, group.graph).outcome, fleet_outcome::accepted);
}

// Occurrences that are due at once are opened as far as there is room, and all run in the end.
// Other jobs leave a schedule room for one occurrence at a time.
TEST(open_job_account, opensEachOccurrenceThatIsDue)
{
    constexpr std::uint32_t count = 9;
    full_group group(3, 4);
    job_graph scheduled = group.graph;
    scheduled.schedule = job_schedule{count, milliseconds(0), milliseconds(0)};
    for (std::uint64_t job = 2; job <= 3; ++job) {
        group.submit(job, group.graph);
    }
    group.submit(1, scheduled);
    group.run(seconds(1));
    const auto &jobs = group.leading().state().jobs;
    EXPECT_EQ(jobs.at(1).occurrences.size(), 2U);
    EXPECT_EQ(group.submit(4, group.graph).outcome, fleet_outcome::overloaded);
    group.workers.add("w1");
    group.announce("w1");
    for (int wait = 0; wait < 120 && jobs.contains(1); ++wait) {
        EXPECT_LE(jobs.at(1).occurrences.size(), 4U);
        group.run(seconds(1));
    }
    EXPECT_EQ(group.phase(1), job_phase::completed);
    EXPECT_EQ(group.phase(3), job_phase::completed);
}

namespace {

std::uint64_t bytesOfOpenJobs(const fleet_state &state)
{
    std::uint64_t bytes = 0;
    for (const auto &[number, job] : state.jobs) {
        bytes += jobMemory(job.graph, job.occurrences.size()).sum();
    }
    return bytes;
}

job_graph randomJob(seeded_random &draw)
{
    job_graph graph = jobOfSteps(1 + draw.below(40), 1 + static_cast<std::uint32_t>(draw.below(8)));
    if (draw.below(3) == 0) {
        graph.schedule = job_schedule{static_cast<std::uint32_t>(1 + draw.below(6)),
                                      milliseconds(0), milliseconds(draw.below(3000))};
    }
    return graph;
}

void announceWorkers(full_group &group)
{
    for (const char *worker : {"w1", "w2"}) {
        group.workers.add(worker);
        group.announce(worker);
    }
}

// Compares the figure that each replica exports once a second with its state.
void expectExactAccounts(const full_group &group)
{
    for (const auto &node : group.nodes) {
        EXPECT_EQ(node->metricsRegistry.at("mango_memory_bytes{part=\"open_jobs\"}"),
                  bytesOfOpenJobs(node->server->state()));
    }
}

// Submits and cancels jobs at random, several at a time, while replicas are killed and start again.
void changeJobsAtRandom(full_group &group, seeded_random &draw)
{
    for (int change = 0; change < 40; ++change) {
        const std::uint64_t job = 1 + draw.below(30);
        const std::string path = "/price/" + formatJobId(job);
        switch (draw.below(8)) {
        case 0:
            group.call(cancel_call{"h.example", path});
            break;
        case 1: {
            const std::size_t killed = draw.below(3);
            group.crash(killed);
            group.run(milliseconds(draw.below(2000)));
            group.start(killed, false);
            break;
        }
        case 2:
            group.run(milliseconds(draw.below(3000)));
            break;
        default:
            group.spawn(submit_call{"h.example", path, randomJob(draw)});
        }
        if (group.leader() >= 0) {
            ASSERT_LE(bytesOfOpenJobs(group.leading().state()), group.openJobs.bytes);
        }
    }
}

} // namespace

// The account of a replica differed from what its jobs hold after some order of submissions,
// cancels, occurrences and restarts, or the jobs held more than they may. Finally all jobs end.
TEST(open_job_account, differsAfterRandomChangesOfJobsAndLeaders)
{
    std::uint64_t first = 1;
    // MANGO_FIRST_SEED selects other seeds for manual runs.
    if (const char *given = std::getenv("MANGO_FIRST_SEED"); given != nullptr) {
        first = std::strtoull(given, nullptr, 10);
    }
    for (std::uint64_t seed = first; seed < first + 6; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        seeded_random draw(seed);
        full_group group(3, 3);
        const bool runsAtOnce = draw.below(2) == 0;
        if (runsAtOnce) {
            announceWorkers(group);
        }
        changeJobsAtRandom(group, draw);
        group.run(seconds(5));
        if (!runsAtOnce) {
            // Nothing has changed since the figures were exported.
            expectExactAccounts(group);
            announceWorkers(group);
        }
        for (int wait = 0; wait < 300 && !group.leading().state().jobs.empty(); ++wait) {
            group.run(seconds(1));
        }
        EXPECT_TRUE(group.leading().state().jobs.empty());
        group.run(seconds(2));
        expectExactAccounts(group);
    }
}

// The account of a waiting job was not what the leader held for it.
TEST(open_job_account, countsJobsByTheirText)
{
    const std::vector<std::array<std::uint32_t, 3>> shapes{
            {4, 3000, 1}, {2, 1, 20'000}, {1000, 2, 8}};
    for (const auto &[jobs, steps, tasks] : shapes) {
        fleet_group group(1);
        group.configure();
        const job_graph graph = jobOfSteps(steps, tasks);
        const held_memory empty = heldBy(group);
        for (std::uint32_t job = 1; job <= jobs; ++job) {
            group.submit(job, graph);
        }
        const auto held = static_cast<double>(heldBy(group).state() - empty.state()) / jobs;
        const auto counted = static_cast<double>(jobMemory(graph).atRestBytes);
        EXPECT_NEAR(counted, held, held / 5) << steps << " steps of " << tasks;
    }
}

// The runs of a job took memory that nothing had counted when it was accepted.
TEST(open_job_account, leavesOutTheRunsOfAJob)
{
    fleet_group group(1);
    group.configure();
    job_graph graph = jobOfSteps(1, 2000);
    graph.steps.front().resources = {};
    graph.steps.front().estimate = seconds(1000);
    group.submit(1, graph);
    const held_memory waiting = heldBy(group);
    group.workers.add("w1");
    group.announce("w1");
    group.run(seconds(3));
    EXPECT_EQ(group.workers.starts.size(), 2000U);
    const std::size_t held = heldBy(group).state() - waiting.state();
    EXPECT_GE(jobMemory(graph).runBytes, held);
    EXPECT_LE(jobMemory(graph).runBytes, 2 * held);
}

} // namespace mango::test
