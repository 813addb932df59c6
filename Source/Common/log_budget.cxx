#include "Common/log_budget.h"

#include <algorithm>

namespace mango {

namespace {

// Lines a second of all stories; 200 lines cost about half a percent of a core.
constexpr std::uint32_t storyLines = 200;
// A burst within one second may pass that by so many times before stories are cut short.
constexpr std::uint32_t burstFactor = 2;
// Lines a second of one event without a story.
constexpr std::uint32_t otherLines = 40;

// FNV-1a with MurmurHash3's finalizer; the same in all processes, so that they choose the same
// stories.
std::uint32_t hashOf(const std::string &story)
{
    std::uint32_t hash = 2166136261U;
    for (const char one : story) {
        hash = (hash ^ static_cast<unsigned char>(one)) * 16777619U;
    }
    hash = (hash ^ (hash >> 16U)) * 0x85ebca6bU;
    hash = (hash ^ (hash >> 13U)) * 0xc2b2ae35U;
    return (hash ^ (hash >> 16U)) % allStories;
}

void startSecond(log_budget &budget, steady_time now)
{
    const bool first = budget.since == steady_time{};
    const std::uint32_t fitting = budget.offered <= storyLines
                                          ? allStories
                                          : std::max(1U, allStories * storyLines / budget.offered);
    // Grows slowly, so that a pause in a burst does not bring all stories back.
    budget.share = first ? allStories : std::min(fitting, budget.share * 2);
    budget.since = now;
    budget.offered = 0;
    budget.written = 0;
    budget.others.clear();
}

} // namespace

bool takeLine(log_budget &budget, const std::string &event, const std::string &story,
              steady_time now)
{
    if (budget.since == steady_time{} || now - budget.since >= std::chrono::seconds(1)) {
        startSecond(budget, now);
    }
    if (story.empty()) {
        return ++budget.others[event] <= otherLines;
    }
    ++budget.offered;
    if (hashOf(story) >= budget.share || budget.written >= storyLines * burstFactor) {
        return false;
    }
    ++budget.written;
    return true;
}

} // namespace mango
