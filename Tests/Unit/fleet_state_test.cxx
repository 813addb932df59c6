#include <gtest/gtest.h>

#include "Dispatch/worker_lease.h"
#include "Fleet/fleet_machine.h"
#include "Wire/codec.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

job_graph graphOf(std::uint32_t tasks)
{
    job_graph graph;
    graph.steps.emplace_back();
    graph.steps[0].tasks = tasks;
    return graph;
}

queue_terms termsWith(std::uint32_t maximumFailures)
{
    queue_terms terms;
    terms.service = "desk";
    terms.maximumFailures = maximumFailures;
    return terms;
}

const worker_life someLife{"w1", milliseconds(5)};

run_key keyOf(std::uint32_t index, std::uint32_t run)
{
    return {{1, 0, 0, index}, run};
}

fleet_verdict begin(fleet_state &state, const run_key &key)
{
    return apply(state, begin_runs{{{key, someLife}}});
}

fleet_verdict end(fleet_state &state, const run_key &key, run_outcome outcome,
                  const std::string &checkpoint = "")
{
    return apply(state, end_runs{0, {{key, outcome, checkpoint}}});
}

} // namespace

TEST(fleet_state, completesAJobWhenAllTasksAreDone)
{
    fleet_state state;
    apply(state, submit_graph{1, termsWith(3), graphOf(2)});
    EXPECT_EQ(phaseOf(state, 1), job_phase::queued);
    begin(state, keyOf(0, 1));
    begin(state, keyOf(1, 1));
    EXPECT_EQ(phaseOf(state, 1), job_phase::running);
    end(state, keyOf(0, 1), run_outcome::done);
    EXPECT_EQ(phaseOf(state, 1), job_phase::running);
    end(state, keyOf(1, 1), run_outcome::done);
    EXPECT_EQ(phaseOf(state, 1), job_phase::completed);
    EXPECT_TRUE(state.jobs.empty());
}

// BUDGET: only ends that failed count as attempts.
TEST(fleet_state, failsAJobOnlyForFailures)
{
    fleet_state state;
    apply(state, submit_graph{1, termsWith(2), graphOf(1)});
    std::uint32_t run = 0;
    for (const run_outcome outcome :
         {run_outcome::lost, run_outcome::lapsed, run_outcome::stopped, run_outcome::broken,
          run_outcome::alone, run_outcome::neverStarted, run_outcome::failed}) {
        begin(state, keyOf(0, ++run));
        end(state, keyOf(0, run), outcome);
        EXPECT_EQ(phaseOf(state, 1), job_phase::running);
    }
    begin(state, keyOf(0, ++run));
    end(state, keyOf(0, run), run_outcome::failed);
    EXPECT_EQ(phaseOf(state, 1), job_phase::failed);
}

TEST(fleet_state, keepsTheNewestCheckpoint)
{
    fleet_state state;
    apply(state, submit_graph{1, termsWith(3), graphOf(1)});
    begin(state, keyOf(0, 1));
    end(state, keyOf(0, 1), run_outcome::stopped, "half");
    begin(state, keyOf(0, 2));
    end(state, keyOf(0, 2), run_outcome::lost);
    EXPECT_EQ(state.jobs.at(1).occurrences.at(0).steps[0][0].checkpoint, "half");
}

// TWICE: a run that is not newer than the last, of a done task or of a closed job is never begun.
TEST(fleet_state, beginsNoStaleRun)
{
    fleet_state state;
    apply(state, submit_graph{1, termsWith(3), graphOf(2)});
    begin(state, keyOf(0, 2));
    begin(state, keyOf(0, 2));
    begin(state, keyOf(0, 1));
    EXPECT_EQ(state.jobs.at(1).occurrences.at(0).steps[0][0].active.size(), 1U);
    end(state, keyOf(0, 2), run_outcome::done);
    begin(state, keyOf(0, 3));
    EXPECT_TRUE(state.jobs.at(1).occurrences.at(0).steps[0][0].active.empty());
    apply(state, cancel_graph{1});
    begin(state, keyOf(1, 1));
    EXPECT_EQ(phaseOf(state, 1), job_phase::cancelled);
    EXPECT_TRUE(state.jobs.empty());
}

TEST(fleet_state, aGangIsDoneAndFailsAsAWhole)
{
    fleet_state state;
    job_graph graph = graphOf(3);
    graph.steps[0].gang = true;
    apply(state, submit_graph{1, termsWith(2), graph});
    for (std::uint32_t index = 0; index < 3; ++index) {
        begin(state, keyOf(index, 1));
    }
    end(state, keyOf(2, 1), run_outcome::failed);
    end(state, keyOf(0, 1), run_outcome::broken);
    end(state, keyOf(1, 1), run_outcome::broken);
    EXPECT_EQ(phaseOf(state, 1), job_phase::running);
    for (std::uint32_t index = 0; index < 3; ++index) {
        begin(state, keyOf(index, 2));
    }
    end(state, keyOf(1, 2), run_outcome::done);
    EXPECT_EQ(phaseOf(state, 1), job_phase::completed);
}

