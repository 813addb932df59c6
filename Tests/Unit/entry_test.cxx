#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Entry/admission.h"
#include "Fakes/fake_clock.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using granted_credit = std::optional<result<credit, refusal_reason>>;

// An entry with a lease and a view of one pool with one worker, on which it has the given credits.
class entry_fixture
{
public:
    explicit entry_fixture(std::uint32_t credits)
        : events("entry", "/dev/null", stamps)
        , entry(context->get_executor(), clock, random, events, metricsRegistry, settings)
    {
        applyCredits(credits);
    }
    ~entry_fixture()
    {
        context.reset();
    }
    entry_fixture(const entry_fixture &) = delete;
    entry_fixture &operator=(const entry_fixture &) = delete;

    void applyCredits(std::uint32_t credits, std::uint64_t session = 7, bool serving = true)
    {
        entry_view view;
        view.session = session;
        view.leaseMs = 60'000;
        view.config = config_view{1, "", "[desk]\nworkers = w*\n", {}};
        worker_view worker;
        worker.announced.name = "w1";
        worker.announced.incarnation = "i1";
        worker.announced.failureDomain = "north";
        worker.announced.address = {"127.0.0.1", 1};
        worker.serving = serving;
        worker.credit = credits;
        view.workers.push_back(worker);
        applyView(entry, view, clock.now());
        clock.runReady();
    }

    std::shared_ptr<granted_credit> requestCredit(priority_class priority, milliseconds deadline)
    {
        auto granted = std::make_shared<granted_credit>();
        boost::asio::co_spawn(*context, awaitCredit(priority, clock.now() + deadline, granted),
                              boost::asio::detached);
        clock.runReady();
        return granted;
    }

    static bool isGranted(const std::shared_ptr<granted_credit> &granted)
    {
        return granted->has_value() && !failed(**granted);
    }

    std::unique_ptr<boost::asio::io_context> context = std::make_unique<boost::asio::io_context>(1);
    fake_clock clock{*context};
    seeded_random random{1};
    causal_clock stamps{clock};
    timeline events;
    metrics_registry metricsRegistry;
    entry_settings settings;
    entry_state entry;

private:
    boost::asio::awaitable<void> awaitCredit(priority_class priority, steady_time deadline,
                                             std::shared_ptr<granted_credit> granted)
    {
        const std::set<std::string> tried;
        *granted = co_await acquireCredit(entry, "desk", priority, deadline, tried);
    }
};

} // namespace

// P1: an entry has no more requests in progress than credits, and grants free ones by priority.
TEST(admission, waitingRequestOfHighestPriorityIsServedFirst)
{
    entry_fixture fixture(1);
    const auto first = fixture.requestCredit(priority_class::normal, milliseconds(1000));
    const auto low = fixture.requestCredit(priority_class::low, milliseconds(1000));
    const auto urgent = fixture.requestCredit(priority_class::urgent, milliseconds(1000));
    ASSERT_TRUE(fixture.isGranted(first));
    EXPECT_FALSE(urgent->has_value());
    releaseCredit(fixture.entry, valueOf(**first));
    fixture.clock.runReady();
    EXPECT_TRUE(fixture.isGranted(urgent));
    EXPECT_FALSE(low->has_value());
    EXPECT_EQ(fixture.entry.workers["w1"]->inUse, 1U);
}

// P6: a waiting request is refused as soon as its deadline has passed.
TEST(admission, waitingRequestIsRefusedAtItsDeadline)
{
    entry_fixture fixture(1);
    const auto first = fixture.requestCredit(priority_class::normal, milliseconds(1000));
    const auto second = fixture.requestCredit(priority_class::normal, milliseconds(200));
    fixture.clock.advance(milliseconds(199));
    EXPECT_FALSE(second->has_value());
    fixture.clock.advance(milliseconds(2));
    ASSERT_TRUE(second->has_value());
    EXPECT_EQ(failureOf(**second), refusal_reason::deadlinePassed);
}

// P6: a request that is not expected to be answered before its deadline is refused at once.
TEST(admission, requestThatWouldMissItsDeadlineIsRefusedAtOnce)
{
    entry_fixture fixture(1);
    fixture.entry.workers["w1"]->responseMicroseconds = 500'000;
    const auto first = fixture.requestCredit(priority_class::normal, milliseconds(1000));
    const auto second = fixture.requestCredit(priority_class::normal, milliseconds(600));
    ASSERT_TRUE(second->has_value());
    EXPECT_EQ(failureOf(**second), refusal_reason::overloaded);
}

