#include <gtest/gtest.h>

#include "Scheduling/crash_trials.h"
#include "Scheduling/run_progress.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;

// Three workers of 8 cores, and a request for one core.
struct trial_fleet
{
    trial_fleet()
    {
        step.resources = {1000, 100, 0};
        for (int number = 0; number < 3; ++number) {
            worker_record &record = records.emplace_back();
            record.incarnation.id = "w" + std::to_string(number);
            record.service = service;
            record.capacity = {8'000, 64'000, 0};
        }
        for (const worker_record &record : records) {
            worker_offer &offer = offers.emplace_back();
            offer.record = &record;
        }
        candidates.resize(3);
    }

    [[nodiscard]] int choose(trial_company company = trial_company::settledRuns) const
    {
        placement_request request;
        request.step = &step;
        request.service = &service;
        request.runsPerWorker = &noRuns;
        request.runsPerDomain = &noDomains;
        request.interference = &interference;
        return chooseTrialOffer(
                offers,
                [this](std::size_t at) {
                    return candidates[at];
                },
                request, company);
    }

    std::string service = "desk";
    job_step step;
    std::vector<worker_record> records;
    std::vector<worker_offer> offers;
    std::vector<trial_candidate> candidates;
    std::map<worker_incarnation, std::uint32_t> noRuns;
    std::map<std::string, std::uint32_t> noDomains;
    interference_model interference;
};

run_progress silentRun()
{
    run_progress run;
    run.age = milliseconds(1500);
    run.estimate = milliseconds(500);
    run.workerSilentFor = milliseconds(1400);
    run.allowsSpeculativeCopies = true;
    return run;
}

} // namespace

TEST(crash_trials, takeTheWorkerThatWouldLoseLeast)
{
    trial_fleet fleet;
    fleet.candidates = {{false, false, 0, 9, 0}, {false, false, 0, 2, 0}, {false, false, 0, 2, 1}};
    EXPECT_EQ(fleet.choose(), 1);
    fleet.candidates[1].recentCrashes = 1;
    EXPECT_EQ(fleet.choose(), 2);
    fleet.candidates[2].unheard = true;
    EXPECT_EQ(fleet.choose(), 0);
}

// A trial joined the run of another suspect, so that each crash counted for both.
TEST(crash_trials, shareTheWorkerOfAnotherSuspect)
{
    trial_fleet fleet;
    fleet.candidates = {
            {false, false, 0, 1, 0, 1}, {true, false, 2, 30, 5, 0}, {true, false, 3, 30, 5, 0}};
    EXPECT_EQ(fleet.choose(), 0);
    EXPECT_EQ(fleet.choose(trial_company::anyRuns), 1);
}

TEST(crash_trials, areBegunBesideRunsThatMayCrashTheWorkerToo)
{
    trial_fleet fleet;
    fleet.candidates = {{true, false, 0, 1, 0}, {false, false, 0, 30, 10}, {true, false, 0, 1, 0}};
    EXPECT_EQ(fleet.choose(), 1);
    fleet.candidates[1].hasUnsettledRuns = true;
    EXPECT_EQ(fleet.choose(), -1);
    EXPECT_EQ(fleet.choose(trial_company::anyRuns), 0);
}

TEST(crash_trials, areBegunOnWorkersThatDoNotFit)
{
    trial_fleet fleet;
    fleet.candidates = {{false, false, 0, 1, 0}, {false, false, 0, 5, 0}, {false, false, 0, 9, 0}};
    fleet.offers[0].unavailable = true;
    fleet.offers[1].used.milliCores = 7'500;
    EXPECT_EQ(fleet.choose(), 2);
}

TEST(crash_trials, closeAServiceWithManySuspects)
{
    EXPECT_EQ(maximumTrials(2), 1U);
    EXPECT_EQ(maximumTrials(48), 6U);
}

TEST(run_progress, copiesARunThatMayHaveCrashedItsWorkerLikeAnyOther)
{
    run_progress run = silentRun();
    EXPECT_EQ(decideRunAction(run), run_action::copy);
    run.survivedStart = false;
    EXPECT_EQ(decideRunAction(run), run_action::copyOnTrial);
    run.isSuspect = true;
    EXPECT_EQ(decideRunAction(run), run_action::keep);
    run.survivedStart = true;
    EXPECT_EQ(decideRunAction(run), run_action::copy);
}

} // namespace mango::test
