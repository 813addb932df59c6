#include <gtest/gtest.h>

#include "Common/event_log.h"
#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::size_t startsOf(const fleet_group &group, std::uint64_t job)
{
    return static_cast<std::size_t>(std::count_if(group.workers.starts.begin(),
                                                  group.workers.starts.end(),
                                                  [job](const seen_start &start) {
                                                      return start.key.task.job == job;
                                                  }));
}

// Three control processes, a queue and two workers.
struct small_fleet : fleet_group
{
    small_fleet()
        : fleet_group(3)
    {
        workers.add("w1");
        workers.add("w2");
        configure();
        announce("w1");
        announce("w2");
        run(milliseconds(200));
    }
};

// Two workers, one of which a lasting task fills.
struct busy_fleet : small_fleet
{
    busy_fleet()
    {
        job_graph graph = oneStep(1, 32'000);
        graph.steps[0].longRunning = true;
        workers.runLength = seconds(600);
        submit(5, graph);
        run(milliseconds(300));
        other = workers.starts.back().worker == "w1" ? "w2" : "w1";
    }

    // Ten short tasks fail at once on the other worker, which is sound after that.
    void failTogether()
    {
        workers.runLength = milliseconds(500);
        workers.at(other).failsAll = true;
        submit(7, oneStep(10));
        run(milliseconds(700));
        workers.at(other).failsAll = false;
    }

    std::string other;
};

} // namespace

TEST(dispatch, runsAJobToItsEnd)
{
    small_fleet group;
    EXPECT_EQ(group.submit(7, fleet_group::oneStep(4)).outcome, fleet_outcome::accepted);
    EXPECT_EQ(group.phase(7), job_phase::running);
    group.run(seconds(1));
    EXPECT_EQ(group.phase(7), job_phase::completed);
    EXPECT_EQ(startsOf(group, 7), 4U);
    EXPECT_EQ(group.workers.starts.front().specification, "do it");
}

TEST(dispatch, startsAStepOnlyAfterThoseItDependsOn)
{
    small_fleet group;
    job_graph graph = fleet_group::oneStep(2);
    graph.steps.push_back(graph.steps[0]);
    graph.steps[1].dependsOn = {0};
    group.submit(7, graph);
    group.run(milliseconds(300));
    EXPECT_EQ(startsOf(group, 7), 2U);
    group.run(milliseconds(400));
    EXPECT_EQ(startsOf(group, 7), 4U);
    group.run(seconds(1));
    EXPECT_EQ(group.phase(7), job_phase::completed);
}

// P7: a repeat of a submission is the same job, also at another process and after its end.
TEST(dispatch, takesARepeatedSubmissionForTheSameJob)
{
    small_fleet group;
    group.submit(7, fleet_group::oneStep(1));
    EXPECT_EQ(group.submit(7, fleet_group::oneStep(3)).outcome, fleet_outcome::accepted);
    group.run(seconds(2));
    for (std::size_t number = 0; number < 3; ++number) {
        const submit_call again{"h.example", "/price/" + jobName(7), fleet_group::oneStep(1)};
        EXPECT_EQ(group.call(number, again).outcome, fleet_outcome::accepted);
    }
    group.run(seconds(1));
    EXPECT_EQ(startsOf(group, 7), 1U);
}

// P2: an order that got no answer may be carried out later; the task stays with that worker until
// the order is certainly void.
TEST(dispatch, doesNotGiveOutATaskWhoseOrderMayStillArrive)
{
    small_fleet group;
    group.workers.at("w1").startsLate = milliseconds(2200);
    group.workers.at("w2").startsLate = milliseconds(2200);
    group.workers.runLength = seconds(4);
    group.submit(7, fleet_group::oneStep(6));
    group.run(seconds(2));
    group.workers.at("w1").startsLate.reset();
    group.workers.at("w2").startsLate.reset();
    group.run(seconds(12));
    EXPECT_TRUE(group.workers.doubled.empty()) << group.workers.doubled.front();
    EXPECT_EQ(group.phase(7), job_phase::completed);
}

