#pragma once

#include <cstdint>
#include <string>

namespace mango {

// Whether a run may have caused the crash of its worker.
enum class crash_blame : std::uint8_t {
    // It had been on the worker for so long that earlier suspicions are dropped as well.
    cleared,
    // Another run, which was on trial, is to blame.
    unrelated,
    // It had survived its start, as far as the worker reported.
    bystander,
    // Its start request was not answered, so that the worker had probably crashed before.
    unanswered,
    // An earlier leader had it started, so that the worker had probably begun it.
    possible,
    // It had begun shortly before, and so had others.
    shared,
    // The same, and it had begun immediately before.
    immediate,
    // It was on trial, so that no other run is to blame, but the crash may have had another cause.
    likely,
    // The same, but it had begun immediately before, so that another cause would be a coincidence.
    sole
};

// Returns the name of the blame in log lines and metric labels.
std::string toText(crash_blame blame);

// What the crashes of workers have shown about a task. It is part of the replicated state.
struct crash_record
{
    // Workers that crashed while they had a run of the task.
    std::uint32_t crashes = 0;
    // Those of them that crashed shortly after the run had begun.
    std::uint32_t startCrashes = 0;
    // Those of them that crashed immediately after it.
    std::uint32_t immediateCrashes = 0;
    // Those of the start crashes that had the run on trial.
    std::uint32_t trialCrashes = 0;
    // Those of the trials in which the run alone was to blame.
    std::uint32_t soleCrashes = 0;
    // Workers that crashed, of which is not known whether they had begun a run of the task that an
    // earlier leader, or this one, had requested.
    std::uint32_t possibleCrashes = 0;
    std::uint32_t unansweredCrashes = 0;

    bool operator==(const crash_record &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(crashes, startCrashes, immediateCrashes, trialCrashes, soleCrashes, possibleCrashes,
                unansweredCrashes);
    }
};

// Adds a crash to the record.
void recordCrash(crash_record &record, crash_blame blame);

// Returns true when the next run of the task should be a trial, apart from other runs that may
// crash a worker.
bool isSuspect(const crash_record &record);

// Returns true when one more crash beside other runs could end the job of a sound task, so that the
// next run has to be a trial.
bool isStrongSuspect(const crash_record &record);

// Returns true when no further run of the task may be started. Guards a service against tasks that
// crash the workers that start them. Two crashes immediately after the start suffice when one of
// them happened on trial and has no other explanation, three when two of them happened on trial.
// Tasks that merely shared the workers of others are given up only after more crashes than other
// causes plausibly bring, and before the platform's limit of three crashes and two more runs.
bool isProvenCulprit(const crash_record &record);

} // namespace mango
