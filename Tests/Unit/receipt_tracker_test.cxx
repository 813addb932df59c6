#include <gtest/gtest.h>

#include "Common/receipt_tracker.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;

constexpr auto interval = milliseconds(100);

// Reports at the interval from a process whose timers fire `lag` late.
struct reporting_process
{
    receipt_tracker tracker{interval};
    steady_time now{std::chrono::hours(1)};

    void report(std::uint64_t known, milliseconds lag = milliseconds(1))
    {
        const steady_time due = now + interval;
        now = due + lag;
        tracker.report(known, due, now);
    }
};

} // namespace

TEST(receipt_tracker, knowsNothingBeforeItHasEnoughReports)
{
    reporting_process process;
    EXPECT_EQ(process.tracker.knownBeforeReceipt(), 0U);
    process.report(5);
    process.report(6);
    EXPECT_EQ(process.tracker.knownBeforeReceipt(), 0U);
    process.report(7);
    EXPECT_EQ(process.tracker.knownBeforeReceipt(), 5U);
}

// What a process learns when it goes on after a suspension does not count for the messages that
// have waited meanwhile.
TEST(receipt_tracker, doesNotCountWhatIsLearnedAfterASuspension)
{
    reporting_process process;
    for (std::uint64_t known = 1; known <= 5; ++known) {
        process.report(known);
    }
    process.report(50, milliseconds(4000));
    EXPECT_LE(process.tracker.knownBeforeReceipt(), 5U);
    process.report(51);
    process.report(52);
    EXPECT_LE(process.tracker.knownBeforeReceipt(), 5U);
    process.report(53);
    EXPECT_EQ(process.tracker.knownBeforeReceipt(), 51U);
}

// A process that is always late may never have read all that has arrived.
TEST(receipt_tracker, doesNotCountLateReports)
{
    reporting_process process;
    for (std::uint64_t known = 1; known <= 5; ++known) {
        process.report(known);
    }
    for (std::uint64_t known = 6; known <= 60; ++known) {
        process.report(known, interval + milliseconds(1));
    }
    EXPECT_EQ(process.tracker.knownBeforeReceipt(), 3U);
}

// A new leader may have applied less than the former one.
TEST(receipt_tracker, neverKnowsLess)
{
    reporting_process process;
    process.report(9);
    process.report(4);
    process.report(4);
    process.report(4);
    EXPECT_EQ(process.tracker.knownBeforeReceipt(), 9U);
}

} // namespace mango::test
