#include <gtest/gtest.h>

#include "Common/random_source.h"
#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Five control processes that call all workers through relays.
struct relayed_fleet : fleet_group
{
    explicit relayed_fleet(std::size_t workerCount = 40)
        : fleet_group(5, 5, 5, 1, 0)
    {
        run(seconds(4));
        configure();
        for (std::size_t number = 0; number < workerCount; ++number) {
            const std::string id = "w" + std::to_string(number);
            workers.add(id);
            announce(id);
        }
        run(seconds(1));
    }

    // Starts long-running tasks, one on each worker.
    void startLongRunning()
    {
        job_graph graph = oneStep(40);
        graph.steps[0].longRunning = true;
        graph.steps[0].perWorkerLimit = 1;
        workers.runDuration = seconds(600);
        submit(5, graph);
        run(seconds(1));
    }

    // A process other than the leader.
    [[nodiscard]] std::size_t follower() const
    {
        return leader() == 0 ? 1 : 0;
    }

    [[nodiscard]] std::size_t runningTasks()
    {
        std::size_t count = 0;
        for (int number = 0; number < 40; ++number) {
            count += workers.at("w" + std::to_string(number)).running.size();
        }
        return count;
    }
};

host_address replicaAddress(int number)
{
    return {"10.0.0." + std::to_string(number), 7000};
}

} // namespace

TEST(relays, shareTheWorkersEvenly)
{
    const std::vector<host_address> relays{replicaAddress(1), replicaAddress(2), replicaAddress(3),
                                           replicaAddress(4)};
    std::map<host_address, int> shares;
    for (int number = 0; number < 1800; ++number) {
        ++shares[chooseRelay(relays, "i-" + std::to_string(number * 7919))];
    }
    for (const host_address &relay : relays) {
        EXPECT_NEAR(shares[relay], 450, 90) << toText(relay);
    }
}

// When a relay leaves, only its own workers get another one; a change for all of them would open
// new connections to the whole fleet.
TEST(relays, keepTheOtherWorkersWhenARelayLeaves)
{
    const std::vector<host_address> before{replicaAddress(1), replicaAddress(2), replicaAddress(3)};
    const std::vector<host_address> after{replicaAddress(1), replicaAddress(3)};
    for (int number = 0; number < 500; ++number) {
        const std::string worker = "i-" + std::to_string(number);
        const host_address &chosen = chooseRelay(before, worker);
        if (chosen != replicaAddress(2)) {
            EXPECT_EQ(chooseRelay(after, worker), chosen);
        }
    }
}

TEST(relays, carryTheCallsOfTheLeader)
{
    relayed_fleet group;
    const auto leading = static_cast<std::size_t>(group.leader());
    const std::uint64_t direct = group.nodes[leading]->workers.calls;
    for (std::uint64_t job = 10; job < 20; ++job) {
        group.submit(job, fleet_group::oneStep(20));
    }
    group.run(seconds(3));
    EXPECT_EQ(group.nodes[leading]->workers.calls, direct);
    for (std::size_t number = 0; number < 5; ++number) {
        if (number != leading) {
            EXPECT_GT(group.nodes[number]->workers.calls, 50U) << number;
        }
    }
    for (std::uint64_t job = 10; job < 20; ++job) {
        EXPECT_EQ(group.phase(job), job_phase::completed);
    }
}

