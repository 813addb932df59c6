#include <gtest/gtest.h>

#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t core = 1000;

customer makeCustomer(const std::string &name, double weight, std::uint64_t quotaMilliCores = 0)
{
    return {name, {digestOfKey("key of " + name)}, weight, {quotaMilliCores, 0, 0}};
}

// Three control processes with workers, a queue that needs a key and one that does not.
struct customers : testing::Test, fleet_group
{
    customers()
        : fleet_group(3)
    {
        configure({makeCustomer("alder", 10, 8 * core), makeCustomer("birch", 10)});
        for (const char *worker : {"w1", "w2", "w3"}) {
            workers.add(worker);
            announce(worker);
        }
        run(seconds(1));
    }

    void configure(std::vector<customer> all)
    {
        fleet_configuration made = configuration(++m_version);
        made.customers = std::move(all);
        queue_route open = made.routes.front();
        open.name = "open";
        open.pathPrefix = "/open/";
        open.isPublic = true;
        made.routes.push_back(open);
        call(configure_call{std::move(made)});
    }

    // Adopts a configuration with one route, for which callers need no key if it is public.
    void configure(const std::vector<customer> &all, const std::pair<std::string, bool> &onlyRoute)
    {
        fleet_configuration made = configuration(++m_version);
        made.customers = all;
        made.routes.front().pathPrefix = onlyRoute.first;
        made.routes.front().isPublic = onlyRoute.second;
        call(configure_call{std::move(made)});
    }

    fleet_response callAs(const std::string &name, fleet_request request)
    {
        fleet_call made{std::move(request), leading().receiptMark(),
                        name.empty() ? "" : digestOfKey("key of " + name)};
        auto response = std::make_shared<std::optional<fleet_response>>();
        boost::asio::co_spawn(*context, serveCall(&leading(), made, response),
                              boost::asio::detached);
        for (int wait = 0; wait < 600 && !*response; ++wait) {
            run(milliseconds(10));
        }
        return response->value_or(fleet_response{});
    }
    fleet_response submitAs(const std::string &name, std::uint64_t job, std::uint32_t tasks = 1,
                            const std::string &path = "/price/")
    {
        return callAs(name, submit_call{"h.example", path + formatJobId(job), oneStep(tasks)});
    }
    fleet_response queryAs(const std::string &name, std::uint64_t job)
    {
        return callAs(name, query_call{"h.example", "/price/" + formatJobId(job)});
    }
    fleet_response cancelAs(const std::string &name, const std::string &path)
    {
        return callAs(name, cancel_call{"h.example", path});
    }

private:
    static boost::asio::awaitable<void>
    serveCall(fleet_server *server, fleet_call made,
              std::shared_ptr<std::optional<fleet_response>> response)
    {
        *response = co_await server->serve(std::move(made));
    }

    std::uint64_t m_version = 0;
};

std::map<customer_id, customer_terms> termsOf(const std::map<std::string, double> &weights)
{
    std::map<customer_id, customer_terms> terms;
    for (const auto &[name, weight] : weights) {
        terms[customerId(name)] = {name, weight, {}};
    }
    return terms;
}

} // namespace

TEST_F(customers, needAKeyForQueuesThatAreNotPublic)
{
    EXPECT_EQ(submitAs("", 1).outcome, fleet_outcome::unauthorized);
    EXPECT_EQ(submitAs("cedar", 1).outcome, fleet_outcome::unauthorized);
    EXPECT_EQ(queryAs("", 1).outcome, fleet_outcome::unauthorized);
    EXPECT_EQ(callAs("", cancel_call{"h.example", "/price/" + formatJobId(1)}).outcome,
              fleet_outcome::unauthorized);
    EXPECT_EQ(submitAs("", 2, 1, "/open/").outcome, fleet_outcome::accepted);
    EXPECT_EQ(submitAs("alder", 3).outcome, fleet_outcome::accepted);
    run(seconds(3));
    EXPECT_FALSE(phase(1));
    EXPECT_EQ(workers.starts.size(), 2U);
}

// A key counts from the acknowledgement of the version that adds or removes it.
TEST_F(customers, loseAndGetKeysByVersions)
{
    configure({makeCustomer("birch", 10), makeCustomer("cedar", 10)});
    EXPECT_EQ(submitAs("alder", 1).outcome, fleet_outcome::unauthorized);
    EXPECT_EQ(submitAs("cedar", 2).outcome, fleet_outcome::accepted);
}

