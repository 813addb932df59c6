#include <gtest/gtest.h>

#include "Control/service_workers.h"
#include "Scheduling/credits.h"
#include "Scheduling/interference.h"
#include "Scheduling/placement.h"

namespace mango::test {

namespace {

credit_account accountOf(std::uint32_t capacity, std::initializer_list<std::uint64_t> sessions)
{
    credit_account account;
    account.capacity = capacity;
    std::vector<session_demand> demands;
    for (const std::uint64_t session : sessions) {
        demands.push_back({session, 1});
    }
    divideCredits(account, demands, 0);
    confirmSessions(account, sessions, {});
    raiseGrants(account);
    return account;
}

worker_room roomNamed(const std::string &name, double cores, const std::string &rack = "r")
{
    worker_room room;
    room.name = name;
    room.rack = rack;
    room.totalCores = 32;
    room.free = {cores, 64ULL << 30U, 0, 8};
    return room;
}

const auto anyWorker = [](const worker_room &) {
    return true;
};

eviction_candidate candidate(std::uint64_t job, priority_class priority, std::uint64_t unsaved,
                             std::uint32_t evictions = 0)
{
    return {{job, 0}, priority, unsaved, evictions, 3, 1};
}

} // namespace

TEST(credits, divisionUsesEverySlotOnce)
{
    const credit_account account = accountOf(8, {1, 2, 3});
    EXPECT_EQ(grantedCredits(account), 8U);
    for (const auto &[session, share] : account.shares) {
        EXPECT_GE(share.granted, 2U);
    }
}

// P1: a share that is to shrink is granted to nobody else before its holder has obeyed.
TEST(credits, shrinkingWaitsForTheHolder)
{
    credit_account account = accountOf(8, {1});
    divideCredits(account, {{1, 1}, {2, 1}}, 0);
    confirmSessions(account, {1, 2}, {});
    raiseGrants(account);
    EXPECT_EQ(account.shares[2].granted, 0U);
    takeHolding(account, 1, 6);
    raiseGrants(account);
    EXPECT_EQ(account.shares[2].granted, 2U);
    takeHolding(account, 1, 4);
    raiseGrants(account);
    EXPECT_EQ(account.shares[2].granted, 4U);
    EXPECT_EQ(grantedCredits(account), 8U);
}

// P1: what a lost entry has in flight stays counted until the worker says that it ended.
TEST(credits, fencedShareComesBackAsItsRequestsEnd)
{
    credit_account account = accountOf(8, {1, 2});
    fenceSession(account, 1);
    divideCredits(account, {{2, 1}}, 0);
    confirmSessions(account, {1, 2}, {{1, 3}});
    raiseGrants(account);
    EXPECT_EQ(account.shares[2].granted, 4U) << "the worker still took the lost entry's requests";
    confirmSessions(account, {2}, {{1, 3}});
    raiseGrants(account);
    EXPECT_EQ(account.shares[2].granted, 5U);
    takeHolding(account, 1, 0);
    EXPECT_EQ(account.shares[1].granted, 3U) << "a fenced session cannot give its share back";
    confirmSessions(account, {2}, {});
    raiseGrants(account);
    EXPECT_EQ(account.shares[2].granted, 8U);
}

// P1: requests of a session from before a change of leader count as well.
TEST(credits, unknownRunningRequestsAreCounted)
{
    credit_account account;
    account.capacity = 8;
    divideCredits(account, {{5, 1}}, 0);
    confirmSessions(account, {5}, {{3, 6}});
    raiseGrants(account);
    EXPECT_EQ(account.shares[5].granted, 2U);
}

TEST(credits, randomUseNeverGrantsTooMuch)
{
    seeded_random random(7);
    credit_account account;
    account.capacity = 8;
    std::vector<std::uint64_t> live{1, 2, 3};
    for (int step = 0; step < 20'000; ++step) {
        std::vector<session_demand> demands;
        demands.reserve(live.size());
        for (const std::uint64_t session : live) {
            demands.push_back({session, static_cast<std::uint32_t>(1 + random.below(9))});
        }
        account.capacity = static_cast<std::uint32_t>(4 + random.below(5));
        const std::uint32_t before = grantedCredits(account);
        divideCredits(account, demands, random.next());
        raiseGrants(account);
        ASSERT_LE(grantedCredits(account), std::max(before, account.capacity));
        const std::uint64_t session = live[random.below(live.size())];
        switch (random.below(4)) {
        case 0:
            takeHolding(account, session, account.shares[session].target);
            break;
        case 1:
            confirmSessions(account, live, {});
            break;
        case 2:
            fenceSession(account, session);
            std::erase(live, session);
            live.push_back(static_cast<std::uint64_t>(step + 10));
            break;
        default:
            break;
        }
    }
}

TEST(placement, refusesWhatDoesNotFitAnywhere)
{
    placement_index index;
    seeded_random random(1);
    index.update(roomNamed("a", 4));
    EXPECT_FALSE(index.choose({5, 1, 0, 1}, {}, placement_policy::scored, random, anyWorker));
    EXPECT_TRUE(index.choose({4, 1, 0, 1}, {}, placement_policy::scored, random, anyWorker));
    EXPECT_FALSE(index.choose({1, 1, 1, 1}, {}, placement_policy::scored, random, anyWorker));
}

// A worker that fits is found however many do not: the limit on candidates is none on the search.
TEST(placement, findsTheOneWorkerThatFits)
{
    placement_index index;
    seeded_random random(1);
    for (int number = 0; number < 560; ++number) {
        worker_room room = roomNamed("w" + std::to_string(number), 16);
        room.free.memoryBytes = number == 333 ? 2048 : 10;
        index.update(room);
    }
    for (int round = 0; round < 20; ++round) {
        const auto chosen =
                index.choose({1, 1024, 0, 1}, {}, placement_policy::scored, random, anyWorker);
        ASSERT_TRUE(chosen);
        EXPECT_EQ(*chosen, "w333");
    }
}

TEST(placement, spreadsAJobOverRacksAndAvoidsInterference)
{
    placement_index index;
    seeded_random random(1);
    index.update(roomNamed("near", 16, "r1"));
    index.update(roomNamed("far", 16, "r2"));
    job_spread spread;
    spread.tasksByRack["r1"] = 2;
    EXPECT_EQ(*index.choose({1, 1, 0, 1}, spread, placement_policy::scored, random, anyWorker),
              "far");
    worker_room noisy = roomNamed("far", 16, "r2");
    noisy.interference = 1.0;
    index.update(noisy);
    EXPECT_EQ(*index.choose({1, 1, 0, 1}, spread, placement_policy::scored, random, anyWorker),
              "near");
}

// The choice looks at a bounded number of workers at the two-year size.
TEST(placement, looksAtFewWorkersWhenManyFit)
{
    placement_index index;
    seeded_random random(1);
    for (int number = 0; number < 560; ++number) {
        index.update(roomNamed("w" + std::to_string(number), double(number % 32)));
    }
    std::size_t most = 0;
    for (int round = 0; round < 1000; ++round) {
        index.choose({2, 1, 0, 1}, {}, placement_policy::scored, random, anyWorker);
        most = std::max(most, index.lastExamined());
    }
    EXPECT_LE(most, 64U);
}

TEST(placement, saysWhyAJobNeverRuns)
{
    const std::vector<task_size> workers{{32, 100, 0, 7}, {16, 200, 1, 7}};
    EXPECT_EQ(whyNeverFits({32, 100, 0, 1}, workers), "");
    EXPECT_NE(whyNeverFits({33, 1, 0, 1}, workers).find("cores"), std::string::npos);
    EXPECT_NE(whyNeverFits({1, 300, 0, 1}, workers).find("memory"), std::string::npos);
    EXPECT_NE(whyNeverFits({1, 1, 2, 1}, workers).find("accelerators"), std::string::npos);
    EXPECT_NE(whyNeverFits({32, 1, 1, 1}, workers).find("no single worker"), std::string::npos);
}

TEST(interference, laddersUpAndDownWithHysteresis)
{
    const interference_limits limits = limitsFor(pool_weighting::tailLatency);
    interference_estimate estimate;
    steady_time now{std::chrono::hours(1)};
    std::vector<relief_step> steps;
    const auto window = [&](double microseconds, int count) {
        for (int round = 0; round < count; ++round) {
            observeAnswers(estimate, microseconds, 50, 1000);
            now += std::chrono::milliseconds(500);
            const relief_step step = nextRelief(estimate, limits, 2, now);
            if (step != relief_step::none) {
                steps.push_back(step);
            }
        }
    };
    window(1000, 10);
    EXPECT_TRUE(steps.empty());
    window(2500, 6);
    ASSERT_EQ(steps.size(), 2U);
    EXPECT_EQ(steps[0], relief_step::throttle);
    EXPECT_EQ(steps[1], relief_step::evict);
    window(2500, 6);
    EXPECT_EQ(steps.size(), 2U) << "a second eviction came within the pause";
    window(1000, 30);
    EXPECT_EQ(steps.back(), relief_step::release);
}

TEST(service_workers, followDemandWithinHalfThePool)
{
    const auto tail = pool_weighting::tailLatency;
    const auto batch = pool_weighting::batchThroughput;
    EXPECT_EQ(neededServiceWorkers(0, 8, 20, 3, tail), 2U);
    EXPECT_EQ(neededServiceWorkers(0, 8, 20, 3, batch), 0U);
    EXPECT_EQ(neededServiceWorkers(5, 8, 20, 3, batch), 1U);
    EXPECT_EQ(neededServiceWorkers(13, 8, 20, 3, tail), 4U);
    EXPECT_EQ(neededServiceWorkers(500, 8, 20, 3, tail), 10U);
    EXPECT_EQ(neededServiceWorkers(5, 8, 1, 1, tail), 0U);
    EXPECT_EQ(neededServiceWorkers(0, 8, 3, 3, tail), 0U);
    EXPECT_EQ(neededServiceWorkers(1, 8, 3, 3, tail), 1U);
    EXPECT_EQ(neededServiceWorkers(1, 8, 20, 1, tail), 1U);
}

TEST(interference, victimIsTheLeastUrgentWithTheLeastUnsavedWork)
{
    EXPECT_EQ(chooseVictim({candidate(1, priority_class::normal, 10),
                            candidate(2, priority_class::low, 900),
                            candidate(3, priority_class::low, 500)},
                           std::nullopt)
                      ->job,
              3U);
    EXPECT_FALSE(chooseVictim({candidate(1, priority_class::low, 10, 3)}, std::nullopt))
            << "its budget is used up";
    EXPECT_FALSE(chooseVictim({candidate(1, priority_class::urgent, 10)}, priority_class::urgent));
}

} // namespace mango::test