// P2: an order that comes after its deadline does nothing, and the task is given out again.
TEST(dispatch, givesATaskOutAgainOnceItsOrderIsVoid)
{
    small_fleet group;
    group.workers.at("w1").startsLate = seconds(8);
    group.workers.at("w2").startsLate = seconds(8);
    group.submit(7, fleet_group::oneStep(2));
    group.run(seconds(2));
    group.workers.at("w1").startsLate.reset();
    group.workers.at("w2").startsLate.reset();
    group.run(seconds(15));
    EXPECT_TRUE(group.workers.doubled.empty());
    EXPECT_EQ(startsOf(group, 7), 2U);
    EXPECT_EQ(group.phase(7), job_phase::completed);
}

// P2, L2: the runs of a worker that is cut off are given out again once its lease is over, and not
// before.
TEST(dispatch, waitsForTheLeaseOfASilentWorker)
{
    small_fleet group;
    group.workers.runLength = seconds(60);
    group.submit(7, fleet_group::oneStep(2));
    group.run(seconds(1));
    group.workers.at("w1").cut = true;
    const steady_time cutAt = group.clock.now();
    group.run(seconds(10));
    EXPECT_TRUE(group.workers.doubled.empty()) << group.workers.doubled.front();
    ASSERT_EQ(startsOf(group, 7), 3U);
    const auto waited = group.workers.starts.back().at - cutAt;
    EXPECT_GT(waited, seconds(4));
    // A lasting task must be back within nine seconds; see LOST in the platform's rules.
    EXPECT_LT(waited, seconds(8));
}

// A silent worker is asked again and again; that must not put off the end of its lease.
TEST(dispatch, doesNotProlongTheLeaseOfASilentWorker)
{
    small_fleet group;
    group.workers.runLength = seconds(120);
    job_graph graph = fleet_group::oneStep(2);
    graph.steps[0].longRunning = true;
    group.submit(7, graph);
    group.run(seconds(1));
    const std::string silent = group.workers.starts.back().worker;
    const std::string other = silent == "w1" ? "w2" : "w1";
    const std::size_t lost = group.workers.at(silent).running.size();
    group.workers.at(silent).cut = true;
    group.run(seconds(9));
    EXPECT_EQ(startsOf(group, 7), 2 + lost);
    EXPECT_EQ(group.workers.at(other).running.size(), 2U);
}

// P2: a worker that began again under its id runs nothing any more; what was ordered of its earlier
// life is barred before the task is given out.
TEST(dispatch, barsOrdersOfAnEarlierLife)
{
    small_fleet group;
    group.workers.at("w2").cut = true;
    group.run(seconds(3));
    group.workers.at("w1").startsLate = milliseconds(2000);
    group.workers.runLength = seconds(5);
    group.submit(7, fleet_group::oneStep(2));
    group.run(milliseconds(300));
    group.workers.add("w1");
    group.announce("w1");
    group.workers.at("w2").cut = false;
    group.run(seconds(12));
    EXPECT_TRUE(group.workers.doubled.empty()) << group.workers.doubled.front();
    EXPECT_EQ(group.phase(7), job_phase::completed);
}

// P2: ends are acknowledged only after they were agreed on, and a new leader goes on with what
// runs.
TEST(dispatch, anotherLeaderGoesOnWithWhatRuns)
{
    small_fleet group;
    group.workers.runLength = seconds(3);
    group.submit(7, fleet_group::oneStep(4));
    group.run(milliseconds(500));
    group.crash(static_cast<std::size_t>(group.leader()));
    group.run(seconds(6));
    ASSERT_GE(group.leader(), 0);
    EXPECT_TRUE(group.workers.doubled.empty());
    EXPECT_EQ(startsOf(group, 7), 4U) << "work was lost with the leader";
    EXPECT_EQ(group.phase(7), job_phase::completed);
}

// P2: a leader that is cut off from the others stops acting before they choose another.
TEST(dispatch, aCutOffLeaderStopsActing)
{
    small_fleet group;
    const auto old = static_cast<std::size_t>(group.leader());
    group.isolate(old);
    for (int step = 0; step < 40; ++step) {
        group.run(milliseconds(50));
        std::size_t leaders = 0;
        for (const auto &node : group.nodes) {
            leaders += node->server->leads() ? 1 : 0;
        }
        EXPECT_LE(leaders, 1U);
    }
    group.run(seconds(2));
    EXPECT_FALSE(group.nodes[old]->server->leads());
    EXPECT_GE(group.leader(), 0);
}

