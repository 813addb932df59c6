#pragma once

#include <cstdint>
#include <string>

namespace mango {

// Whether a run may have caused the crash of its worker.
enum class crash_blame : std::uint8_t {
    // It had been on the worker for so long that earlier suspicions are dropped as well.
    cleared,
    // It had survived its start, as far as the worker reported.
    bystander,
    // It had begun shortly before, and so had others, or the crash may have had another cause.
    shared,
    // It was on trial, and nothing else can have caused the crash.
    sole
};

// Returns the name of the blame in log lines and metric labels.
std::string toText(crash_blame blame);

// What the crashes of workers have shown about a task. It is part of the replicated state.
struct crash_record
{
    // Workers that crashed while they had a run of the task.
    std::uint32_t crashes = 0;
    // Those that crashed shortly after the run had begun.
    std::uint32_t startCrashes = 0;
    // Those in which the run alone was to blame.
    std::uint32_t soleCrashes = 0;

    bool operator==(const crash_record &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(crashes, startCrashes, soleCrashes);
    }
};

// Adds a crash to the record.
void recordCrash(crash_record &record, crash_blame blame);

// Returns true when the next run of the task should be a trial, apart from other runs that may
// crash a worker.
bool isSuspect(const crash_record &record);

// Returns true when no further run of the task may be started. Guards a service against tasks that
// crash the workers that start them. Takes two crashes when the last one can be put down to the
// task; tasks that merely shared the workers of others are given up only after more crashes than
// other causes plausibly bring, and before the platform's limit of three crashes and two more runs.
bool isProvenCulprit(const crash_record &record);

} // namespace mango