// A call that waited for long before the relay read it must not reach a worker that has restarted
// meanwhile: its deadline is a time on the clock of the earlier incarnation.
TEST(relays, dropCallsThatWereHeldUp)
{
    transit_monitor transits;
    const auto at = [](int time) {
        return steady_time(milliseconds(time));
    };
    EXPECT_FALSE(transits.isLate(1, milliseconds(5000), at(105'003)));
    EXPECT_FALSE(transits.isLate(1, milliseconds(5100), at(105'101)));
    EXPECT_FALSE(transits.isLate(1, milliseconds(5200), at(105'701)));
    EXPECT_TRUE(transits.isLate(1, milliseconds(5300), at(108'300)));
    EXPECT_FALSE(transits.isLate(1, milliseconds(8300), at(108'302)));
    // The leader of the next term has another clock.
    EXPECT_FALSE(transits.isLate(2, milliseconds(70), at(109'000)));
    EXPECT_TRUE(transits.isLate(2, milliseconds(170), at(109'800)));
}

TEST(relays, areNotUsedForFewWorkers)
{
    fleet_group group(3);
    group.configure();
    group.workers.add("w1");
    group.announce("w1");
    group.run(seconds(1));
    const auto leading = static_cast<std::size_t>(group.leader());
    EXPECT_GT(group.nodes[leading]->workers.calls, 0U);
    EXPECT_EQ(group.nodes[leading == 0 ? 1 : 0]->workers.calls, 0U);
    EXPECT_EQ(group.leading().heartbeatAddress("w1"), fleet_group::addressOf(leading));
}

// The workers of a relay that is killed or cut off are only silent for a moment: nothing that runs
// there is started again or given up.
TEST(relays, restartNothingWhenARelayFails)
{
    for (const bool killed : {true, false}) {
        relayed_fleet group;
        group.startLongRunning();
        ASSERT_EQ(group.runningTasks(), 40U);
        const std::size_t starts = group.workers.starts.size();
        const std::size_t lost = group.follower();
        if (killed) {
            group.crash(lost);
        } else {
            group.isolate(lost);
        }
        group.run(seconds(12));
        EXPECT_EQ(group.workers.starts.size(), starts) << (killed ? "killed" : "cut off");
        EXPECT_EQ(group.runningTasks(), 40U);
    }
}

TEST(relays, leaveRunsAloneThroughAChangeOfLeader)
{
    relayed_fleet group;
    group.startLongRunning();
    const std::size_t starts = group.workers.starts.size();
    group.crash(static_cast<std::size_t>(group.leader()));
    group.run(seconds(12));
    EXPECT_EQ(group.workers.starts.size(), starts);
    EXPECT_EQ(group.runningTasks(), 40U);
}

// Short tasks get other workers within a moment while a relay fails: the workers behind it do not
// count as failed themselves.
TEST(relays, startTasksOnAllWorkersAgainAfterARelayFailed)
{
    relayed_fleet group;
    group.crash(group.follower());
    group.run(seconds(2));
    group.workers.starts.clear();
    // One task takes all cores of a worker.
    group.submit(9, fleet_group::oneStep(40, 32'000));
    group.run(milliseconds(500));
    EXPECT_EQ(group.workers.starts.size(), 40U);
}

// A relay that is suspended or slow carries out a start long after the leader gave it up and
// started the task elsewhere.
TEST(relays, runATaskOnceWhenARelayDelaysStarts)
{
    relayed_fleet group;
    group.nodes[group.follower()]->workers.delay = milliseconds(2500);
    for (std::uint64_t job = 10; job < 16; ++job) {
        group.submit(job, fleet_group::oneStep(20));
    }
    group.run(seconds(10));
    EXPECT_TRUE(group.workers.duplicateRuns.empty()) << group.workers.duplicateRuns.front();
    std::set<task_key> started;
    for (const recorded_start &start : group.workers.starts) {
        EXPECT_TRUE(started.insert(start.key.task).second) << toText(start.key);
    }
    for (std::uint64_t job = 10; job < 16; ++job) {
        EXPECT_EQ(group.phase(job), job_phase::completed);
    }
}

namespace {

// Plays short tasks while calls and answers wait for up to seconds in all processes, overtake each
// other and are given up, relays stop answering for a while, and the leader is killed once.
void playDelays(std::uint64_t seed, bool workersRestart)
{
    relayed_fleet group;
    seeded_random random(seed);
    group.workers.durationOf = [&random](const run_key & /*key*/) {
        return milliseconds(200 + random.below(1500));
    };
    for (const auto &node : group.nodes) {
        node->workers.drawDelay = [&random] {
            return milliseconds(random.below(4) == 0 ? random.below(3000) : random.below(30));
        };
    }
    std::uint64_t job = 100;
    for (int round = 0; round < 10; ++round) {
        for (int number = 0; number < 4; ++number) {
            group.submit(job++, fleet_group::oneStep(30, 2'000));
        }
        group.run(milliseconds(700));
        for (int restart = 0; workersRestart && restart < 2; ++restart) {
            const std::string id = "w" + std::to_string(random.below(40));
            group.workers.add(id);
            group.announce(id);
        }
        const std::size_t relay = random.below(5);
        if (group.nodes[relay]) {
            group.nodes[relay]->workers.stopped = random.below(2) == 0;
        }
        if (round == 5) {
            group.crash(static_cast<std::size_t>(group.leader()));
            group.run(seconds(3));
        }
    }
    group.run(seconds(10));
    EXPECT_TRUE(group.workers.duplicateRuns.empty())
            << "seed " << seed << ": " << group.workers.duplicateRuns.front();
    EXPECT_TRUE(group.workers.repeatedRuns.empty())
            << "seed " << seed << ": " << group.workers.repeatedRuns.size() << " runs, "
            << group.workers.repeatedRuns.front();
}

} // namespace

// Nothing that was done runs again, and nothing runs twice.
TEST(relays, repeatNothingWhileCallsAreDelayed)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        playDelays(seed, false);
    }
}

// The same while workers restart under the ids that they had.
TEST(relays, repeatNothingWhileWorkersRestart)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        playDelays(seed, true);
    }
}

namespace {

boost::asio::awaitable<void> callReplica(std::shared_ptr<rpc_client> client, call message,
                                         std::shared_ptr<std::optional<response_message>> answered)
{
    auto received = co_await client->invoke(message, seconds(2));
    if (!failed(received)) {
        *answered = std::move(valueOf(received));
    }
}

} // namespace

// Orders of an earlier leader that waited on their way to the relay are not carried out.
TEST(relays, refuseCallsOfAnEarlierTerm)
{
    relayed_fleet group;
    const std::uint64_t term = group.leading().replicaStatus().term;
    fake_network transport(group.links, {"10.0.0.9", 7000});
    causal_clock stamps(group.clock);
    const auto client =
            std::make_shared<rpc_client>(group.context->get_executor(), group.clock, transport,
                                         stamps, fleet_group::addressOf(group.follower()));
    for (const std::uint64_t used : {term - 1, term}) {
        worker_call request;
        request.worker = {group.workers.at("w1").record.incarnation,
                          group.workers.at("w1").record.address, fencingTokenOf(used, 1000), used};
        request.sentAt =
                std::chrono::duration_cast<milliseconds>(group.clock.now().time_since_epoch());
        request.request = stop_run_request{{{77, 0, 0, 0}, 1}};
        const auto answered = std::make_shared<std::optional<response_message>>();
        boost::asio::co_spawn(*group.context, callReplica(client, call{0, request}, answered),
                              boost::asio::detached);
        group.run(milliseconds(100));
        ASSERT_TRUE(answered->has_value());
        const auto &answer = std::get<worker_call_answer>(**answered).answer;
        EXPECT_EQ(std::get<worker_response>(answer).result,
                  used < term ? worker_call_result::staleFencingToken : worker_call_result::done);
    }
}

// A follower confirms the heartbeats that change nothing, so that the leader need not handle those
// of all workers; all others go to the leader.
TEST(relays, confirmHeartbeatsThatChangeNothing)
{
    relayed_fleet group;
    const std::size_t follower = group.follower();
    EXPECT_EQ(group.nodes[follower]->server->heartbeatAddress("w1"),
              fleet_group::addressOf(follower));
    EXPECT_NE(group.leading().heartbeatAddress("w1"),
              fleet_group::addressOf(static_cast<std::size_t>(group.leader())));
    group.isolate(follower);
    group.run(seconds(2));
    worker_record record = group.workers.at("w1").record;
    EXPECT_EQ(group.call(follower, heartbeat_call{{record, 1000}}).outcome,
              fleet_outcome::accepted);
    record.draining = true;
    EXPECT_EQ(group.call(follower, heartbeat_call{{record, 1001}}).outcome,
              fleet_outcome::unavailable);
    record.draining = false;
    record.incarnation.startTime += seconds(1);
    EXPECT_EQ(group.call(follower, heartbeat_call{{record, 1}}).outcome,
              fleet_outcome::unavailable);
}

// A heartbeat was confirmed when it was sent again while the first one was still being committed,
// in vain: nobody knew that the worker drains.
TEST(relays, confirmNoHeartbeatThatIsNotCommitted)
{
    fleet_group group(3);
    group.configure();
    group.workers.add("w1");
    group.announce("w1");
    worker_heartbeat draining{group.workers.at("w1").record, 1000};
    draining.record.draining = true;
    const auto leading = static_cast<std::size_t>(group.leader());
    group.isolate(leading);
    group.sendHeartbeat(draining);
    EXPECT_NE(group.call(leading, heartbeat_call{draining}).outcome, fleet_outcome::accepted);
}

// A round updates only a part of the offers of a large fleet; a worker that leaves is among them.
TEST(large_fleet, startsNothingOnWorkersThatLeave)
{
    relayed_fleet group(450);
    for (int number = 0; number < 450; number += 50) {
        const std::string id = "w" + std::to_string(number);
        group.workers.at(id).record.draining = number % 100 == 0;
        group.workers.at(id).record.failureDomain = number % 100 == 0 ? "a" : "b";
        group.announce(id);
    }
    group.call(domain_call{"b", true});
    group.workers.starts.clear();
    group.submit(9, fleet_group::oneStep(600, 32'000));
    group.run(seconds(3));
    std::set<std::string> used;
    for (const recorded_start &start : group.workers.starts) {
        used.insert(start.worker);
    }
    EXPECT_EQ(used.size(), 441U);
    for (int number = 0; number < 450; number += 50) {
        EXPECT_FALSE(used.contains("w" + std::to_string(number)));
    }
    group.call(domain_call{"b", false});
    group.submit(10, fleet_group::oneStep(600, 32'000));
    group.run(seconds(3));
    EXPECT_TRUE(std::any_of(group.workers.starts.begin(), group.workers.starts.end(),
                            [](const recorded_start &start) {
                                return start.worker == "w50";
                            }));
}

} // namespace mango::test
