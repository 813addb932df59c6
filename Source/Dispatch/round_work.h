#pragma once

#include <array>
#include <cstddef>
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

// Why a round placed no more steps: there are none, it has taken too long, it has decided as many
// starts as it may, or only less urgent steps are left.
enum class round_end : std::uint8_t { done, budget, starts, urgent };
inline constexpr std::size_t roundEndCount = 4;

// What a round has done before it comes to its next step.
struct round_progress
{
    steady_span elapsed{0};
    std::size_t starts = 0;
    // Why the round before it ended.
    round_end lastEnd = round_end::done;
};

// Returns why the round ends before its next step, which comes in the order of urgency; `done` when
// it does not. Starts are committed once their round is over. After a round that was too short for
// all steps, the next one therefore ends as soon as it has decided the starts of the highest
// priority; the one after that goes on with the others, so that these wait for one short round.
round_end endBefore(std::uint32_t nextPriority, const round_progress &progress);

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
