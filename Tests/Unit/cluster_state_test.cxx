#include <gtest/gtest.h>

#include "State/cluster_state.h"
#include "State/queries.h"

namespace mango::test {

namespace {

bool accepted(const command_result &outcome)
{
    return std::holds_alternative<change_accepted>(outcome);
}

cluster_state stateWithJob(std::uint32_t tasks)
{
    cluster_state state;
    submit_job_command job;
    job.spec.taskCount = tasks;
    apply(state, job);
    return state;
}

void place(cluster_state &state, const task_id &id, std::uint64_t epoch, const std::string &worker)
{
    apply(state, place_tasks_command{{{id, epoch, worker, "i"}}});
}

void report(cluster_state &state, const task_id &id, std::uint64_t epoch, task_change change,
            const std::string &checkpoint = "", const std::string &outcome = "")
{
    apply(state, report_tasks_command{{{id, epoch, change, checkpoint, 10, 0, outcome}}, 1});
}

claim_command claim(const std::string &attempt, const std::string &fingerprint = "f")
{
    return {"key", fingerprint, attempt, "w1", "i1", 1, std::nullopt};
}

} // namespace

// P2: a placement takes effect only if the task is pending and the epoch is the next one.
TEST(cluster_state, placesTaskOnce)
{
    cluster_state state = stateWithJob(1);
    place(state, {1, 0}, 1, "w1");
    place(state, {1, 0}, 1, "w2");
    place(state, {1, 0}, 2, "w3");
    EXPECT_EQ(findTask(state, {1, 0})->worker, "w1");
    EXPECT_EQ(findTask(state, {1, 0})->epoch, 1U);
}

// P3: an eviction requeues a task once; later reports of the same epoch are ignored.
TEST(cluster_state, evictionRequeuesOnce)
{
    cluster_state state = stateWithJob(1);
    place(state, {1, 0}, 1, "w1");
    report(state, {1, 0}, 1, task_change::evicted, "c1");
    place(state, {1, 0}, 2, "w2");
    report(state, {1, 0}, 1, task_change::evicted, "c0");
    report(state, {1, 0}, 1, task_change::finished);
    const task_record *task = findTask(state, {1, 0});
    EXPECT_EQ(task->phase, task_phase::placed);
    EXPECT_EQ(task->evictions, 1U);
    EXPECT_EQ(task->checkpoint, "c1");
}

// P3, L5: a task whose eviction and cancellation coincide ends as cancelled, in either order.
TEST(cluster_state, cancelledTaskDoesNotResume)
{
    for (const bool cancelFirst : {true, false}) {
        cluster_state state = stateWithJob(2);
        place(state, {1, 0}, 1, "w1");
        if (cancelFirst) {
            apply(state, cancel_job_command{1, 5});
        }
        report(state, {1, 0}, 1, task_change::evicted, "c1");
        if (!cancelFirst) {
            apply(state, cancel_job_command{1, 5});
        }
        EXPECT_EQ(findTask(state, {1, 0})->phase, task_phase::cancelled);
        EXPECT_EQ(jobPhase(*findJob(state, 1)), "cancelled");
    }
}

// P3: if a checkpoint is missing, the task resumes from the previous one, then from the start.
TEST(cluster_state, missingCheckpointFallsBack)
{
    cluster_state state = stateWithJob(1);
    place(state, {1, 0}, 1, "w1");
    report(state, {1, 0}, 1, task_change::checkpointed, "old");
    report(state, {1, 0}, 1, task_change::checkpointed, "new");
    report(state, {1, 0}, 1, task_change::lost);
    place(state, {1, 0}, 2, "w2");
    report(state, {1, 0}, 2, task_change::failed, "", "checkpoint missing");
    EXPECT_EQ(findTask(state, {1, 0})->checkpoint, "old");
    place(state, {1, 0}, 3, "w2");
    report(state, {1, 0}, 3, task_change::failed, "", "checkpoint missing");
    EXPECT_EQ(findTask(state, {1, 0})->checkpoint, "");
    EXPECT_EQ(findTask(state, {1, 0})->phase, task_phase::pending);
}

// L2: a task that always fails is not restarted forever.
TEST(cluster_state, taskFailsAfterMaximumFailures)
{
    cluster_state state = stateWithJob(1);
    for (std::uint64_t epoch = 1; epoch <= 5; ++epoch) {
        place(state, {1, 0}, epoch, "w1");
        report(state, {1, 0}, epoch, task_change::failed, "", "exit 1");
    }
    EXPECT_EQ(findTask(state, {1, 0})->phase, task_phase::failed);
    EXPECT_EQ(jobPhase(*findJob(state, 1)), "failed");
}

namespace {

void restartUnder(cluster_state &state, std::uint64_t epoch, std::uint64_t lostMs)
{
    place(state, {1, 0}, epoch, "w1");
    apply(state, report_tasks_command{
                         {{{1, 0}, epoch, task_change::workerRestarted, "", 0, lostMs, ""}}, 1});
}

} // namespace

// Workers restarted under a task for ever, if each run had lasted for 10 s or longer, and one such
// run made up for all earlier restarts.
TEST(cluster_state, taskRestartsWorkersWithoutALimit)
{
    for (const std::uint64_t lastedMs : {20U, 12'000U, 60'000U, 299'000U}) {
        cluster_state state = stateWithJob(1);
        for (std::uint64_t epoch = 1; epoch <= 4; ++epoch) {
            EXPECT_EQ(findTask(state, {1, 0})->phase, task_phase::pending);
            restartUnder(state, epoch, lastedMs);
        }
        EXPECT_EQ(findTask(state, {1, 0})->phase, task_phase::failed) << lastedMs;
        EXPECT_EQ(jobPhase(*findJob(state, 1)), "failed");
    }
}

// Restarts after long runs have other causes, also when the runs have saved most of their work.
TEST(cluster_state, ordinaryRestartsOfWorkersEndATask)
{
    cluster_state state = stateWithJob(1);
    for (std::uint64_t epoch = 1; epoch <= 12; ++epoch) {
        restartUnder(state, epoch, epoch % 2 == 0 ? 400'000 : 20);
    }
    EXPECT_EQ(findTask(state, {1, 0})->phase, task_phase::pending);
    std::uint64_t progressMs = 0;
    for (std::uint64_t epoch = 13; epoch <= 24; ++epoch) {
        place(state, {1, 0}, epoch, "w1");
        progressMs += 400'000;
        apply(state, report_tasks_command{{{{1, 0},
                                            epoch,
                                            task_change::checkpointed,
                                            "c" + std::to_string(epoch),
                                            progressMs,
                                            0,
                                            ""}},
                                          1});
        apply(state, report_tasks_command{
                             {{{1, 0}, epoch, task_change::workerRestarted, "", 0, 20, ""}}, 1});
    }
    EXPECT_EQ(findTask(state, {1, 0})->phase, task_phase::pending);
}

// P7: one attempt holds the claim on a key and may repeat it; other attempts are told which one.
TEST(cluster_state, keyIsClaimedByOneAttempt)
{
    cluster_state state;
    EXPECT_TRUE(accepted(apply(state, claim("a"))));
    EXPECT_TRUE(accepted(apply(state, claim("a"))));
    const command_result other = apply(state, claim("b"));
    ASSERT_TRUE(std::holds_alternative<claim_conflict>(other));
    EXPECT_EQ(std::get<claim_conflict>(other).attempt, "a");
    EXPECT_TRUE(std::holds_alternative<change_refused>(apply(state, claim("c", "other"))));
    EXPECT_FALSE(accepted(apply(state, release_claim_command{"key", "b"})));
    EXPECT_TRUE(accepted(apply(state, complete_claim_command{"key", "a", {200, "t", "body"}})));
    EXPECT_FALSE(accepted(apply(state, release_claim_command{"key", "a"})));
    const command_result before = apply(state, claim("d"));
    ASSERT_TRUE(std::holds_alternative<already_answered>(before));
    EXPECT_EQ(std::get<already_answered>(before).response.body, "body");
}

// Claims expire by age, and a key that was released and claimed again has the age of its new claim.
TEST(cluster_state, claimsExpireByTheirOwnAge)
{
    cluster_state state;
    apply(state, claim("a"));
    apply(state, release_claim_command{"key", "a"});
    claim_command newClaim = claim("b");
    newClaim.wallTimeMs = 1000;
    apply(state, newClaim);
    apply(state, expire_command{1200, 500, 500});
    EXPECT_EQ(state.claims.size(), 1U);
    apply(state, expire_command{2000, 500, 500});
    EXPECT_TRUE(state.claims.empty());
}

namespace {

std::uint64_t putRoutes(cluster_state &state, const std::string &text)
{
    apply(state, put_table_command{table_kind::routes, state.tables[table_kind::routes].version,
                                   text, ""});
    return state.configVersion;
}

claim_command claimRouted(const std::string &attempt, std::uint64_t configVersion)
{
    claim_command change = claim(attempt);
    change.request = {"POST", "/order/7", configVersion};
    return change;
}

const std::string orderRow = "[order]\npath = /order\nmethod = POST\npool = p\n";
const std::string otherRow = "[other]\npath = /other\nmethod = POST\npool = p\n";
const std::string outerRow = "[all]\npath = /\npool = p\n";

} // namespace

// P6: a request that waited while its row was removed ran after a resend had been told that it was
// not run, also when the row had been put back in between.
TEST(cluster_state, requestsRunAfterTheRemovalOfTheirRoute)
{
    cluster_state state;
    const std::uint64_t matched = putRoutes(state, orderRow + otherRow);
    putRoutes(state, otherRow);
    const command_result late = apply(state, claimRouted("a", matched));
    ASSERT_TRUE(std::holds_alternative<change_refused>(late));
    EXPECT_EQ(std::get<change_refused>(late).reason, command_refusal_reason::routeRemoved);
    const std::uint64_t back = putRoutes(state, orderRow);
    cluster_state loaded;
    ASSERT_TRUE(decodeState(encodeState(state), loaded));
    EXPECT_FALSE(accepted(apply(loaded, claimRouted("a", matched))));
    EXPECT_TRUE(accepted(apply(loaded, claimRouted("b", back))));
    submit_job_command job;
    job.spec.taskCount = 1;
    job.request = {"POST", "/order", matched};
    EXPECT_FALSE(accepted(apply(state, job)));
    job.request->configVersion = back;
    EXPECT_TRUE(accepted(apply(state, job)));
}

// Changes of other rows, and of its own row's pool and name, leave a waiting request alone.
TEST(cluster_state, changesOfOtherRoutesEndWaitingRequests)
{
    cluster_state state;
    const std::uint64_t matched = putRoutes(state, orderRow);
    putRoutes(state, orderRow + otherRow);
    putRoutes(state, "[renamed]\npath = /order\nmethod = POST\npool = q\n");
    apply(state, set_domain_command{"d", false, 0, ""});
    EXPECT_TRUE(accepted(apply(state, claimRouted("a", matched))));
    const std::uint64_t outer = putRoutes(state, outerRow + orderRow);
    putRoutes(state, outerRow);
    claim_command other = claimRouted("b", outer);
    other.key = "another";
    EXPECT_TRUE(accepted(apply(state, other)));
}

// What was claimed before the row was removed stays claimed, so that a resend gets its answer.
TEST(cluster_state, claimsAreLostWithTheirRoute)
{
    cluster_state state;
    const std::uint64_t matched = putRoutes(state, orderRow);
    apply(state, claimRouted("a", matched));
    putRoutes(state, otherRow);
    EXPECT_TRUE(accepted(apply(state, claimRouted("a", matched))));
    EXPECT_TRUE(std::holds_alternative<claim_conflict>(apply(state, claimRouted("b", matched))));
}

// A job that is submitted again with the same key yields the id of the first job.
TEST(cluster_state, resubmittedJobIsTheFirstJob)
{
    cluster_state state;
    submit_job_command job;
    job.key = "k";
    const command_result first = apply(state, job);
    const command_result again = apply(state, job);
    EXPECT_EQ(std::get<change_accepted>(first).version, std::get<change_accepted>(again).version);
    EXPECT_EQ(state.jobs.size(), 1U);
}

// Decoding a snapshot restores the same state, and truncated snapshots are refused.
TEST(cluster_state, snapshotRoundTrip)
{
    cluster_state state = stateWithJob(3);
    place(state, {1, 1}, 1, "w1");
    apply(state, claim("a"));
    apply(state, put_table_command{table_kind::pools, 0, "[p]\nworkers = a, b*\n", "id"});
    const std::string bytes = encodeState(state);
    cluster_state loaded;
    ASSERT_TRUE(decodeState(bytes, loaded));
    EXPECT_EQ(encodeState(loaded), bytes);
    EXPECT_EQ(loaded.parsedPools.size(), 1U);
    EXPECT_EQ(loaded.unfinishedTasks.size(), 3U);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        cluster_state cut;
        EXPECT_FALSE(decodeState(bytes.substr(0, length), cut));
    }
}

} // namespace mango::test
