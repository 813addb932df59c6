#include <gtest/gtest.h>

#include "Dispatch/worker_lease.h"
#include "Fleet/fleet_state_machine.h"
#include "Wire/codec.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

job_graph makeGraph(std::uint32_t tasks)
{
    job_graph graph;
    graph.steps.emplace_back();
    graph.steps[0].tasks = tasks;
    return graph;
}

queue_parameters makeQueueParameters(std::uint32_t maximumFailures)
{
    queue_parameters queueParameters;
    queueParameters.service = "desk";
    queueParameters.maximumFailures = maximumFailures;
    return queueParameters;
}

const worker_incarnation workerIncarnation{"w1", milliseconds(5)};

run_key makeRunKey(std::uint32_t index, std::uint32_t run)
{
    return {{1, 0, 0, index}, run};
}

fleet_command_result applyBeginRun(fleet_state &state, const run_key &key)
{
    return apply(state, begin_runs{{{key, workerIncarnation}}});
}

fleet_command_result applyEndRun(fleet_state &state, const run_key &key, run_outcome outcome,
                                 const std::string &checkpoint = "")
{
    return apply(state, end_runs{0, {{key, outcome, checkpoint}}});
}

} // namespace

TEST(fleet_state, completesAJobWhenAllTasksAreDone)
{
    fleet_state state;
    apply(state, submit_job{1, makeQueueParameters(3), makeGraph(2)});
    EXPECT_EQ(phaseOf(state, 1), job_phase::queued);
    applyBeginRun(state, makeRunKey(0, 1));
    applyBeginRun(state, makeRunKey(1, 1));
    EXPECT_EQ(phaseOf(state, 1), job_phase::running);
    applyEndRun(state, makeRunKey(0, 1), run_outcome::done);
    EXPECT_EQ(phaseOf(state, 1), job_phase::running);
    applyEndRun(state, makeRunKey(1, 1), run_outcome::done);
    EXPECT_EQ(phaseOf(state, 1), job_phase::completed);
    EXPECT_TRUE(state.jobs.empty());
}

// BUDGET: only runs that end as failed count as attempts. Other outcomes, such as a lost run
// or an expired lease, must not use up the failures that maximumFailures allows.
TEST(fleet_state, countsOnlyFailedRunsAsAttempts)
{
    fleet_state state;
    apply(state, submit_job{1, makeQueueParameters(2), makeGraph(1)});
    std::uint32_t run = 0;
    for (const run_outcome outcome :
         {run_outcome::lost, run_outcome::leaseExpired, run_outcome::stopped,
          run_outcome::gangAborted, run_outcome::gangTimedOut, run_outcome::neverStarted,
          run_outcome::failed}) {
        applyBeginRun(state, makeRunKey(0, ++run));
        applyEndRun(state, makeRunKey(0, run), outcome);
        EXPECT_EQ(phaseOf(state, 1), job_phase::running);
    }
    applyBeginRun(state, makeRunKey(0, ++run));
    applyEndRun(state, makeRunKey(0, run), run_outcome::failed);
    EXPECT_EQ(phaseOf(state, 1), job_phase::failed);
}

// Each leader that reads the report of a failure has it counted, and it counts once.
TEST(fleet_state, countsALateFailureOfAGivenUpRunOnce)
{
    fleet_state state;
    apply(state, submit_job{1, makeQueueParameters(2), makeGraph(1)});
    applyBeginRun(state, makeRunKey(0, 1));
    applyEndRun(state, makeRunKey(0, 1), run_outcome::workerSilent);
    for (int repeat = 0; repeat < 3; ++repeat) {
        applyEndRun(state, makeRunKey(0, 1), run_outcome::failed);
        EXPECT_EQ(findTask(state.jobs.at(1), makeRunKey(0, 1).task)->failures, 1U);
    }
    applyBeginRun(state, makeRunKey(0, 2));
    applyEndRun(state, makeRunKey(0, 2), run_outcome::failed);
    EXPECT_EQ(phaseOf(state, 1), job_phase::failed);
}