TEST(fleet_state, repeatsEachOccurrenceOfASchedule)
{
    fleet_state state;
    job_graph graph = graphOf(1);
    graph.schedule = job_schedule{2, milliseconds(0), milliseconds(10)};
    apply(state, submit_graph{1, termsWith(3), graph});
    const run_key first{{1, 0, 0, 0}, 1};
    const run_key second{{1, 1, 0, 0}, 1};
    begin(state, first);
    end(state, first, run_outcome::done);
    EXPECT_EQ(phaseOf(state, 1), job_phase::running);
    begin(state, second);
    end(state, second, run_outcome::done);
    EXPECT_EQ(phaseOf(state, 1), job_phase::completed);
}

// CONFIG: only a higher version changes anything.
TEST(fleet_state, takesOnlyHigherVersions)
{
    fleet_state state;
    fleet_configuration nine;
    nine.version = 9;
    nine.source = "nine";
    EXPECT_EQ(apply(state, adopt_configuration{nine}), fleet_verdict::applied);
    fleet_configuration other = nine;
    other.source = "other";
    EXPECT_EQ(apply(state, adopt_configuration{other}), fleet_verdict::unchanged);
    other.version = 8;
    EXPECT_EQ(apply(state, adopt_configuration{other}), fleet_verdict::unchanged);
    EXPECT_EQ(state.configuration.source, "nine");
}

TEST(fleet_state, keepsTheNewestLifeOfAWorker)
{
    fleet_state state;
    worker_record record;
    record.life = someLife;
    apply(state, note_worker{record});
    worker_record newer = record;
    newer.life.born = milliseconds(6);
    apply(state, note_worker{newer});
    EXPECT_EQ(apply(state, note_worker{record}), fleet_verdict::unchanged);
    EXPECT_EQ(apply(state, forget_worker{record.life}), fleet_verdict::unchanged);
    EXPECT_EQ(state.workers.at("w1"), newer);
    EXPECT_EQ(apply(state, forget_worker{newer.life}), fleet_verdict::applied);
    EXPECT_TRUE(state.workers.empty());
}

TEST(fleet_state, survivesASnapshot)
{
    fleet_state state;
    apply(state, submit_graph{1, termsWith(3), graphOf(4)});
    begin(state, keyOf(2, 1));
    apply(state, set_domain{"z", true});
    apply(state, submit_graph{2, termsWith(3), graphOf(1)});
    apply(state, cancel_graph{2});
    const std::string bytes = encode(state);
    fleet_state loaded;
    ASSERT_TRUE(decode(bytes, loaded));
    EXPECT_EQ(encode(loaded), bytes);
    EXPECT_EQ(phaseOf(loaded, 2), job_phase::cancelled);
    EXPECT_TRUE(loaded.domainsOut.contains("z"));
    EXPECT_FALSE(decode(bytes.substr(0, bytes.size() / 2), loaded));
}

TEST(configuration, findsTheLongestPrefix)
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

TEST(job_graph, checksWhatCallersSend)
{
    EXPECT_TRUE(checkGraph({}).has_value());
    job_graph graph = graphOf(1);
    EXPECT_FALSE(checkGraph(graph).has_value());
    graph.steps[0].dependsOn = {0};
    EXPECT_EQ(checkGraph(graph)->reason, graph_failure::kind::laterDependency);
    EXPECT_EQ(checkGraph(graphOf(0))->reason, graph_failure::kind::noTasks);
    EXPECT_EQ(checkGraph(graphOf(50'000))->reason, graph_failure::kind::tooManyTasks);
    EXPECT_EQ(parseJobName(jobName(0x12)), 0x12U);
    EXPECT_FALSE(parseJobName("12").has_value());
    EXPECT_FALSE(parseJobName("000000000000001g").has_value());
}

// A worker's clock may be 2% slow: its deadline is past only after a longer span of ours.
TEST(worker_lease, waitsForSlowClocks)
{
    const steady_time now{std::chrono::hours(1)};
    const clock_reading reading{milliseconds(1000), now};
    const steady_time past = latestExpiry(reading, milliseconds(6000));
    EXPECT_GE(past - now, milliseconds(5102));
    EXPECT_LT(past - now, milliseconds(5300));
    EXPECT_EQ(estimateClock(reading, now + seconds(2)), milliseconds(3000));
    std::optional<clock_reading> kept = reading;
    updateReading(kept, milliseconds(900), now + seconds(1));
    EXPECT_EQ(kept->workerTime, milliseconds(1000)) << "an answer that was overtaken";
}

} // namespace mango::test
