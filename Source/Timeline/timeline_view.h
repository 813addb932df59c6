#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Common/settings.h"

namespace mango {

// One event of one process, from its timeline file or its log. Empty fields do not apply.
struct timeline_event
{
    // In microseconds since 1970.
    std::uint64_t at = 0;
    std::string process;
    std::string event;
    std::string task;
    std::string request;
    std::string host;
    std::string detail;
};

// Selects events that match all non-empty fields.
struct timeline_filter
{
    std::string task;
    std::string request;
    // A host or the name of a process.
    std::string host;
};

// Reads the events of one timeline or log file. Lines that are malformed or truncated are left out
// and added to `skipped`.
result<std::vector<timeline_event>, settings_failure> readTimeline(const std::string &path,
                                                                   std::size_t &skipped);

// Returns the events that match the filter, sorted by time. The times in timeline files are those
// of a hybrid logical clock, so that causes precede their effects.
std::vector<timeline_event> filterAndSortEvents(std::vector<timeline_event> events,
                                                const timeline_filter &filter);

// Formats the events as text, one line per event.
std::string formatTimeline(const std::vector<timeline_event> &events);

// Renders the events as an SVG document with one row per process.
std::string renderTimelineSvg(const std::vector<timeline_event> &events);

} // namespace mango
