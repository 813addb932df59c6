#include <gtest/gtest.h>

#include "control_codec.h"
#include "job_codec.h"
#include "worker_codec.h"

namespace mango::platform {

namespace {

using std::chrono::milliseconds;

const std::string validConfiguration =
        R"({"version":7,"routes":[{"name":"r","host":"h.example","path_prefix":"/p/","kind":"unsafe",)"
        R"("timeout_ms":3000,"target_latency_ms":250,"priority":2,"service":"s","max_attempts":4,)"
        R"("stretch":1.5}],"services":[{"name":"s","enforces_capacity":false}],)"
        R"("limits":{"max_header_bytes":1000,"max_body_bytes":2000,"header_timeout_ms":30,)"
        R"("idle_timeout_ms":40}})";

const std::string validHeartbeat =
        R"({"service":"s","address":"10.1.2.3:80","zone":"z","version":"v1","slots":8,)"
        R"("state":"draining","capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},)"
        R"("labels":["a","r1-3"],"clock_ms":5,"sequence":4,"born":123,"cold_left_ms":0})";

std::string withReplacement(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

bool isRefused(const std::string &body)
{
    return std::holds_alternative<configuration_failure>(decodeConfiguration(body));
}

bool isIgnored(const std::string &body)
{
    return std::holds_alternative<invalid_heartbeat>(decodeHeartbeat("i-1", body));
}

} // namespace

TEST(platform_codec, decodesCustomers)
{
    const std::string withCustomers = withReplacement(
            validConfiguration, R"("limits")",
            R"("tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1,"weight":19,)"
            R"("max_count":{"cpu":1897323,"mem_mb":3406163,"gpu":0}},{"name":"u"}],"limits")");
    const auto decoded = decodeConfiguration(withCustomers);
    const auto *configuration = std::get_if<fleet_configuration>(&decoded);
    ASSERT_NE(configuration, nullptr);
    ASSERT_EQ(configuration->customers.size(), 2U);
    const customer &first = configuration->customers[0];
    EXPECT_EQ(first.name, "t");
    EXPECT_EQ(first.weight, 19);
    EXPECT_EQ(first.quota, (resource_totals{1'897'323, 3'406'163, 0}));
    EXPECT_EQ(first.keyDigests, (std::vector<std::string>{digestOfKey("k1"), digestOfKey("k2")}));
    EXPECT_EQ(configuration->customers[1].quota, resource_totals{});
    EXPECT_TRUE(isRefused(withReplacement(withCustomers, R"("name":"u")", R"("nome":"u")")));
    EXPECT_TRUE(isRefused(withReplacement(withCustomers, R"(["k1","k2"])", R"("k1")")));
    EXPECT_TRUE(isRefused(withReplacement(withCustomers, R"("weight":19)", R"("weight":-1)")));
    EXPECT_TRUE(isRefused(withReplacement(withCustomers, "1897323", "-1")));
    EXPECT_TRUE(isRefused(
            withReplacement(withCustomers, R"("name":"u")", R"("name":"u","api_keys":["k2"])")));
}

TEST(platform_codec, decodesAConfiguration)
{
    const auto decoded = decodeConfiguration(validConfiguration);
    const auto *configuration = std::get_if<fleet_configuration>(&decoded);
    ASSERT_NE(configuration, nullptr);
    EXPECT_EQ(configuration->version, 7U);
    ASSERT_EQ(configuration->routes.size(), 1U);
    EXPECT_EQ(configuration->routes[0].pathPrefix, "/p/");
    EXPECT_EQ(configuration->routes[0].maximumFailures, 4U);
    EXPECT_EQ(configuration->routes[0].stretch, 1.5);
    EXPECT_EQ(configuration->routes[0].targetLatency, milliseconds(250));
    EXPECT_FALSE(configuration->services[0].enforcesCapacity);
    EXPECT_EQ(configuration->limits.bodyBytes, 2000U);
    EXPECT_EQ(configuration->limits.idleTimeout, milliseconds(40));
    EXPECT_EQ(configuration->source, validConfiguration);
}