// A host that was suspended finds out before it does anything: leases count that time.
TEST(dispatch, aSuspendedLeaderFindsOutAtOnce)
{
    small_fleet group;
    ASSERT_GE(group.leader(), 0);
    fleet_server &old = group.leading();
    group.clock.jump(seconds(7));
    EXPECT_FALSE(old.leads());
}

// P8: nothing starts on a worker once its wish to leave was acknowledged.
TEST(dispatch, startsNothingOnADrainingWorker)
{
    small_fleet group;
    group.workers.at("w1").record.draining = true;
    group.announce("w1");
    group.workers.starts.clear();
    group.submit(7, fleet_group::oneStep(10));
    group.run(seconds(2));
    for (const seen_start &start : group.workers.starts) {
        EXPECT_EQ(start.worker, "w2");
    }
    EXPECT_EQ(group.phase(7), job_phase::completed);
}

// P4: nothing starts in a failure domain that is out, also under the next leader.
TEST(dispatch, startsNothingInADomainThatIsOut)
{
    small_fleet group;
    group.workers.at("w2").record.failureDomain = "b";
    group.announce("w2");
    group.call(domain_call{"a", true});
    group.crash(static_cast<std::size_t>(group.leader()));
    group.run(seconds(4));
    group.workers.starts.clear();
    group.submit(7, fleet_group::oneStep(10));
    group.run(seconds(2));
    ASSERT_FALSE(group.workers.starts.empty());
    for (const seen_start &start : group.workers.starts) {
        EXPECT_EQ(start.worker, "w2");
    }
}

// L5: the runs of a cancelled job are stopped, and none starts any more.
TEST(dispatch, stopsACancelledJob)
{
    small_fleet group;
    group.workers.runLength = seconds(30);
    group.submit(7, fleet_group::oneStep(80));
    group.run(milliseconds(300));
    group.call(cancel_call{"h.example", "/price/" + jobName(7)});
    const std::size_t before = startsOf(group, 7);
    group.run(seconds(1));
    EXPECT_EQ(startsOf(group, 7), before);
    EXPECT_TRUE(group.workers.at("w1").running.empty());
    EXPECT_TRUE(group.workers.at("w2").running.empty());
    EXPECT_EQ(group.phase(7), job_phase::cancelled);
}

TEST(dispatch, failsAJobAfterItsLastAttempt)
{
    small_fleet group;
    group.workers.at("w1").failsAll = true;
    group.workers.at("w2").failsAll = true;
    group.submit(7, fleet_group::oneStep(1));
    group.run(seconds(5));
    EXPECT_EQ(group.phase(7), job_phase::failed);
    EXPECT_EQ(startsOf(group, 7), 3U);
}

// L4: a task that failed on one worker is tried on another.
TEST(dispatch, triesAFailedTaskElsewhere)
{
    small_fleet group;
    group.workers.at("w1").failsAll = true;
    group.submit(7, fleet_group::oneStep(6));
    group.run(seconds(4));
    EXPECT_EQ(group.phase(7), job_phase::completed);
}

// L4, L1: the tasks of a worker that hangs move, and one stall rests it for seconds, however many
// of its runs stood still.
TEST(dispatch, movesTheTasksOfAWorkerThatHangs)
{
    small_fleet group;
    group.workers.at("w1").hangs = true;
    group.submit(7, fleet_group::oneStep(18));
    group.run(seconds(6));
    EXPECT_EQ(group.phase(7), job_phase::completed);
    EXPECT_TRUE(group.workers.doubled.empty());
    group.workers.at("w1").hangs = false;
    group.run(seconds(3));
    group.workers.starts.clear();
    group.submit(8, fleet_group::oneStep(18));
    group.run(seconds(2));
    EXPECT_TRUE(std::any_of(group.workers.starts.begin(), group.workers.starts.end(),
                            [](const seen_start &start) {
                                return start.worker == "w1";
                            }))
            << "one stall keeps the worker out for too long";
}

TEST(dispatch, startsALastingTaskAgainHoweverItEnds)
{
    small_fleet group;
    job_graph graph = fleet_group::oneStep(2);
    graph.steps[0].longRunning = true;
    group.submit(7, graph);
    group.run(seconds(3));
    EXPECT_GE(startsOf(group, 7), 8U);
    EXPECT_EQ(group.phase(7), job_phase::running);
}

