#include <fcntl.h>
#include <unistd.h>

#include <set>
#include <thread>

#include <gtest/gtest.h>

#include "Common/metrics_registry.h"
#include "Common/event_log.h"
#include "Common/log.h"
#include "Common/log_budget.h"
#include "Gateway/call_timeouts.h"
#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const steady_time start{std::chrono::hours(1)};

// Parses a line of key=value pairs.
std::map<std::string, std::string> fieldsOf(const std::string &line)
{
    std::map<std::string, std::string> fields;
    std::istringstream words(line);
    for (std::string word; words >> word;) {
        const auto equals = word.find('=');
        if (equals != std::string::npos) {
            fields[word.substr(0, equals)] = word.substr(equals + 1);
        }
    }
    return fields;
}

} // namespace

// Guards against partial logs of requests under load. With 10,000 lines per second, 20 for each
// correlation id, no second exceeds twice the limit, and after two seconds the lines of an id are
// either all written or all suppressed.
TEST(log_budget, keepsOrDropsAllLinesOfACorrelationId)
{
    log_budget budget;
    std::map<std::string, int> writtenLines;
    std::uint32_t maximumWritten = 0;
    for (int second = 0; second < 20; ++second) {
        std::uint32_t written = 0;
        for (int line = 0; line < 10'000; ++line) {
            const std::string correlationId = std::to_string(second * 500 + line % 500);
            const steady_time now = start + seconds(second) + milliseconds(line / 10);
            const bool writes = admitLine(budget, "run-started", correlationId, now);
            written += writes ? 1 : 0;
            if (second >= 2) {
                writtenLines[correlationId] += writes ? 1 : 0;
            }
        }
        maximumWritten = std::max(maximumWritten, written);
    }
    EXPECT_LE(maximumWritten, 400U);
    int complete = 0;
    for (const auto &[correlationId, lines] : writtenLines) {
        EXPECT_TRUE(lines == 0 || lines == 20)
                << correlationId << " has " << lines << " of 20 lines";
        complete += lines == 20 ? 1 : 0;
    }
    EXPECT_GT(complete, 50);
}

TEST(log_budget, writesAllLinesUnderLowLoad)
{
    log_budget budget;
    for (int line = 0; line < 1000; ++line) {
        EXPECT_TRUE(admitLine(budget, "run-started", std::to_string(line),
                              start + milliseconds(10) * line));
    }
}

TEST(log_budget, limitsEachEventWithoutCorrelationId)
{
    log_budget budget;
    int written = 0;
    for (int line = 0; line < 1000; ++line) {
        written += admitLine(budget, "leader-lost", "", start) ? 1 : 0;
    }
    EXPECT_LE(written, 40);
    EXPECT_TRUE(admitLine(budget, "leadership-begins", "", start))
            << "each event has its own limit";
}

// Guards against callers that block when nothing reads standard output: 100,000 lines must be
// accepted, of which only as many as the buffer and the pipe hold are written.
TEST(log, doesNotBlockOnUnreadOutput)
{
    int pipeEnds[2] = {};
    ASSERT_EQ(pipe(pipeEnds), 0);
    fflush(stdout);
    const int output = dup(STDOUT_FILENO);
    dup2(pipeEnds[1], STDOUT_FILENO);
    ASSERT_TRUE(startLogging("info"));
    for (int line = 0; line < 100'000; ++line) {
        logInfo("flood", "line " + std::to_string(line));
    }
    std::size_t lines = 0;
    std::thread reader([&] {
        char buffer[4096];
        for (ssize_t size = 0; (size = read(pipeEnds[0], buffer, sizeof buffer)) > 0;) {
            lines += static_cast<std::size_t>(std::count(buffer, buffer + size, '\n'));
        }
    });
    finishLogging();
    fflush(stdout);
    dup2(output, STDOUT_FILENO);
    close(output);
    close(pipeEnds[1]);
    reader.join();
    close(pipeEnds[0]);
    startLogging("error");
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getOff());
    EXPECT_GT(lines, 0U);
    // The pipe holds 64 KiB of lines of at least 40 bytes and the buffer 800 lines; another batch
    // of the buffer may be in progress.
    EXPECT_LT(lines, 64 * 1024 / 40 + 3 * 800);
}

// Log lines about decisions must include the id of their subject and the inputs of the decision.
TEST(log, decisionsIncludeTheirIdAndInputs)
{
    std::vector<std::string> lines;
    captureEvents([&](const std::string &line) {
        lines.push_back(line);
    });
    {
        fleet_group group(3);
        group.workers.add("w1");
        group.configure();
        group.announce("w1");
        group.submit(7, fleet_group::oneStep(2));
        group.run(seconds(2));
    }
    captureEvents({});
    const std::map<std::string, std::vector<std::string>> requiredKeys = {
            {"job-submitted", {"job", "queue", "steps", "outcome"}},
            {"run-started",
             {"run", "worker", "why", "candidates", "free_milli_cores", "seen_ms_ago"}},
            {"job-over", {"job", "queue", "phase", "age_ms"}},
            {"worker-announced", {"worker", "born", "state"}},
            {"configuration", {"version", "outcome"}},
            {"leadership-begins", {"term", "configuration"}}};
    std::set<std::string> seen;
    for (const std::string &line : lines) {
        const auto fields = fieldsOf(line);
        const auto found = requiredKeys.find(fields.at("event"));
        if (found == requiredKeys.end()) {
            continue;
        }
        seen.insert(found->first);
        for (const std::string &key : found->second) {
            EXPECT_TRUE(fields.contains(key)) << key << " is missing in " << line;
        }
    }
    EXPECT_EQ(seen.size(), requiredKeys.size());
}

TEST(latency_histogram, exportsCumulativeBucketsWithLabels)
{
    metrics_registry metricsRegistry;
    latency_histogram &histogram = metricsRegistry.histogram("mango_call_seconds{status=\"200\"}");
    histogram.observe(milliseconds(1));
    histogram.observe(milliseconds(30));
    histogram.observe(seconds(500));
    const std::string text = metricsRegistry.text();
    EXPECT_NE(text.find("mango_call_seconds_count{status=\"200\"} 3\n"), std::string::npos) << text;
    EXPECT_NE(text.find("mango_call_seconds_bucket{status=\"200\",le=\"+Inf\"} 3\n"),
              std::string::npos);
    EXPECT_NE(text.find("le=\"0.0001\"} 0\n"), std::string::npos);
    EXPECT_NE(text.find("le=\"0.1024\"} 2\n"), std::string::npos);
}

TEST(call_timeouts, leavesTheCallerTimeForTheResponse)
{
    EXPECT_LT(callTimeoutsFor(milliseconds(3000)).totalTimeout, milliseconds(3000));
    EXPECT_LE(callTimeoutsFor(milliseconds(100)).totalTimeout, milliseconds(50));
    EXPECT_LE(callTimeoutsFor(milliseconds(400)).leaderTimeout,
              callTimeoutsFor(milliseconds(400)).totalTimeout);
    EXPECT_GT(callTimeoutsFor(std::nullopt).totalTimeout, seconds(1));
    EXPECT_EQ(callTimeoutsFor(milliseconds(0)).totalTimeout, milliseconds(0));
}

} // namespace mango::test
