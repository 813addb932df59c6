#include <gtest/gtest.h>

#include "Scheduling/run_placement.h"
#include "Unit/fleet_group.h"
#include "control_codec.h"
#include "job_codec.h"
#include "worker_codec.h"

namespace mango::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Values of other types, and numbers outside of the range of the field.
const std::vector<std::string> oddValues{"null",
                                         "true",
                                         "{}",
                                         "[]",
                                         "-1",
                                         "0.5",
                                         "1e400",
                                         "-1e400",
                                         "1e30",
                                         "18446744073709551616",
                                         "99999999999999999999999",
                                         R"([[[[1]]]])",
                                         R"({"a":{"b":{}}})"};

std::string nested(std::size_t depth, const std::string &open, const std::string &close)
{
    std::string text;
    for (std::size_t level = 0; level < depth; ++level) {
        text += open;
    }
    text += "1";
    for (std::size_t level = 0; level < depth; ++level) {
        text += close;
    }
    return text;
}

const std::map<std::string, std::string> heartbeatFields{
        {"service", R"("s")"},
        {"address", R"("10.1.2.3:80")"},
        {"zone", R"("z")"},
        {"version", R"("v1")"},
        {"slots", "8"},
        {"state", R"("ready")"},
        {"cold_left_ms", "0"},
        {"capacity", R"({"cpu":16000,"mem_mb":32768,"gpu":1})"},
        {"labels", R"(["a","r1-3"])"},
        {"clock_ms", "5"},
        {"sequence", "4"},
        {"born", "123"}};

// A heartbeat of which one field has another value.
std::string heartbeatWith(const std::string &field, const std::string &value)
{
    auto fields = heartbeatFields;
    fields[field] = value;
    std::string text;
    for (const auto &[name, content] : fields) {
        text.append(text.empty() ? "{\"" : ",\"").append(name).append("\":").append(content);
    }
    return text + "}";
}

bool namesAWorker(const std::string &body)
{
    return std::holds_alternative<worker_heartbeat>(decodeHeartbeat("i-1", body));
}

} // namespace

// A heartbeat of another writer, with a field of another type or out of range, named a worker.
TEST(odd_entries, nameNoWorkerByAHeartbeat)
{
    ASSERT_TRUE(namesAWorker(heartbeatWith("version", R"("v2")")));
    for (const auto &[field, usual] : heartbeatFields) {
        for (const std::string &value : oddValues) {
            if (field == "labels" && value == "[]") {
                continue;
            }
            EXPECT_FALSE(namesAWorker(heartbeatWith(field, value))) << field << " " << value;
        }
    }
    for (const char *state : {"", "READY", "stopped"}) {
        EXPECT_FALSE(namesAWorker(heartbeatWith("state", '"' + std::string(state) + '"')));
    }
    for (const char *label : {"1", "null", "[[]]"}) {
        EXPECT_FALSE(namesAWorker(heartbeatWith("labels", "[" + std::string(label) + "]")));
    }
    for (const char *amount : {"-1", "4294967296", "1e400", "null", "\"1\""}) {
        for (const char *resource : {"cpu", "mem_mb", "gpu"}) {
            const std::string capacity = R"({"cpu":1,"mem_mb":1,"gpu":1,")" + std::string(resource)
                                         + "\":" + amount + "}";
            EXPECT_FALSE(namesAWorker(heartbeatWith("capacity", capacity))) << capacity;
        }
    }
}

TEST(odd_entries, nameNoWorkerWithoutAField)
{
    for (const char *field : {"service", "address", "zone", "version", "slots", "state",
                              "cold_left_ms", "sequence", "born", "capacity"}) {
        std::string body = heartbeatWith(field, "1");
        body.replace(body.find("\"" + std::string(field) + "\""), std::string(field).size() + 2,
                     "\"other\"");
        EXPECT_FALSE(namesAWorker(body)) << field;
    }
}

TEST(odd_entries, nameNoWorkerAtAnAddressThatIsNone)
{
    for (const char *address :
         {"10.1.2.3:0", "10.1.2.3:65536", "10.1.2.3:4294967376", "10.1.2.3:-80", "10.1.2.3:80x",
          "10.1.2.3:", "10.1.2.3", ":80", "10.1.2.300:80", "worker:80",
          "10.1.2.3:99999999999999999999999", ""}) {
        EXPECT_FALSE(namesAWorker(heartbeatWith("address", '"' + std::string(address) + '"')))
                << address;
    }
}

