#pragma once

#include <array>
#include <cstdint>

#include "Common/clock_source.h"

namespace mango {

// The parts of a scheduling round that its time is divided among.
enum class round_part : std::uint8_t {
    // Silent and exited workers, and the proposal of pending ends.
    workers,
    offers,
    collect,
    place,
    // The choice of workers on which room is held.
    hold,
    stragglers,
    // Not within a round.
    outside
};
inline constexpr std::size_t roundPartCount = 7;

// Why a round placed no more steps.
enum class round_end : std::uint8_t { done, budget, starts };
inline constexpr std::size_t roundEndCount = 3;

// What scheduling rounds have done, by time and by count.
struct round_work
{
    std::array<steady_span, roundPartCount> spent{};
    std::array<std::uint32_t, roundEndCount> ends{};
    // Offers made anew from the state of their workers.
    std::uint64_t offersUpdated = 0;
    // Jobs whose steps were looked at, and steps found to be ready.
    std::uint64_t jobsSeen = 0;
    std::uint64_t stepsReady = 0;
    // Ready steps that a round came to before it ended.
    std::uint64_t stepsTried = 0;
    std::uint64_t tasksPlaced = 0;
    // Looks at all offers, by what they were for, and single offers scored.
    std::uint64_t rankings = 0;
    std::uint64_t scansForTask = 0;
    std::uint64_t scansForTrial = 0;
    std::uint64_t scansToHold = 0;
    std::uint64_t offersScored = 0;
    // Workers whose expected releases were listed.
    std::uint64_t releasesListed = 0;
    // Runs that the checks for stragglers went through, and those that they looked at closely.
    std::uint64_t runsChecked = 0;
    std::uint64_t suspects = 0;
    // Reports of steps that wait, each of which looks at all offers.
    std::uint64_t waitReports = 0;
    // The most ready steps that one round left for the next one.
    std::uint64_t mostStepsLeft = 0;

    round_part part = round_part::outside;
    steady_time partSince{};
};

// Ends the present part and begins another one; returns the part that has ended.
round_part enterPart(round_work &work, round_part part, steady_time now);

} // namespace mango
