#include <gtest/gtest.h>

#include "Control/service_workers.h"
#include "Scheduling/credits.h"
#include "Scheduling/interference.h"
#include "Scheduling/placement.h"

namespace mango::test {

namespace {

credit_account makeAccount(std::uint32_t capacity, std::initializer_list<std::uint64_t> sessions)
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

worker_availability workerNamed(const std::string &name, double cores,
                                const std::string &rack = "r")
{
    worker_availability worker;
    worker.name = name;
    worker.rack = rack;
    worker.totalCores = 32;
    worker.free = {cores, 64ULL << 30U, 0, 8};
    return worker;
}

const auto allowAll = [](const worker_availability &) {
    return true;
};

eviction_candidate makeCandidate(std::uint64_t job, priority_class priority, std::uint64_t unsaved,
                                 std::uint32_t evictions = 0)
{
    return {{job, 0}, priority, unsaved, evictions, 3, 1};
}

} // namespace

TEST(credits, divisionUsesEverySlotOnce)
{
    const credit_account account = makeAccount(8, {1, 2, 3});
    EXPECT_EQ(grantedCredits(account), 8U);
    for (const auto &[session, share] : account.shares) {
        EXPECT_GE(share.granted, 2U);
    }
}

// Guards against overcommitted workers (P1): slots of a session whose target shrinks must not be
// granted to others before the session has reported that it holds fewer.
TEST(credits, shrinkingWaitsForTheSession)
{
    credit_account account = makeAccount(8, {1});
    divideCredits(account, {{1, 1}, {2, 1}}, 0);
    confirmSessions(account, {1, 2}, {});
    raiseGrants(account);
    EXPECT_EQ(account.shares[2].granted, 0U);
    updateHeldCredits(account, 1, 6);
    raiseGrants(account);
    EXPECT_EQ(account.shares[2].granted, 2U);
    updateHeldCredits(account, 1, 4);
    raiseGrants(account);
    EXPECT_EQ(account.shares[2].granted, 4U);
    EXPECT_EQ(grantedCredits(account), 8U);
}

// Guards against overcommitted workers (P1): requests in flight of an entry that has failed count
// until the worker reports that they ended.
TEST(credits, fencedShareIsReleasedAsItsRequestsEnd)
{
    credit_account account = makeAccount(8, {1, 2});
    fenceSession(account, 1);
    divideCredits(account, {{2, 1}}, 0);
    confirmSessions(account, {1, 2}, {{1, 3}});
    raiseGrants(account);
    EXPECT_EQ(account.shares[2].granted, 4U) << "slots of the failed entry were granted while the "
                                                "worker still accepted its requests";
    confirmSessions(account, {2}, {{1, 3}});
    raiseGrants(account);
    EXPECT_EQ(account.shares[2].granted, 5U);
    updateHeldCredits(account, 1, 0);
    EXPECT_EQ(account.shares[1].granted, 3U) << "a fenced session must not release its own slots";
    confirmSessions(account, {2}, {});
    raiseGrants(account);
    EXPECT_EQ(account.shares[2].granted, 8U);
}

// Guards against overcommitted workers (P1): after a change of leader, running requests of sessions
// that the new leader does not know must count as well.
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
            updateHeldCredits(account, session, account.shares[session].target);
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

TEST(placement, rejectsTasksThatFitNoWorker)
{
    placement_index index;
    seeded_random random(1);
    index.update(workerNamed("a", 4));
    EXPECT_FALSE(index.choose({5, 1, 0, 1}, {}, placement_policy::scored, random, allowAll));
    EXPECT_TRUE(index.choose({4, 1, 0, 1}, {}, placement_policy::scored, random, allowAll));
    EXPECT_FALSE(index.choose({1, 1, 1, 1}, {}, placement_policy::scored, random, allowAll));
}

// The limit on examined workers applies only once a candidate was found. A single worker that
// fits must be found among any number of others.
TEST(placement, findsTheOneWorkerThatFits)
{
    placement_index index;
    seeded_random random(1);
    for (int number = 0; number < 560; ++number) {
        worker_availability worker = workerNamed("w" + std::to_string(number), 16);
        worker.free.memoryBytes = number == 333 ? 2048 : 10;
        index.update(worker);
    }
    for (int round = 0; round < 20; ++round) {
        const auto chosen =
                index.choose({1, 1024, 0, 1}, {}, placement_policy::scored, random, allowAll);
        ASSERT_TRUE(chosen);
        EXPECT_EQ(*chosen, "w333");
    }
}

TEST(placement, spreadsAJobOverRacksAndAvoidsInterference)
{
    placement_index index;
    seeded_random random(1);
    index.update(workerNamed("near", 16, "r1"));
    index.update(workerNamed("far", 16, "r2"));
    job_spread spread;
    spread.tasksByRack["r1"] = 2;
    EXPECT_EQ(*index.choose({1, 1, 0, 1}, spread, placement_policy::scored, random, allowAll),
              "far");
    worker_availability slowed = workerNamed("far", 16, "r2");
    slowed.interference = 1.0;
    index.update(slowed);
    EXPECT_EQ(*index.choose({1, 1, 0, 1}, spread, placement_policy::scored, random, allowAll),
              "near");
}

// With 560 workers, the size expected in two years, a choice must examine a bounded number of them.
TEST(placement, examinesFewWorkersWhenManyFit)
{
    placement_index index;
    seeded_random random(1);
    for (int number = 0; number < 560; ++number) {
        index.update(workerNamed("w" + std::to_string(number), double(number % 32)));
    }
    std::size_t maximum = 0;
    for (int round = 0; round < 1000; ++round) {
        index.choose({2, 1, 0, 1}, {}, placement_policy::scored, random, allowAll);
        maximum = std::max(maximum, index.lastExamined());
    }
    EXPECT_LE(maximum, 64U);
}

TEST(placement, explainsWhyATaskNeverFits)
{
    const std::vector<task_size> workers{{32, 100, 0, 7}, {16, 200, 1, 7}};
    EXPECT_EQ(whyNeverFits({32, 100, 0, 1}, workers), "");
    EXPECT_NE(whyNeverFits({33, 1, 0, 1}, workers).find("cores"), std::string::npos);
    EXPECT_NE(whyNeverFits({1, 300, 0, 1}, workers).find("memory"), std::string::npos);
    EXPECT_NE(whyNeverFits({1, 1, 2, 1}, workers).find("accelerators"), std::string::npos);
    EXPECT_NE(whyNeverFits({32, 1, 1, 1}, workers).find("no single worker"), std::string::npos);
}

TEST(interference, escalatesAndReleasesWithHysteresis)
{
    const mitigation_thresholds thresholds = thresholdsFor(pool_weighting::tailLatency);
    interference_estimate estimate;
    steady_time now{std::chrono::hours(1)};
    std::vector<mitigation_action> actions;
    const auto window = [&](double microseconds, int count) {
        for (int round = 0; round < count; ++round) {
            observeResponses(estimate, microseconds, 50, 1000);
            now += std::chrono::milliseconds(500);
            const mitigation_action action = nextMitigation(estimate, thresholds, 2, now);
            if (action != mitigation_action::none) {
                actions.push_back(action);
            }
        }
    };
    window(1000, 10);
    EXPECT_TRUE(actions.empty());
    window(2500, 6);
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_EQ(actions[0], mitigation_action::throttle);
    EXPECT_EQ(actions[1], mitigation_action::evict);
    window(2500, 6);
    EXPECT_EQ(actions.size(), 2U) << "second eviction within the cooldown";
    window(1000, 30);
    EXPECT_EQ(actions.back(), mitigation_action::release);
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

TEST(interference, victimHasTheLowestPriorityAndTheLeastUnsavedWork)
{
    EXPECT_EQ(chooseVictim({makeCandidate(1, priority_class::normal, 10),
                            makeCandidate(2, priority_class::low, 900),
                            makeCandidate(3, priority_class::low, 500)},
                           std::nullopt)
                      ->job,
              3U);
    EXPECT_FALSE(chooseVictim({makeCandidate(1, priority_class::low, 10, 3)}, std::nullopt))
            << "evicted a task whose eviction budget is used up";
    EXPECT_FALSE(
            chooseVictim({makeCandidate(1, priority_class::urgent, 10)}, priority_class::urgent));
}

} // namespace mango::test
