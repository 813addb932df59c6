#include "Jobs/crash_record.h"

namespace mango {

namespace {

constexpr std::uint32_t provenByTrial = 2;
constexpr std::uint32_t maximumStartCrashes = 4;
constexpr std::uint32_t maximumCrashes = 5;
// A task that has survived its starts is tried alone after this number of crashes.
constexpr std::uint32_t suspectAfterCrashes = 2;

} // namespace

std::string toText(crash_blame blame)
{
    static constexpr const char *names[] = {"cleared", "bystander", "shared", "sole"};
    return names[static_cast<int>(blame)];
}

void recordCrash(crash_record &record, crash_blame blame)
{
    if (blame == crash_blame::cleared) {
        record = {};
        return;
    }
    ++record.crashes;
    record.startCrashes += blame == crash_blame::bystander ? 0 : 1;
    record.soleCrashes += blame == crash_blame::sole ? 1 : 0;
}

bool isSuspect(const crash_record &record)
{
    return record.startCrashes > 0 || record.crashes >= suspectAfterCrashes;
}

bool isProvenCulprit(const crash_record &record)
{
    const bool proven = record.soleCrashes > 0 && record.startCrashes >= provenByTrial;
    return proven || record.startCrashes >= maximumStartCrashes || record.crashes >= maximumCrashes;
}

} // namespace mango