// HARM: a task that stays at its bound while the rough reports swing about it gets its worker back
// before four seconds are over.
TEST(dispatch, haltsWhatKeepsATaskAboutItsBound)
{
    fleet_group group(3);
    group.workers.add("w1");
    group.configure();
    group.announce("w1");
    group.workers.runLength = seconds(30);
    job_graph serving = fleet_group::oneStep(1);
    serving.steps[0].longRunning = true;
    serving.steps[0].image = "shop";
    serving.steps[0].tailTarget = milliseconds(50);
    group.submit(7, serving);
    group.run(milliseconds(500));
    job_graph filling = fleet_group::oneStep(1);
    filling.steps[0].fillsGaps = true;
    filling.steps[0].image = "plan";
    group.submit(8, filling);
    int reports = 0;
    group.workers.reportedLoad = [&](const run_key &key) {
        if (key.task.job != 7) {
            return 1000U;
        }
        ++reports;
        return reports % 2 == 0 ? 49U : 53U;
    };
    group.run(seconds(4));
    ASSERT_EQ(startsOf(group, 8), 1U);
    const run_key run = group.workers.starts.back().key;
    EXPECT_TRUE(group.workers.paces.contains(run) && group.workers.paces[run] == 0);
}

// LOST: many tasks of a worker that fail together are one failure, so that it does not rest for
// long after it is sound again.
TEST(dispatch, countsFailuresThatComeTogetherOnce)
{
    busy_fleet group;
    std::vector<std::string> rests;
    captureEvents([&](const std::string &line) {
        if (line.find("event=worker-rests") != std::string::npos) {
            rests.push_back(line);
        }
    });
    group.failTogether();
    captureEvents({});
    ASSERT_EQ(rests.size(), 1U);
    EXPECT_NE(rests[0].find("for_ms=3000"), std::string::npos) << rests[0];
}