TEST(fleet_state, keepsTheCheckpointWhenALaterRunHasNone)
{
    fleet_state state;
    apply(state, submit_job{1, makeQueueParameters(3), makeGraph(1)});
    applyBeginRun(state, makeRunKey(0, 1));
    applyEndRun(state, makeRunKey(0, 1), run_outcome::stopped, "half");
    applyBeginRun(state, makeRunKey(0, 2));
    applyEndRun(state, makeRunKey(0, 2), run_outcome::lost);
    EXPECT_EQ(state.jobs.at(1).occurrences.at(0).steps[0][0].checkpoint, "half");
}

// TWICE: a run is never recorded as started if its number is not higher than that of the last run,
// if its task is done or if its job is no longer open.
TEST(fleet_state, ignoresStartsOfStaleRuns)
{
    fleet_state state;
    apply(state, submit_job{1, makeQueueParameters(3), makeGraph(2)});
    applyBeginRun(state, makeRunKey(0, 2));
    applyBeginRun(state, makeRunKey(0, 2));
    applyBeginRun(state, makeRunKey(0, 1));
    EXPECT_EQ(state.jobs.at(1).occurrences.at(0).steps[0][0].active.size(), 1U);
    applyEndRun(state, makeRunKey(0, 2), run_outcome::done);
    applyBeginRun(state, makeRunKey(0, 3));
    EXPECT_TRUE(state.jobs.at(1).occurrences.at(0).steps[0][0].active.empty());
    apply(state, cancel_job{1});
    applyBeginRun(state, makeRunKey(1, 1));
    EXPECT_EQ(phaseOf(state, 1), job_phase::cancelled);
    EXPECT_TRUE(state.jobs.empty());
}

TEST(fleet_state, completesAndFailsAGangAsAUnit)
{
    fleet_state state;
    job_graph graph = makeGraph(3);
    graph.steps[0].gang = true;
    apply(state, submit_job{1, makeQueueParameters(2), graph});
    for (std::uint32_t index = 0; index < 3; ++index) {
        applyBeginRun(state, makeRunKey(index, 1));
    }
    applyEndRun(state, makeRunKey(2, 1), run_outcome::failed);
    applyEndRun(state, makeRunKey(0, 1), run_outcome::gangAborted);
    applyEndRun(state, makeRunKey(1, 1), run_outcome::gangAborted);
    EXPECT_EQ(phaseOf(state, 1), job_phase::running);
    for (std::uint32_t index = 0; index < 3; ++index) {
        applyBeginRun(state, makeRunKey(index, 2));
    }
    applyEndRun(state, makeRunKey(1, 2), run_outcome::done);
    EXPECT_EQ(phaseOf(state, 1), job_phase::completed);
}

TEST(fleet_state, runsEveryOccurrenceOfASchedule)
{
    fleet_state state;
    job_graph graph = makeGraph(1);
    graph.schedule = job_schedule{2, milliseconds(0), milliseconds(10)};
    apply(state, submit_job{1, makeQueueParameters(3), graph});
    const run_key firstRun{{1, 0, 0, 0}, 1};
    const run_key secondRun{{1, 1, 0, 0}, 1};
    applyBeginRun(state, firstRun);
    EXPECT_EQ(phaseOf(state, 1), job_phase::queued);
    apply(state, open_occurrences{{{1, 2}}});
    applyBeginRun(state, firstRun);
    applyEndRun(state, firstRun, run_outcome::done);
    EXPECT_EQ(phaseOf(state, 1), job_phase::running);
    applyBeginRun(state, secondRun);
    applyEndRun(state, secondRun, run_outcome::done);
    EXPECT_EQ(phaseOf(state, 1), job_phase::completed);
}

// CONFIG: only a configuration with a higher version replaces the current one.
TEST(fleet_state, adoptsOnlyHigherConfigurationVersions)
{
    fleet_state state;
    fleet_configuration current;
    current.version = 9;
    current.source = "nine";
    EXPECT_EQ(apply(state, adopt_configuration{current}), fleet_command_result::applied);
    fleet_configuration candidate = current;
    candidate.source = "other";
    EXPECT_EQ(apply(state, adopt_configuration{candidate}), fleet_command_result::unchanged);
    candidate.version = 8;
    EXPECT_EQ(apply(state, adopt_configuration{candidate}), fleet_command_result::unchanged);
    EXPECT_EQ(state.configuration.source, "nine");
}

