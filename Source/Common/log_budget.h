#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Common/clock_source.h"

namespace mango {

// How many lines a second may be written. Lines that belong to one request, job or task tell its
// story, which is only of use as a whole: under load some stories are written in full, and others
// not at all.
struct log_budget
{
    steady_time since{};
    // Lines of stories in this second, written or not.
    std::uint32_t offered = 0;
    std::uint32_t written = 0;
    // Stories whose hash is below are written.
    std::uint32_t share = 0;
    // Lines in this second of events that belong to no story.
    std::map<std::string, std::uint32_t> others;
};

// Of that many parts the share of stories is counted.
inline constexpr std::uint32_t allStories = 1024;

// True when a line of the event may be written now; an empty story stands for none.
bool takeLine(log_budget &budget, const std::string &event, const std::string &story,
              steady_time now);

} // namespace mango