// CONFIG: a truncated or invalid configuration must never be acknowledged.
TEST(platform_codec, refusesInvalidConfigurations)
{
    for (std::size_t length = 0; length < validConfiguration.size(); ++length) {
        EXPECT_TRUE(isRefused(validConfiguration.substr(0, length))) << length;
    }
    const auto modified = [](const std::string &from, const std::string &to) {
        return withReplacement(validConfiguration, from, to);
    };
    EXPECT_TRUE(isRefused(modified(R"("service":"s")", R"("service":"none")")));
    EXPECT_TRUE(isRefused(modified(R"("timeout_ms":3000)", R"("timeout_ms":0)")));
    EXPECT_TRUE(isRefused(modified(R"("timeout_ms":3000)", R"("timeout_ms":-5)")));
    EXPECT_TRUE(isRefused(modified(R"("timeout_ms":3000)", R"("timeout_ms":"3000")")));
    EXPECT_TRUE(isRefused(modified(R"("version":7)", R"("version":-7)")));
    EXPECT_TRUE(isRefused(modified(R"("version":7)", R"("version":"7")")));
    EXPECT_TRUE(isRefused(modified(R"("version":7,)", "")));
    EXPECT_TRUE(isRefused(modified(R"("host":"h.example",)", "")));
    EXPECT_TRUE(isRefused(modified(R"("routes":[)", R"("routes":[4,)")));
    EXPECT_TRUE(isRefused("[]"));
    const std::string route = R"({"name":"q","host":"h.example","path_prefix":"/p/",)"
                              R"("timeout_ms":1,"service":"s"},)";
    EXPECT_TRUE(isRefused(modified(R"("routes":[)", R"("routes":[)" + route)));
}

TEST(platform_codec, decodesAHeartbeat)
{
    const auto decoded = decodeHeartbeat("i-1", validHeartbeat);
    const auto *heartbeat = std::get_if<worker_heartbeat>(&decoded);
    ASSERT_NE(heartbeat, nullptr);
    EXPECT_EQ(heartbeat->record.incarnation, (worker_incarnation{"i-1", milliseconds(123)}));
    EXPECT_EQ(heartbeat->record.address, (host_address{"10.1.2.3", 80}));
    EXPECT_EQ(heartbeat->record.capacity, (resource_amounts{16'000, 32'768, 1}));
    EXPECT_TRUE(heartbeat->record.draining);
    EXPECT_TRUE(heartbeat->record.hasLabel("r1-3"));
    EXPECT_EQ(heartbeat->sequence, 4U);
}

// A truncated heartbeat, or one of a foreign writer, must not register a worker.
TEST(platform_codec, ignoresMalformedHeartbeats)
{
    for (std::size_t length = 0; length < validHeartbeat.size(); ++length) {
        EXPECT_TRUE(isIgnored(validHeartbeat.substr(0, length))) << length;
    }
    EXPECT_TRUE(isIgnored(
            withReplacement(validHeartbeat, R"("state":"draining")", R"("state":"asleep")")));
    EXPECT_TRUE(isIgnored(withReplacement(validHeartbeat, R"("sequence":4,)", "")));
    EXPECT_TRUE(isIgnored(withReplacement(validHeartbeat, R"("born":123)", R"("born":123.5)")));
    EXPECT_TRUE(isIgnored(withReplacement(validHeartbeat, R"("10.1.2.3:80")", R"("somewhere")")));
    EXPECT_TRUE(isIgnored(withReplacement(validHeartbeat, R"("cpu":16000)", R"("cpu":"16000")")));
    EXPECT_TRUE(isIgnored(withReplacement(validHeartbeat, R"(["a","r1-3"])", R"(["a",3])")));
}