TEST_F(customers, learnNothingOfTheJobsOfOthers)
{
    EXPECT_EQ(submitAs("alder", 1).outcome, fleet_outcome::accepted);
    EXPECT_EQ(queryAs("birch", 1).outcome, fleet_outcome::unknownJob);
    EXPECT_EQ(callAs("birch", cancel_call{"h.example", "/price/" + formatJobId(1)}).outcome,
              fleet_outcome::unknownJob);
    EXPECT_FALSE(submitAs("birch", 1).phase);
    run(seconds(3));
    EXPECT_EQ(queryAs("alder", 1).phase, job_phase::completed);
    EXPECT_EQ(queryAs("birch", 1).outcome, fleet_outcome::unknownJob);
}

// A route is removed, and its path leads to a public one: its jobs are still their customer's, and
// those that were accepted without a key need none.
TEST_F(customers, keepTheirJobsWhenTheRouteIsRemoved)
{
    const std::vector<customer> all{makeCustomer("alder", 10), makeCustomer("birch", 10)};
    workers.runDuration = seconds(60);
    EXPECT_EQ(submitAs("alder", 1).outcome, fleet_outcome::accepted);
    EXPECT_EQ(submitAs("", 2, 1, "/open/").outcome, fleet_outcome::accepted);
    for (const bool isPublic : {true, false}) {
        configure(all, {"/", isPublic});
        EXPECT_EQ(queryAs("", 1).outcome, fleet_outcome::unauthorized);
        EXPECT_EQ(cancelAs("", "/price/" + formatJobId(1)).outcome, fleet_outcome::unauthorized);
        EXPECT_EQ(queryAs("birch", 1).outcome, fleet_outcome::unknownJob);
        EXPECT_EQ(cancelAs("birch", "/price/" + formatJobId(1)).outcome, fleet_outcome::unknownJob);
        EXPECT_EQ(queryAs("alder", 1).phase, job_phase::running);
    }
    EXPECT_EQ(cancelAs("", "/open/" + formatJobId(2)).outcome, fleet_outcome::accepted);
    EXPECT_EQ(cancelAs("alder", "/price/" + formatJobId(1)).outcome, fleet_outcome::accepted);
    EXPECT_EQ(queryAs("alder", 1).phase, job_phase::cancelled);
}

// A public route was a way to the jobs of customers: a caller without a key read and cancelled
// them.
TEST_F(customers, keepTheirJobsFromCallersOfPublicRoutes)
{
    workers.runDuration = seconds(60);
    EXPECT_EQ(submitAs("alder", 1).outcome, fleet_outcome::accepted);
    const std::string path = "/open/" + formatJobId(1);
    EXPECT_EQ(callAs("", query_call{"h.example", path}).outcome, fleet_outcome::unauthorized);
    EXPECT_EQ(cancelAs("", path).outcome, fleet_outcome::unauthorized);
    EXPECT_EQ(queryAs("alder", 1).phase, job_phase::running);
}

// A customer with many tasks waiting, whose quota is smaller than the room; also after a change of
// the leader, which knows the runs from the log.
TEST_F(customers, keepTheirQuota)
{
    workers.runDuration = seconds(60);
    EXPECT_EQ(submitAs("alder", 1, 20).outcome, fleet_outcome::accepted);
    EXPECT_EQ(submitAs("birch", 2, 9).outcome, fleet_outcome::accepted);
    run(seconds(2));
    EXPECT_EQ(workers.starts.size(), 17U);
    crash(static_cast<std::size_t>(leader()));
    run(seconds(5));
    ASSERT_GE(leader(), 0);
    EXPECT_EQ(workers.starts.size(), 17U);
    configure({makeCustomer("alder", 10, 10 * core), makeCustomer("birch", 10)});
    run(seconds(2));
    EXPECT_EQ(workers.starts.size(), 19U);
    configure({makeCustomer("alder", 10, 4 * core), makeCustomer("birch", 10)});
    run(seconds(2));
    EXPECT_EQ(workers.starts.size(), 19U);
}

// Tasks that ask for no resources.
TEST_F(customers, mayRunTasksThatUseNothing)
{
    job_graph graph = oneStep(5, 0);
    graph.steps[0].resources = {};
    EXPECT_EQ(callAs("alder", submit_call{"h.example", "/price/" + formatJobId(1), graph}).outcome,
              fleet_outcome::accepted);
    EXPECT_EQ(submitAs("alder", 2, 3).outcome, fleet_outcome::accepted);
    run(seconds(3));
    EXPECT_EQ(queryAs("alder", 1).phase, job_phase::completed);
    EXPECT_EQ(queryAs("alder", 2).phase, job_phase::completed);
}

