#include <gtest/gtest.h>

#include "Common/event_log.h"
#include "Jobs/job_account.h"
#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

steady_time at(int time)
{
    return steady_time(milliseconds(time));
}

// Two steps of two tasks, the second after the first.
std::vector<step_account> twoSteps()
{
    job_graph graph;
    job_step step;
    step.tasks = 2;
    step.estimate = milliseconds(500);
    graph.steps = {step, step};
    graph.steps[1].dependsOn = {0};
    return makeAccounts(graph);
}

milliseconds spentOn(const job_time_summary &summary, time_use use)
{
    return summary.spent[static_cast<std::size_t>(use)];
}

} // namespace

// Guards against accounts whose times overlap, so that they add up to more than the age of a job.
TEST(job_account, addsUpToTheAgeAlongTheChain)
{
    std::vector<step_account> steps = twoSteps();
    const steady_time known = at(100);
    addEndedRun(steps, known, {{7, 0, 0, 0}, run_outcome::done, at(110), at(600), {}});
    addEndedRun(steps, known, {{7, 0, 0, 1}, run_outcome::failed, at(120), at(400), {}});
    addEndedRun(steps, known, {{7, 0, 0, 1}, run_outcome::done, at(450), at(1000), {}});
    addEndedRun(steps, known, {{7, 0, 1, 1}, run_outcome::done, at(1020), at(1500), {}});
    addEndedRun(steps, known, {{7, 0, 1, 0}, run_outcome::done, at(2000), at(2600), at(1010)});
    const std::uint32_t last = lastStepOf(steps);
    ASSERT_EQ(last, 1U);
    const job_time_summary summary = summarizeChain(steps, last, steps[last].lastTask);
    EXPECT_EQ(spentOn(summary, time_use::waiting), milliseconds(20 + 50 + 10));
    EXPECT_EQ(spentOn(summary, time_use::failing), milliseconds(280));
    EXPECT_EQ(spentOn(summary, time_use::overtaken), milliseconds(990));
    EXPECT_EQ(spentOn(summary, time_use::working), milliseconds(550 + 600));
    EXPECT_EQ(largestDelay(summary), time_use::overtaken);
    EXPECT_EQ(toText(summary.chain), "0.1:70+830/500,1.0:10+1590/500");
}

// Guards against a long job whose line in the log grows without bound.
TEST(job_account, cutsTheTextOfALongChain)
{
    job_graph graph;
    for (std::uint32_t step = 0; step < 50; ++step) {
        job_step one;
        if (step > 0) {
            one.dependsOn = {step - 1};
        }
        graph.steps.push_back(one);
    }
    const job_time_summary summary = summarizeChain(makeAccounts(graph), 49, 0);
    EXPECT_EQ(summary.chain.size(), 50U);
    EXPECT_LT(toText(summary.chain).size(), 100U);
}

// Guards against a late or failed job whose log does not tell what cost its time.
TEST(job_account, tellsWhyAJobFailedOrWasLate)
{
    std::vector<std::string> lines;
    captureEvents([&](const std::string &line) {
        if (line.find("event=job-late") != std::string::npos) {
            lines.push_back(line);
        }
    });
    {
        fleet_group group(3);
        group.configure();
        for (const char *worker : {"w1", "w2", "w3"}) {
            group.workers.add(worker);
            group.announce(worker);
            group.workers.at(worker).failsEveryRun = true;
        }
        group.run(seconds(2));
        group.submit(7, fleet_group::oneStep(1));
        group.run(seconds(5));
        EXPECT_EQ(group.phase(7), job_phase::failed);
    }
    captureEvents({});
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_NE(lines[0].find("delay=failing"), std::string::npos) << lines[0];
    EXPECT_NE(lines[0].find("runs=failed:3"), std::string::npos) << lines[0];
}

} // namespace mango::test
