#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace mango {

// A run has survived its start once its worker has reported it for this long.
inline constexpr auto startSurvivedAfter = std::chrono::milliseconds(500);

enum class run_confirmation : std::uint8_t {
    // The worker has confirmed that it had begun the run.
    confirmed,
    // The start was requested by an earlier leader, which may have been told.
    unknown,
    // The start request got no answer, so that the worker had probably crashed before.
    unanswered
};

// What the crash of a worker tells about a task that had a run there.
struct crash_evidence
{
    run_confirmation confirmation = run_confirmation::unknown;
    // How long the run is known to have lasted.
    std::chrono::milliseconds lastedFor{0};
    // By how much the crash raises the log-odds that the task crashes its workers, in hundredths.
    std::uint32_t weight = 0;
    // Another run on the worker is to blame.
    bool explained = false;

    bool operator==(const crash_evidence &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(confirmation, lastedFor, weight, explained);
    }
};

// Returns the name of what the evidence says, in log lines and metric labels.
std::string toText(const crash_evidence &evidence);

// What the ends of its runs have shown about a task. It is part of the replicated state.
struct crash_record
{
    // Workers that crashed under a run of the task, less what runs that did their workers no harm
    // have made up for.
    std::uint32_t crashes = 0;
    // Workers that crashed, of which is not known whether they had begun a run of the task that an
    // earlier leader, or this one, had requested.
    std::uint32_t possibleCrashes = 0;
    std::uint32_t unansweredCrashes = 0;
    // How far the log-odds that the task crashes its workers exceed those of any task, in
    // hundredths.
    std::uint32_t suspicion = 0;
    // The longest run under which a worker crashed; nothing before the first crash.
    std::optional<std::chrono::milliseconds> longestRun;

    bool operator==(const crash_record &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(crashes, possibleCrashes, unansweredCrashes, suspicion, longestRun);
    }
};

// Adds a crash to the record.
void recordCrash(crash_record &record, const crash_evidence &evidence);

// Takes into account that a run ended after this time on a worker that went on. One that lasted
// clearly longer than those with which workers crashed makes up for one crash.
void recordHarmlessRun(crash_record &record, std::chrono::milliseconds lastedFor);

// Returns the probability that the task crashes the workers that start it.
double probabilityOf(const crash_record &record);

// Returns true when workers have crashed under the task, as far as is known.
bool hasCrashes(const crash_record &record);

// Returns true when the next run of the task should be a trial, apart from other runs that may
// crash a worker.
bool isSuspect(const crash_record &record);

// Returns true when one more crash beside other runs could end the job of a sound task, so that the
// next run has to be a trial.
bool isStrongSuspect(const crash_record &record);

// Returns true when no further run of the task may be started. Guards a service against tasks that
// crash the workers that start them, at whatever time after the start: a task is given up once the
// evidence suffices, which takes three crashes or more, and after five crashes that nothing
// explains, the most that the platform allows. The design note docs/design/crash-evidence.md
// derives the limits.
bool isProvenCulprit(const crash_record &record);

} // namespace mango