TEST(platform_codec, decodesAJob)
{
    const auto decoded = decodeJob(
            R"({"spec":"x","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimated_ms":900},)"
            R"({"count":2,"cpu":1,"depends_on":[0],"checkpointing":true,"fills":true,"image":"i",)"
            R"("anti_affinity":3,"target_ms":50,"long_running":true,"may_miss":1,"gang":true}],)"
            R"("repeat_count":3,"start_at_ms":1000,"interval_ms":200})");
    const auto *job = std::get_if<job_graph>(&decoded);
    ASSERT_NE(job, nullptr);
    EXPECT_EQ(job->specification, "x");
    ASSERT_EQ(job->steps.size(), 2U);
    EXPECT_EQ(job->steps[0].resources, (resource_amounts{500, 256, 0}));
    EXPECT_EQ(job->steps[0].estimate, milliseconds(900));
    const job_step &second = job->steps[1];
    EXPECT_EQ(second.dependsOn, std::vector<std::uint32_t>{0});
    EXPECT_TRUE(second.checkpoints && second.bestEffort && second.longRunning && second.gang);
    EXPECT_EQ(second.perWorkerLimit, 3U);
    EXPECT_EQ(second.tailLatencyTarget, milliseconds(50));
    ASSERT_TRUE(job->schedule.has_value());
    EXPECT_EQ(job->schedule->occurrences, 3U);
    EXPECT_EQ(job->schedule->interval, milliseconds(200));
}

TEST(platform_codec, encodesWhyAJobHasFailed)
{
    EXPECT_EQ(encodeJobState(job_phase::completed, ""), R"({"state":"completed"})");
    EXPECT_EQ(encodeJobState(job_phase::failed, "task 1 failed"),
              R"({"state":"failed","reason":"task 1 failed"})");
}

TEST(platform_codec, encodesTheLengthOfAQueueAndAJobOfItsPath)
{
    EXPECT_EQ(encodeQueueState(12, std::nullopt, ""), R"({"waiting":12})");
    EXPECT_EQ(encodeQueueState(0, job_phase::running, ""), R"({"state":"running","waiting":0})");
}

// Steps that no valid job has were decoded before the job was refused.
TEST(platform_codec, refusesMoreStepsThanAJobMayHaveTasks)
{
    std::string body = R"({"steps":[{"count":1})";
    for (std::uint64_t steps = 1; steps < maximumTasks; ++steps) {
        body += ",{}";
    }
    EXPECT_TRUE(std::holds_alternative<job_graph>(decodeJob(body + "]}")));
    const auto decoded = decodeJob(body + ",{}]}");
    ASSERT_TRUE(std::holds_alternative<invalid_field>(decoded));
    EXPECT_EQ(std::get<invalid_field>(decoded).reason, "has more than 20000 steps");
}

TEST(platform_codec, namesTheInvalidFieldOfAJob)
{
    const auto invalidFieldOf = [](const std::string &body) {
        const auto decoded = decodeJob(body);
        const auto *invalid = std::get_if<invalid_field>(&decoded);
        return invalid == nullptr ? std::string() : invalid->name;
    };
    EXPECT_EQ(invalidFieldOf("{"), "body");
    EXPECT_EQ(invalidFieldOf(R"({"spec":"x"})"), "steps");
    EXPECT_EQ(invalidFieldOf(R"({"spec":4,"steps":[]})"), "spec");
    EXPECT_EQ(invalidFieldOf(R"({"steps":[{"count":"4"}]})"), "steps.count");
    EXPECT_EQ(invalidFieldOf(R"({"steps":[{"count":4,"cpu":-1}]})"), "steps.cpu");
    EXPECT_EQ(invalidFieldOf(R"({"steps":[{"count":4,"depends_on":["0"]}]})"), "steps.depends_on");
    EXPECT_EQ(invalidFieldOf(R"({"steps":[{"count":4}]})"), "");
}

TEST(platform_codec, formatsAndParsesTaskIds)
{
    const task_key key{0x5c0e7a21d94b36f8ULL, 2, 1, 17};
    EXPECT_EQ(formatTaskId(key), "5c0e7a21d94b36f8.2.1.17");
    EXPECT_EQ(parseTaskId("5c0e7a21d94b36f8.2.1.17"), key);
    for (const char *invalid :
         {"", "5c0e7a21d94b36f8", "5c0e7a21d94b36f8.2.1", "x.0.0.0", "5c0e7a21d94b36f8.2.1.17.3",
          "5c0e7a21d94b36f8.2.1.-1", "5c0e7a21d94b36f8.2..1"}) {
        EXPECT_FALSE(parseTaskId(invalid).has_value()) << invalid;
    }
}