TEST(fleet_state, keepsTheNewestIncarnationOfAWorker)
{
    fleet_state state;
    worker_record record;
    record.incarnation = workerIncarnation;
    apply(state, register_worker{record});
    worker_record newer = record;
    newer.incarnation.startTime = milliseconds(6);
    apply(state, register_worker{newer});
    EXPECT_EQ(apply(state, register_worker{record}), fleet_command_result::unchanged);
    EXPECT_EQ(apply(state, remove_worker{record.incarnation}), fleet_command_result::unchanged);
    EXPECT_EQ(state.workers.at("w1"), newer);
    EXPECT_EQ(apply(state, remove_worker{newer.incarnation}), fleet_command_result::applied);
    EXPECT_TRUE(state.workers.empty());
}

TEST(fleet_state, restoresASnapshotAndRejectsATruncatedOne)
{
    fleet_state state;
    apply(state, submit_job{1, makeQueueParameters(3), makeGraph(4)});
    applyBeginRun(state, makeRunKey(2, 1));
    apply(state, set_domain_availability{"z", true});
    apply(state, submit_job{2, makeQueueParameters(3), makeGraph(1)});
    apply(state, cancel_job{2});
    const std::string snapshot = encode(state);
    fleet_state restored;
    ASSERT_TRUE(decode(snapshot, restored));
    EXPECT_EQ(encode(restored), snapshot);
    EXPECT_EQ(phaseOf(restored, 2), job_phase::cancelled);
    EXPECT_TRUE(restored.domainsOutOfService.contains("z"));
    EXPECT_FALSE(decode(snapshot.substr(0, snapshot.size() / 2), restored));
}

TEST(configuration, findsTheRouteWithTheLongestPrefix)
{
    fleet_configuration configuration;
    for (const char *prefix : {"/a/", "/a/b/", "/"}) {
        queue_route route;
        route.host = "h";
        route.pathPrefix = prefix;
        configuration.routes.push_back(route);
    }
    EXPECT_EQ(findRoute(configuration, "h", "/a/b/c")->pathPrefix, "/a/b/");
    EXPECT_EQ(findRoute(configuration, "h", "/a/c")->pathPrefix, "/a/");
    EXPECT_EQ(findRoute(configuration, "other", "/a/c"), nullptr);
}

TEST(job_graph, rejectsInvalidGraphsAndJobIds)
{
    EXPECT_TRUE(checkGraph({}).has_value());
    job_graph graph = makeGraph(1);
    EXPECT_FALSE(checkGraph(graph).has_value());
    graph.steps[0].dependsOn = {0};
    EXPECT_EQ(checkGraph(graph)->reason, graph_failure::kind::laterDependency);
    EXPECT_EQ(checkGraph(makeGraph(0))->reason, graph_failure::kind::noTasks);
    EXPECT_EQ(checkGraph(makeGraph(50'000))->reason, graph_failure::kind::tooManyTasks);
    EXPECT_EQ(parseJobId(formatJobId(0x12)), 0x12U);
    EXPECT_FALSE(parseJobId("12").has_value());
    EXPECT_FALSE(parseJobId("000000000000001g").has_value());
}

// A worker's clock may be 2% slow, so a deadline on it has certainly passed only after a longer
// time on the scheduler's clock: 5000 ms on the worker's clock can take 5000 / 0.98 ms, about
// 5102 ms.
TEST(worker_lease, allowsForSlowWorkerClocks)
{
    const steady_time now{std::chrono::hours(1)};
    const clock_reading reading{milliseconds(1000), now};
    const steady_time expiry = latestExpiry(reading, milliseconds(6000));
    EXPECT_GE(expiry - now, milliseconds(5102));
    EXPECT_LT(expiry - now, milliseconds(5300));
    EXPECT_EQ(estimateClock(reading, now + seconds(2)), milliseconds(3000));
    std::optional<clock_reading> latestReading = reading;
    updateReading(latestReading, milliseconds(900), now + seconds(1));
    EXPECT_EQ(latestReading->workerTime, milliseconds(1000))
            << "a response that arrived out of order must not replace a newer reading";
}

} // namespace mango::test