// The depth of a body must not become the depth of the stack of the process that reads it.
TEST(odd_entries, areReadWhateverTheirDepth)
{
    for (const std::size_t depth : {100U, 10'000U, 1'000'000U}) {
        for (const auto &[open, close] : {std::pair<std::string, std::string>{"[", "]"},
                                          {R"({"a":)", "}"},
                                          {R"([{"a":)", "}]"}}) {
            const std::string value = nested(depth, open, close);
            EXPECT_FALSE(namesAWorker(value));
            for (const char *field : {"labels", "capacity", "born", "unknown"}) {
                EXPECT_FALSE(namesAWorker(heartbeatWith(field, value))) << field << " " << depth;
            }
            EXPECT_FALSE(decodeWorkerReport(R"({"clock_ms":5,"born":7,"running":)" + value
                                            + R"(,"ended_runs":[]})"));
            EXPECT_FALSE(std::holds_alternative<job_graph>(decodeJob(value)));
            EXPECT_FALSE(std::holds_alternative<fleet_configuration>(decodeConfiguration(value)));
            EXPECT_EQ(decodeWorkerResponse(409, value).result, worker_call_result::unanswered);
        }
    }
}

// An odd row in the report of a worker leaves its other rows valid.
TEST(odd_entries, leaveTheOtherRowsOfAReportValid)
{
    const std::string run = R"(["5c0e7a21d94b36f8.0.1.17",2,"",41])";
    const std::string end = R"([58,"5c0e7a21d94b36f8.0.1.9",1,"done",""])";
    for (const std::string &value : oddValues) {
        std::string body = R"({"clock_ms":5,"born":7,"running":[)";
        body.append(value).append(R"(,["5c0e7a21d94b36f8.0.1.18",)").append(value);
        body.append(R"(,"",41],)").append(run).append(R"(],"ended_runs":[)").append(value);
        body.append(",[").append(value).append(R"(,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)");
        body.append(end).append("]}");
        const auto report = decodeWorkerReport(body);
        ASSERT_TRUE(report) << value;
        ASSERT_EQ(report->running.size(), 1U) << value;
        EXPECT_EQ(report->running[0].progressPercent, 41U);
        ASSERT_EQ(report->ended.size(), 1U) << value;
        EXPECT_EQ(report->ended[0].number, 58U);
        EXPECT_EQ(report->malformedRows, 4U) << value;
    }
}

// The end of a lease is computed from the worker's clock: beyond the range of a time, the lease
// would seem to have expired, and the runs would be started elsewhere while they run.
TEST(odd_entries, areNoClocks)
{
    for (const std::string &value : oddValues) {
        EXPECT_FALSE(decodeWorkerReport(R"({"clock_ms":)" + value
                                        + R"(,"born":7,"running":[],"ended_runs":[]})"))
                << value;
        EXPECT_FALSE(decodeWorkerResponse(200, R"({"clock_ms":)" + value + "}").clock) << value;
    }
    const std::string greatest = std::to_string(std::numeric_limits<std::int64_t>::max());
    EXPECT_FALSE(decodeWorkerResponse(200, R"({"clock_ms":)" + greatest + "}").clock);
    EXPECT_FALSE(namesAWorker(heartbeatWith("born", greatest)));
}

// Sums of amounts near the greatest ones must not wrap around to small ones.
TEST(odd_entries, fitNowhereWhenTheyAskForMoreThanThereIs)
{
    worker_record record;
    record.capacity = {32'000, 32'768, 2};
    job_step step;
    step.resources = {1000, std::numeric_limits<std::uint32_t>::max(), 0};
    worker_offer offer;
    offer.record = &record;
    offer.used = {1000, 100, 1};
    const std::string service;
    const std::map<worker_incarnation, std::uint32_t> runsPerWorker;
    const std::map<std::string, std::uint32_t> runsPerDomain;
    const interference_model interference;
    placement_request request;
    request.step = &step;
    request.service = &service;
    request.runsPerWorker = &runsPerWorker;
    request.runsPerDomain = &runsPerDomain;
    request.interference = &interference;
    EXPECT_LT(chooseOffer({offer}, request).index, 0);
    step.resources = {1000, 10, std::numeric_limits<std::uint32_t>::max()};
    EXPECT_LT(chooseOffer({offer}, request).index, 0);
    step.resources = {1000, 10, 1};
    EXPECT_EQ(chooseOffer({offer}, request).index, 0);
}

// Workers with the greatest amounts that can be announced serve beside others.
TEST(odd_entries, keepNoOtherWorkersFromServing)
{
    using test::fleet_group;
    fleet_group group(3);
    group.configure();
    for (const char *id : {"w1", "w2", "odd"}) {
        group.workers.add(id);
    }
    constexpr std::uint32_t most = std::numeric_limits<std::uint32_t>::max();
    worker_record &odd = group.workers.at("odd").record;
    odd.capacity = {most, most, most};
    odd.labels.assign(1000, std::string(100, 'x'));
    for (const char *id : {"w1", "odd", "w2"}) {
        group.announce(id);
    }
    group.run(milliseconds(500));
    group.submit(1, fleet_group::oneStep(8, 16'000));
    group.run(seconds(4));
    EXPECT_EQ(group.phase(1), job_phase::completed);
    group.crash(static_cast<std::size_t>(group.leader()));
    group.run(seconds(5));
    group.submit(2, fleet_group::oneStep(8, 16'000));
    group.run(seconds(4));
    EXPECT_EQ(group.phase(2), job_phase::completed);
}

} // namespace mango::platform
