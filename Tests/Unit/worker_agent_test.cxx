#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Control/worker_agent.h"
#include "Unit/replica_group.h"

namespace mango::test {

namespace {

using std::chrono::seconds;

// One leader, and one task that it has placed on worker w1.
struct placed_task
{
    placed_task()
    {
        submit_job_command job;
        job.spec.taskCount = 1;
        group.propose(leading, job);
        group.run(seconds(1));
        group.propose(leading, place_tasks_command{{{task, 1, "w1", "i1"}}});
        group.run(seconds(1));
        worker.announced.name = "w1";
        worker.announced.incarnation = "i1";
        worker.runs[task].startConfirmed = true;
    }

    const task_id task{1, 0};
    replica_group group{3};
    std::size_t leading = static_cast<std::size_t>(group.leader());
    replica_group::node &node = *group.nodes[leading];
    control_settings settings;
    control_context context{
            group.context->get_executor(), group.clock, group.random,    node.events,
            node.metricsRegistry,          settings,    *node.consensus, node.machine};
    leader_state leader{context, node.consensus->term(), 1};
    worker_state &worker = findOrAddWorker(leader, "w1");
};

} // namespace

// A task that had finished was started again when its worker's lease ran out before the leader read
// the reply that told so.
TEST(worker_agent, readsAReplyBeforeItCountsTasksAsLost)
{
    placed_task placed;
    placed.worker.leaseEnd = placed.group.clock.now() - seconds(1);
    agent_reply reply;
    reply.incarnation = "i1";
    reply.nonce = "n";
    reply.complete = true;
    run_status &status = reply.runs.emplace_back();
    status.task = placed.task;
    status.epoch = 1;
    status.state = run_state::finished;
    http_response response;
    response.status = 200;
    response.body = encodeReply(reply);
    EXPECT_TRUE(handlePollResponse(placed.leader, placed.worker, "i1", response));
    ASSERT_EQ(placed.leader.reports.size(), 1U);
    EXPECT_EQ(placed.leader.reports.front().change, task_change::finished);
}

TEST(worker_agent, countsTasksAsLostWhenNoReplyCame)
{
    placed_task placed;
    placed.worker.leaseEnd = placed.group.clock.now() - seconds(1);
    EXPECT_FALSE(handlePollResponse(placed.leader, placed.worker, "i1", http_failure{}));
    ASSERT_EQ(placed.leader.reports.size(), 1U);
    EXPECT_EQ(placed.leader.reports.front().change, task_change::lost);
}

} // namespace mango::test
