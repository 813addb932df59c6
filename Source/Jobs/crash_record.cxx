#include "Jobs/crash_record.h"

#include <algorithm>
#include <cmath>

namespace mango {

namespace {

// Of all tasks, before any evidence.
constexpr double priorProbability = 1e-3;
constexpr std::uint32_t provenSuspicion = 1020;
// By how much a harmless run lowers the suspicion.
constexpr std::uint32_t harmlessWeight = 230;
// The crash of a worker this long after the start of a run is not counted for its task: a worker
// that runs for longer between crashes is as good as others.
constexpr auto harmlessAfter = std::chrono::minutes(5);
// A run is clearly longer than another one that it exceeds by this factor and time.
constexpr int clearlyLongerFactor = 2;
constexpr auto clearlyLongerTime = std::chrono::seconds(1);
// A job must not fail before two workers have crashed under its task. One that was silent before it
// crashed may have ended the run first, so one crash more has to be known.
constexpr std::uint32_t minimumCrashes = 3;
// The platform allows two more starts after the third crash.
constexpr std::uint32_t maximumCrashes = 5;
// This many requests without an answer count as one crash, unless nothing else is known.
constexpr std::uint32_t unansweredPerCrash = 2;
// A task that has survived its starts is tried alone after this number of crashes.
constexpr std::uint32_t suspectAfterCrashes = 2;
constexpr std::uint32_t strongSuspectStartCrashes = 2;
constexpr std::uint32_t strongSuspectCrashes = 3;

// All crashes came so soon after a start that a trial tells whether the task is their cause.
bool crashesAtStart(const crash_record &record)
{
    return record.longestRun.value_or(std::chrono::milliseconds(0)) < startSurvivedAfter;
}

void makeUpForCrash(crash_record &record)
{
    record.suspicion -= std::min(record.suspicion, harmlessWeight);
    if (record.crashes > 0) {
        --record.crashes;
    } else if (record.possibleCrashes > 0) {
        --record.possibleCrashes;
    } else {
        record.unansweredCrashes -= std::min(record.unansweredCrashes, unansweredPerCrash);
    }
}

} // namespace

std::string toText(const crash_evidence &evidence)
{
    // A weight from which on one cause among several is meant.
    constexpr std::uint32_t strongWeight = 300;
    if (evidence.explained) {
        return "unrelated";
    }
    switch (evidence.confirmation) {
    case run_confirmation::unanswered:
        return "unanswered";
    case run_confirmation::unknown:
        return "possible";
    case run_confirmation::confirmed:
        break;
    }
    if (evidence.weight == 0) {
        return "bystander";
    }
    return evidence.weight < strongWeight ? "shared" : "likely";
}

void recordCrash(crash_record &record, const crash_evidence &evidence)
{
    if (evidence.explained) {
        return;
    }
    switch (evidence.confirmation) {
    case run_confirmation::unanswered:
        ++record.unansweredCrashes;
        break;
    case run_confirmation::unknown:
        ++record.possibleCrashes;
        break;
    case run_confirmation::confirmed:
        if (evidence.lastedFor >= harmlessAfter) {
            makeUpForCrash(record);
        } else {
            ++record.crashes;
        }
        record.longestRun = std::max(record.longestRun.value_or(std::chrono::milliseconds(0)),
                                     evidence.lastedFor);
        break;
    }
    record.suspicion += evidence.weight;
}

void recordHarmlessRun(crash_record &record, std::chrono::milliseconds lastedFor)
{
    const auto longest = record.longestRun.value_or(std::chrono::milliseconds(0));
    if (lastedFor >= harmlessAfter
        || lastedFor > longest * clearlyLongerFactor + clearlyLongerTime) {
        makeUpForCrash(record);
    }
}

double probabilityOf(const crash_record &record)
{
    constexpr double perUnit = 100;
    const double odds =
            priorProbability / (1 - priorProbability) * std::exp(record.suspicion / perUnit);
    return odds / (1 + odds);
}

bool hasCrashes(const crash_record &record)
{
    return record.crashes + record.possibleCrashes + record.unansweredCrashes > 0;
}

bool isSuspect(const crash_record &record)
{
    return (hasCrashes(record) && crashesAtStart(record)) || record.crashes >= suspectAfterCrashes;
}

bool isStrongSuspect(const crash_record &record)
{
    const std::uint32_t crashes = record.crashes + record.possibleCrashes;
    return (crashes >= strongSuspectStartCrashes && crashesAtStart(record))
           || crashes >= strongSuspectCrashes;
}

bool isProvenCulprit(const crash_record &record)
{
    const std::uint32_t crashes = record.crashes + record.possibleCrashes;
    return (record.suspicion >= provenSuspicion && crashes >= minimumCrashes)
           || crashes + record.unansweredCrashes / unansweredPerCrash >= maximumCrashes
           || (record.crashes == 0
               && record.possibleCrashes + record.unansweredCrashes >= maximumCrashes);
}

} // namespace mango