TEST(customer_quota, countsEachResource)
{
    const resource_totals quota{8 * core, 1000, 0};
    EXPECT_TRUE(isWithinQuota(quota, {7 * core, 0, 0}, {1000, 100, 1}, 1));
    EXPECT_FALSE(isWithinQuota(quota, {7 * core + 1, 0, 0}, {1000, 100, 0}, 1));
    EXPECT_FALSE(isWithinQuota(quota, {0, 950, 0}, {1000, 100, 0}, 1));
    EXPECT_FALSE(isWithinQuota(quota, {}, {1000, 100, 0}, 9));
    EXPECT_TRUE(isWithinQuota(quota, {}, {9000, 100, 0}, 1));
    EXPECT_FALSE(isWithinQuota(quota, {1, 1, 0}, {9000, 100, 0}, 1));
    EXPECT_TRUE(isWithinQuota({}, {1'000'000, 1, 0}, {9000, 100, 0}, 100));
}

// One customer floods workers that are full; the others wait with less than their shares.
TEST(customer_shares, areExceededByTheCustomerThatFloods)
{
    std::map<std::string, double> weights;
    std::map<customer_id, resource_totals> running;
    for (int number = 0; number < 20; ++number) {
        const std::string name = "c" + std::to_string(number);
        weights[name] = 1;
        running[customerId(name)] = {10 * core, 100, 0};
    }
    EXPECT_TRUE(customersAboveShare(running, termsOf(weights)).empty());
    running[customerId("c7")] = {200 * core, 2000, 0};
    EXPECT_EQ(customersAboveShare(running, termsOf(weights)),
              std::set<customer_id>{customerId("c7")});
    weights["c7"] = 20;
    EXPECT_TRUE(customersAboveShare(running, termsOf(weights)).empty());
}

TEST(customer_shares, countTheDominantResource)
{
    const std::map<customer_id, resource_totals> running{
            {customerId("cores"), {90 * core, 100, 0}},
            {customerId("memory"), {10 * core, 100, 0}}};
    EXPECT_EQ(customersAboveShare(running, termsOf({{"cores", 1}, {"memory", 1}})),
              std::set<customer_id>{customerId("cores")});
}

TEST(customer_rate, letsTheWeightPassEachSecond)
{
    submission_rate rate;
    steady_time now{seconds(100)};
    int within = 0;
    for (int second = 0; second < 10; ++second) {
        for (int job = 0; job < 8; ++job) {
            within += countSubmission(rate, 2, now) ? 1 : 0;
            now += milliseconds(125);
        }
    }
    EXPECT_GE(within, 20);
    EXPECT_LE(within, 22);
    now += seconds(60);
    EXPECT_TRUE(countSubmission(rate, 2, now));
    EXPECT_TRUE(countSubmission(rate, 2, now));
    EXPECT_FALSE(countSubmission(rate, 2, now));
}

// Within a priority and kind, the steps of a customer above its share go last, whatever their
// deadline.
TEST(customer_shares, decideTheOrderWithinAPriority)
{
    const steady_time now{seconds(100)};
    step_urgency ordinary;
    ordinary.priority = 1;
    ordinary.deadline = now + seconds(10);
    ordinary.expiresAt = now + seconds(30);
    step_urgency yielding = ordinary;
    yielding.yieldsToOthers = true;
    yielding.deadline = now + seconds(1);
    EXPECT_TRUE(precedes(ordinary, yielding, now));
    EXPECT_FALSE(precedes(yielding, ordinary, now));
    yielding.priority = 0;
    EXPECT_TRUE(precedes(yielding, ordinary, now));
}

TEST(customer_keys, areOfOneCustomer)
{
    fleet_configuration made = fleet_group::configuration(1);
    made.customers = {makeCustomer("alder", 1), makeCustomer("birch", 1)};
    EXPECT_FALSE(checkConfiguration(made));
    made.customers[1].keyDigests.push_back(digestOfKey("key of alder"));
    ASSERT_TRUE(checkConfiguration(made));
    EXPECT_EQ(checkConfiguration(made)->reason, configuration_failure::kind::sharedKey);
}

} // namespace mango::test
