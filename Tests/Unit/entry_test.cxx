#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Entry/admission.h"
#include "Fakes/fake_clock.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using granted_credit = std::optional<result<credit, refusal_reason>>;

// One entry with a lease on a view of one pool.
class entry_fixture
{
public:
    explicit entry_fixture(std::uint32_t credits)
        : events("entry", "/dev/null", stamps)
        , entry(context->get_executor(), clock, random, events, counted, settings)
    {
        give(credits);
    }
    ~entry_fixture()
    {
        context.reset();
    }
    entry_fixture(const entry_fixture &) = delete;
    entry_fixture &operator=(const entry_fixture &) = delete;

    void give(std::uint32_t credits, std::uint64_t session = 7, bool serving = true)
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
        takeView(entry, view, clock.now());
        clock.settle();
    }

    std::shared_ptr<granted_credit> ask(priority_class priority, milliseconds deadline)
    {
        auto made = std::make_shared<granted_credit>();
        boost::asio::co_spawn(*context, askLater(priority, clock.now() + deadline, made),
                              boost::asio::detached);
        clock.settle();
        return made;
    }

    static bool holds(const std::shared_ptr<granted_credit> &made)
    {
        return made->has_value() && !failed(**made);
    }

    std::unique_ptr<boost::asio::io_context> context = std::make_unique<boost::asio::io_context>(1);
    fake_clock clock{*context};
    seeded_random random{1};
    causal_clock stamps{clock};
    timeline events;
    counters counted;
    entry_settings settings;
    entry_state entry;

private:
    boost::asio::awaitable<void> askLater(priority_class priority, steady_time deadline,
                                          std::shared_ptr<granted_credit> made)
    {
        const std::set<std::string> tried;
        *made = co_await acquireCredit(entry, "desk", priority, deadline, tried);
    }
};

} // namespace

// P1: an entry never has more in progress than its credits, and passes them on in order of urgency.
TEST(admission, mostUrgentWaiterIsServedFirst)
{
    entry_fixture fixture(1);
    const auto first = fixture.ask(priority_class::normal, milliseconds(1000));
    const auto low = fixture.ask(priority_class::low, milliseconds(1000));
    const auto urgent = fixture.ask(priority_class::urgent, milliseconds(1000));
    ASSERT_TRUE(fixture.holds(first));
    EXPECT_FALSE(urgent->has_value());
    releaseCredit(fixture.entry, valueOf(**first));
    fixture.clock.settle();
    EXPECT_TRUE(fixture.holds(urgent));
    EXPECT_FALSE(low->has_value());
    EXPECT_EQ(fixture.entry.workers["w1"]->inUse, 1U);
}

// P6: a request that waits is refused when its deadline passes, not later.
TEST(admission, waiterIsRefusedAtItsDeadline)
{
    entry_fixture fixture(1);
    const auto first = fixture.ask(priority_class::normal, milliseconds(1000));
    const auto second = fixture.ask(priority_class::normal, milliseconds(200));
    fixture.clock.advance(milliseconds(199));
    EXPECT_FALSE(second->has_value());
    fixture.clock.advance(milliseconds(2));
    ASSERT_TRUE(second->has_value());
    EXPECT_EQ(failureOf(**second), refusal_reason::deadlinePassed);
}

// P6: what cannot be answered before its deadline is refused at once.
TEST(admission, hopelessRequestIsRefusedAtOnce)
{
    entry_fixture fixture(1);
    fixture.entry.workers["w1"]->responseMicroseconds = 500'000;
    const auto first = fixture.ask(priority_class::normal, milliseconds(1000));
    const auto second = fixture.ask(priority_class::normal, milliseconds(600));
    ASSERT_TRUE(second->has_value());
    EXPECT_EQ(failureOf(**second), refusal_reason::overloaded);
}

// P1: credits of an earlier session are worth nothing in the next.
TEST(admission, creditOfAnEarlierSessionDoesNotComeBack)
{
    entry_fixture fixture(2);
    const auto old = fixture.ask(priority_class::normal, milliseconds(1000));
    ASSERT_TRUE(fixture.holds(old));
    fixture.give(1, 8);
    const auto next = fixture.ask(priority_class::normal, milliseconds(1000));
    ASSERT_TRUE(fixture.holds(next));
    releaseCredit(fixture.entry, valueOf(**old));
    EXPECT_EQ(fixture.entry.workers["w1"]->inUse, 1U);
    EXPECT_FALSE(fixture.holds(fixture.ask(priority_class::normal, milliseconds(1000))));
}

// P1: an entry whose credits shrank reports what it still has in use.
TEST(admission, reportsWhatIsInUseAfterShrinking)
{
    entry_fixture fixture(3);
    const auto one = fixture.ask(priority_class::normal, milliseconds(1000));
    const auto two = fixture.ask(priority_class::normal, milliseconds(1000));
    fixture.give(1);
    EXPECT_EQ(nextReport(fixture.entry, true).holdings.at(0).held, 2U);
    releaseCredit(fixture.entry, valueOf(**one));
    EXPECT_EQ(nextReport(fixture.entry, true).holdings.at(0).held, 1U);
    EXPECT_FALSE(fixture.holds(fixture.ask(priority_class::normal, milliseconds(1000))));
}

// P4, P8: nothing is dispatched to a worker that left or whose domain is out.
TEST(admission, nothingForWorkersOutOfService)
{
    entry_fixture fixture(4);
    fixture.give(4, 7, false);
    EXPECT_FALSE(fixture.holds(fixture.ask(priority_class::normal, milliseconds(100))));
    fixture.give(4);
    fixture.entry.domainsOutOfService.insert("north");
    EXPECT_FALSE(fixture.holds(fixture.ask(priority_class::normal, milliseconds(100))));
}

// P4, P10: the lease is counted from when the report was sent.
TEST(admission, leaseEndsAfterTheReportWasSent)
{
    entry_fixture fixture(4);
    entry_view view;
    view.session = 7;
    view.leaseMs = 1500;
    const steady_time sentAt = fixture.clock.now();
    fixture.clock.advance(milliseconds(1400));
    takeView(fixture.entry, view, sentAt);
    EXPECT_TRUE(holdsLease(fixture.entry));
    fixture.clock.advance(milliseconds(101));
    EXPECT_FALSE(holdsLease(fixture.entry));
}

TEST(selection, takesWorkersKeptForServicesFirst)
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