TEST(platform_codec, decodesAWorkerReportAndCountsMalformedRows)
{
    const auto report = decodeWorkerReport(
            R"({"clock_ms":482113,"born":77,"running":[["5c0e7a21d94b36f8.0.1.17",2,"0bb8",41,900],)"
            R"(["bad",2,"",1]],"ended_runs":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)"
            R"([59,"5c0e7a21d94b36f8.0.1.9",1,"vanished",""]]})");
    ASSERT_TRUE(report.has_value());
    EXPECT_EQ(report->clock, milliseconds(482'113));
    EXPECT_EQ(report->startTime, milliseconds(77));
    ASSERT_EQ(report->running.size(), 1U);
    EXPECT_EQ(report->running[0].progressPercent, 41U);
    EXPECT_EQ(report->running[0].recentLoad, 900U);
    ASSERT_EQ(report->ended.size(), 1U);
    EXPECT_EQ(report->ended[0].number, 58U);
    EXPECT_EQ(report->malformedRows, 2U);
    EXPECT_FALSE(decodeWorkerReport(R"({"clock_ms":1})").has_value());
    EXPECT_FALSE(decodeWorkerReport("").has_value());
}

TEST(platform_codec, distinguishesReasonsOfRefusal)
{
    const auto resultOf = [](unsigned status, const std::string &body) {
        return decodeWorkerResponse(status, body).result;
    };
    EXPECT_EQ(resultOf(200, R"({"clock_ms":5})"), worker_call_result::done);
    EXPECT_EQ(resultOf(409, R"({"clock_ms":5,"reason":"fence"})"),
              worker_call_result::staleFencingToken);
    EXPECT_EQ(resultOf(409, R"({"clock_ms":5,"reason":"old"})"), worker_call_result::staleRun);
    EXPECT_EQ(resultOf(409, R"({"clock_ms":5,"reason":"late"})"),
              worker_call_result::deadlineExceeded);
    EXPECT_EQ(resultOf(409, R"({"clock_ms":5,"reason":"room"})"),
              worker_call_result::insufficientResources);
    EXPECT_EQ(resultOf(409, R"({"reason":"ticket"})"), worker_call_result::ticketRejected);
    EXPECT_EQ(resultOf(421, ""), worker_call_result::wrongIncarnation);
    EXPECT_EQ(resultOf(503, ""), worker_call_result::unhealthy);
    EXPECT_EQ(resultOf(500, ""), worker_call_result::unanswered);
    EXPECT_EQ(resultOf(400, ""), worker_call_result::malformed);
    EXPECT_EQ(resultOf(409, "{"), worker_call_result::unanswered);
    EXPECT_EQ(resultOf(409, R"({"clock_ms":5,"reason":"?"})"), worker_call_result::unanswered);
    EXPECT_EQ(resultOf(202, "{}"), worker_call_result::unanswered);
}

TEST(platform_codec, encodesRequestsToWorkers)
{
    const worker_call_target target{{"i-1", milliseconds(1)}, {"10.0.0.1", 80}, 7};
    start_run_request request;
    request.key = {{0x5c0e7a21d94b36f8ULL, 0, 1, 17}, 2};
    request.specification = "text";
    request.deadline = milliseconds(486'000);
    EXPECT_EQ(encodeStartRequest(target, request),
              R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"fencing_token":7,"spec":"text",)"
              R"("deadline_ms":486000})");
    renew_lease_request leaseRequest;
    leaseRequest.acknowledgedEnds = 57;
    leaseRequest.deadline = milliseconds(486'000);
    leaseRequest.wait = milliseconds(1000);
    EXPECT_EQ(encodeLeaseRequest(target, leaseRequest),
              R"({"fencing_token":7,"ack_cursor":57,"deadline_ms":486000,"wait_ms":1000})");
}

} // namespace mango::platform
