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

// The keys and values of a line of key=value pairs.
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

// 10,000 lines a second of stories of 20 lines each: no second has more than twice the budget, and
// once the share has settled, a story is told in full or not at all.
TEST(log_budget, keepsWholeStoriesUnderAFlood)
{
    log_budget budget;
    std::map<std::string, int> told;
    std::uint32_t most = 0;
    for (int second = 0; second < 20; ++second) {
        std::uint32_t written = 0;
        for (int line = 0; line < 10'000; ++line) {
            const std::string story = std::to_string(second * 500 + line % 500);
            const steady_time now = start + seconds(second) + milliseconds(line / 10);
            const bool writes = takeLine(budget, "run-started", story, now);
            written += writes ? 1 : 0;
            if (second >= 2) {
                told[story] += writes ? 1 : 0;
            }
        }
        most = std::max(most, written);
    }
    EXPECT_LE(most, 400U);
    int whole = 0;
    for (const auto &[story, lines] : told) {
        EXPECT_TRUE(lines == 0 || lines == 20) << story << " has " << lines << " of 20 lines";
        whole += lines == 20 ? 1 : 0;
    }
    EXPECT_GT(whole, 50);
}

TEST(log_budget, writesEverythingOnACalmDay)
{
    log_budget budget;
    for (int line = 0; line < 1000; ++line) {
        EXPECT_TRUE(takeLine(budget, "run-started", std::to_string(line),
                             start + milliseconds(10) * line));
    }
}

TEST(log_budget, boundsEventsThatBelongToNoStory)
{
    log_budget budget;
    int written = 0;
    for (int line = 0; line < 1000; ++line) {
        written += takeLine(budget, "leader-lost", "", start) ? 1 : 0;
    }
    EXPECT_LE(written, 40);
    EXPECT_TRUE(takeLine(budget, "leadership-begins", "", start)) << "each event has its own";
}

// With nobody reading the standard output, 100,000 lines are taken at once, and no more than the
// buffer and the pipe hold come out of it later.
TEST(log, neverWaitsForItsOutput)
{
    int ends[2] = {};
    ASSERT_EQ(pipe(ends), 0);
    fflush(stdout);
    const int output = dup(STDOUT_FILENO);
    dup2(ends[1], STDOUT_FILENO);
    ASSERT_TRUE(startLogging("info"));
    for (int line = 0; line < 100'000; ++line) {
        logInfo("flood", "line " + std::to_string(line));
    }
    std::size_t lines = 0;
    std::thread reader([&] {
        char buffer[4096];
        for (ssize_t size = 0; (size = read(ends[0], buffer, sizeof buffer)) > 0;) {
            lines += static_cast<std::size_t>(std::count(buffer, buffer + size, '\n'));
        }
    });
    finishLogging();
    fflush(stdout);
    dup2(output, STDOUT_FILENO);
    close(output);
    close(ends[1]);
    reader.join();
    close(ends[0]);
    startLogging("error");
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getOff());
    EXPECT_GT(lines, 0U);
    // The pipe holds 64 KiB, the buffer 800 lines, and one batch of it may be under way.
    EXPECT_LT(lines, 64 * 1024 / 40 + 3 * 800);
}

// Each line of a decision tells whose it is and what decided.
TEST(log, decisionsTellTheirIdAndInputs)
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
    const std::map<std::string, std::vector<std::string>> needed = {
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
        const auto found = needed.find(fields.at("event"));
        if (found == needed.end()) {
            continue;
        }
        seen.insert(found->first);
        for (const std::string &key : found->second) {
            EXPECT_TRUE(fields.contains(key)) << key << " is missing in " << line;
        }
    }
    EXPECT_EQ(seen.size(), needed.size());
}

TEST(latency_histogram, showsCumulativeBucketsWithLabels)
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

TEST(call_timeouts, leavesTheCallerTimeForTheAnswer)
{
    EXPECT_LT(callTimeoutsFor(milliseconds(3000)).totalTimeout, milliseconds(3000));
    EXPECT_LE(callTimeoutsFor(milliseconds(100)).totalTimeout, milliseconds(50));
    EXPECT_LE(callTimeoutsFor(milliseconds(400)).leaderTimeout,
              callTimeoutsFor(milliseconds(400)).totalTimeout);
    EXPECT_GT(callTimeoutsFor(std::nullopt).totalTimeout, seconds(1));
    EXPECT_EQ(callTimeoutsFor(milliseconds(0)).totalTimeout, milliseconds(0));
}

} // namespace mango::test
