#include "Jobs/crash_record.h"

namespace mango {

namespace {

constexpr std::uint32_t crashesWithSoleBlame = 2;
constexpr std::uint32_t crashesWithTrials = 3;
constexpr std::uint32_t trialsAmongThem = 2;
constexpr std::uint32_t strongSuspectStartCrashes = 2;
constexpr std::uint32_t strongSuspectCrashes = 3;
constexpr std::uint32_t maximumStartCrashes = 4;
constexpr std::uint32_t maximumCrashes = 5;
// This many requests without an answer count as one crash, unless nothing else is known.
constexpr std::uint32_t unansweredPerCrash = 2;
// A task that has survived its starts is tried alone after this number of crashes.
constexpr std::uint32_t suspectAfterCrashes = 2;

} // namespace

std::string toText(crash_blame blame)
{
    static constexpr const char *names[] = {"cleared",    "unrelated", "bystander",
                                            "unanswered", "possible",  "shared",
                                            "immediate",  "likely",    "sole"};
    return names[static_cast<int>(blame)];
}

void recordCrash(crash_record &record, crash_blame blame)
{
    switch (blame) {
    case crash_blame::cleared:
        record = {};
        return;
    case crash_blame::unrelated:
        return;
    case crash_blame::unanswered:
        ++record.unansweredCrashes;
        return;
    case crash_blame::possible:
        ++record.possibleCrashes;
        return;
    case crash_blame::bystander:
        ++record.crashes;
        return;
    case crash_blame::shared:
    case crash_blame::immediate:
    case crash_blame::likely:
    case crash_blame::sole:
        break;
    }
    const bool alone = blame == crash_blame::sole;
    ++record.crashes;
    ++record.startCrashes;
    record.immediateCrashes += alone || blame == crash_blame::immediate ? 1 : 0;
    record.trialCrashes += alone || blame == crash_blame::likely ? 1 : 0;
    record.soleCrashes += alone ? 1 : 0;
}

bool isSuspect(const crash_record &record)
{
    return record.startCrashes + record.possibleCrashes + record.unansweredCrashes > 0
           || record.crashes >= suspectAfterCrashes;
}

bool isStrongSuspect(const crash_record &record)
{
    return record.startCrashes + record.possibleCrashes >= strongSuspectStartCrashes
           || record.crashes + record.possibleCrashes >= strongSuspectCrashes;
}

bool isProvenCulprit(const crash_record &record)
{
    const bool proven =
            (record.soleCrashes > 0 && record.immediateCrashes >= crashesWithSoleBlame)
            || (record.trialCrashes >= trialsAmongThem && record.startCrashes >= crashesWithTrials);
    const std::uint32_t possible = record.possibleCrashes;
    const bool neverTried = record.trialCrashes == 0;
    const bool tooManyStarts =
            record.startCrashes + (neverTried ? 0 : possible) >= maximumStartCrashes;
    return proven || tooManyStarts
           || record.crashes + possible + record.unansweredCrashes / unansweredPerCrash
                      >= maximumCrashes
           || (record.crashes == 0 && possible + record.unansweredCrashes >= maximumCrashes);
}

} // namespace mango