// LOST: a lasting task that finds no other room tries a worker that rests, since that may be sound
// again.
TEST(dispatch, letsAWaitingLastingTaskTryARestingWorker)
{
    busy_fleet group;
    group.failTogether();
    job_graph graph = fleet_group::oneStep(1, 10'000);
    graph.steps[0].longRunning = true;
    group.workers.runLength = seconds(60);
    group.submit(8, graph);
    group.run(milliseconds(500));
    EXPECT_EQ(startsOf(group, 8), 0U) << "it rests";
    group.run(milliseconds(1500));
    EXPECT_EQ(startsOf(group, 8), 1U);
}

// A gang starts with all its members in one run, or not at all.
TEST(dispatch, startsAGangAsAWhole)
{
    small_fleet group;
    job_graph graph = fleet_group::oneStep(3, 20'000);
    graph.steps[0].gang = true;
    group.submit(7, graph);
    group.run(seconds(1));
    EXPECT_EQ(startsOf(group, 7), 0U) << "two workers have room for two members only";
    group.workers.add("w3");
    group.announce("w3");
    group.run(seconds(2));
    ASSERT_EQ(startsOf(group, 7), 3U);
    for (const seen_start &start : group.workers.starts) {
        EXPECT_EQ(start.key.run, 1U);
    }
    EXPECT_EQ(group.phase(7), job_phase::completed);
}

// A member of a gang that stands still is neither moved nor copied: the others would end with it.
TEST(dispatch, leavesTheMembersOfAGangTogether)
{
    small_fleet group;
    job_graph graph = fleet_group::oneStep(2, 20'000);
    graph.steps[0].gang = true;
    graph.steps[0].allowsCopies = true;
    group.workers.at("w1").hangs = true;
    group.workers.runLength = seconds(30);
    group.submit(7, graph);
    group.run(seconds(1));
    ASSERT_EQ(startsOf(group, 7), 2U);
    group.workers.add("w3");
    group.announce("w3");
    group.run(seconds(10));
    EXPECT_EQ(startsOf(group, 7), 2U);
}

// TWICE: an end that needs no agreement is not acknowledged before an earlier one that does, since
// an acknowledgement covers all ends up to its number.
TEST(dispatch, acknowledgesNoEndBeforeAnEarlierOneIsAgreed)
{
    small_fleet group;
    group.submit(7, fleet_group::oneStep(1));
    fake_worker &worker = group.workers.at(group.workers.starts.back().worker);
    while (!worker.running.empty()) {
        group.run(milliseconds(10));
        if (group.clock.now() - worker.running.begin()->second.since > milliseconds(470)) {
            break;
        }
    }
    group.isolate(static_cast<std::size_t>(group.leader()));
    group.run(milliseconds(60));
    ASSERT_EQ(worker.ended.size(), 1U);
    const run_key stray{{99, 0, 0, 0}, 1};
    worker.ended.push_back({++worker.lastEnd, stray, run_outcome::done, ""});
    group.run(milliseconds(250));
    EXPECT_EQ(worker.acknowledged, 0U);
    group.links->blockedLinks.clear();
    group.run(seconds(3));
    EXPECT_EQ(worker.acknowledged, 2U);
    EXPECT_EQ(group.phase(7), job_phase::completed);
}

TEST(dispatch, keepsToTheLimitOfAStepOnOneWorker)
{
    small_fleet group;
    group.workers.runLength = seconds(30);
    job_graph graph = fleet_group::oneStep(5);
    graph.steps[0].perWorkerLimit = 2;
    group.submit(7, graph);
    group.run(seconds(1));
    EXPECT_EQ(group.workers.at("w1").running.size(), 2U);
    EXPECT_EQ(group.workers.at("w2").running.size(), 2U);
}

// P10: the highest version is in force; one that is not higher changes nothing, and is accepted.
TEST(dispatch, putsTheHighestConfigurationInForce)
{
    small_fleet group;
    group.call(configure_call{fleet_group::configuration(9)});
    fleet_configuration other = fleet_group::configuration(9);
    other.source = "another of the same version";
    EXPECT_EQ(group.call(configure_call{other}).outcome, fleet_outcome::accepted);
    const auto older = group.call(configure_call{fleet_group::configuration(4)});
    EXPECT_EQ(older.outcome, fleet_outcome::accepted);
    for (std::size_t number = 0; number < 3; ++number) {
        EXPECT_EQ(group.call(number, read_configuration_call{}).text, "version 9");
    }
}

// P10: what was accepted is there after every process was killed.
TEST(dispatch, keepsConfigurationDomainsAndJobsWhenAllAreKilled)
{
    small_fleet group;
    group.call(configure_call{fleet_group::configuration(9)});
    group.call(domain_call{"b", true});
    group.workers.runLength = seconds(4);
    group.submit(7, fleet_group::oneStep(2));
    for (std::size_t number = 0; number < 3; ++number) {
        group.crash(number);
    }
    for (std::size_t number = 0; number < 3; ++number) {
        group.start(number, false);
    }
    group.run(seconds(12));
    ASSERT_GE(group.leader(), 0);
    EXPECT_EQ(group.call(read_configuration_call{}).text, "version 9");
    EXPECT_TRUE(group.leading().state().domainsOut.contains("b"));
    EXPECT_EQ(group.phase(7), job_phase::completed);
    EXPECT_TRUE(group.workers.doubled.empty());
}

TEST(dispatch, ignoresAnnouncementsOfAnEarlierLife)
{
    small_fleet group;
    const worker_record earlier = group.workers.at("w1").record;
    group.workers.add("w1");
    group.announce("w1");
    const worker_record now = group.workers.at("w1").record;
    group.call(beat_call{{earlier, 1000}});
    EXPECT_EQ(group.leading().state().workers.at("w1"), now);
}

TEST(dispatch, answersForQueuesAndJobsThatDoNotExist)
{
    small_fleet group;
    EXPECT_EQ(group.call(query_call{"h.example", "/none/"}).outcome, fleet_outcome::unknownQueue);
    EXPECT_EQ(group.call(query_call{"h.example", "/price/" + jobName(99)}).outcome,
              fleet_outcome::unknownJob);
    EXPECT_EQ(group.call(query_call{"h.example", "/price/"}).waiting, 0U);
    EXPECT_EQ(group.submit(5, job_graph{}).outcome, fleet_outcome::invalid);
}

} // namespace mango::test