// P1: releasing a credit of an earlier session frees no credit of the current one.
TEST(admission, creditOfAnEarlierSessionIsNotGivenBack)
{
    entry_fixture fixture(2);
    const auto old = fixture.requestCredit(priority_class::normal, milliseconds(1000));
    ASSERT_TRUE(fixture.isGranted(old));
    fixture.applyCredits(1, 8);
    const auto next = fixture.requestCredit(priority_class::normal, milliseconds(1000));
    ASSERT_TRUE(fixture.isGranted(next));
    releaseCredit(fixture.entry, valueOf(**old));
    EXPECT_EQ(fixture.entry.workers["w1"]->inUse, 1U);
    EXPECT_FALSE(
            fixture.isGranted(fixture.requestCredit(priority_class::normal, milliseconds(1000))));
}

// P1: after its credits were reduced, an entry reports those that it still uses as held.
TEST(admission, reportsCreditsInUseAfterAReduction)
{
    entry_fixture fixture(3);
    const auto one = fixture.requestCredit(priority_class::normal, milliseconds(1000));
    const auto two = fixture.requestCredit(priority_class::normal, milliseconds(1000));
    fixture.applyCredits(1);
    EXPECT_EQ(buildReport(fixture.entry, true).holdings.at(0).held, 2U);
    releaseCredit(fixture.entry, valueOf(**one));
    EXPECT_EQ(buildReport(fixture.entry, true).holdings.at(0).held, 1U);
    EXPECT_FALSE(
            fixture.isGranted(fixture.requestCredit(priority_class::normal, milliseconds(1000))));
}

// P4, P8: no request goes to a worker that has left or whose failure domain is out of service.
TEST(admission, workersOutOfServiceGetNoRequests)
{
    entry_fixture fixture(4);
    fixture.applyCredits(4, 7, false);
    EXPECT_FALSE(
            fixture.isGranted(fixture.requestCredit(priority_class::normal, milliseconds(100))));
    fixture.applyCredits(4);
    fixture.entry.domainsOutOfService.insert("north");
    EXPECT_FALSE(
            fixture.isGranted(fixture.requestCredit(priority_class::normal, milliseconds(100))));
}

// P4, P10: the lease is counted from when the report was sent, not from when the response came.
// Else the entry would hold it for longer than the leader assumes.
TEST(admission, leaseIsCountedFromSendingTheReport)
{
    entry_fixture fixture(4);
    entry_view view;
    view.session = 7;
    view.leaseMs = 1500;
    const steady_time sentAt = fixture.clock.now();
    fixture.clock.advance(milliseconds(1400));
    applyView(fixture.entry, view, sentAt);
    EXPECT_TRUE(holdsLease(fixture.entry));
    fixture.clock.advance(milliseconds(101));
    EXPECT_FALSE(holdsLease(fixture.entry));
}

TEST(selection, choosesWorkersKeptForServicesFirst)
{
    seeded_random random(1);
    std::vector<selection_candidate> candidates{{0, 4, 100, false, false},
                                                {3, 4, 900, true, false}};
    EXPECT_EQ(*selectWorker(candidates, selection_policy::fastestOfTwo, random), 1U);
    candidates[1].inUse = 4;
    EXPECT_EQ(*selectWorker(candidates, selection_policy::fastestOfTwo, random), 0U);
}

TEST(selection, avoidsFullAndFailingWorkers)
{
    seeded_random random(1);
    const std::vector<selection_candidate> candidates{{4, 4, 100, false, false},
                                                      {0, 4, 100, false, true},
                                                      {1, 4, 900, false, false},
                                                      {1, 4, 100, false, false}};
    int fast = 0;
    for (int round = 0; round < 300; ++round) {
        const auto chosen = selectWorker(candidates, selection_policy::fastestOfTwo, random);
        ASSERT_TRUE(chosen);
        ASSERT_GE(*chosen, 2U);
        fast += *chosen == 3 ? 1 : 0;
    }
    EXPECT_GT(fast, 200);
    EXPECT_EQ(*selectWorker({{0, 1, 5, false, true}}, selection_policy::random, random), 0U);
    EXPECT_FALSE(selectWorker({{1, 1, 5, false, false}}, selection_policy::random, random));
}

} // namespace mango::test
