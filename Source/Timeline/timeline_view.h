#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Common/settings.h"

namespace mango {

// One event of one process, as its time line file holds it.
struct timeline_event
{
    std::uint64_t at = 0;
    std::string process;
    std::string event;
    std::string task;
    std::string request;
    std::string host;
    std::string detail;
};

// Which events to show; an empty field lets all pass.
struct timeline_filter
{
    std::string task;
    std::string request;
    std::string host;
};

// Reads the events of one file, a time line or a log; lines that are neither, or that are cut short
// are left out and counted.
result<std::vector<timeline_event>, settings_failure> readTimeline(const std::string &path,
                                                                   std::size_t &skipped);

// Keeps the events that pass, in the order of their stamps: what caused an event stands before it.
std::vector<timeline_event> filterAndSortEvents(std::vector<timeline_event> events,
                                                const timeline_filter &filter);

// The events as lines of text.
std::string formatTimeline(const std::vector<timeline_event> &events);

// The events as a drawing with one row a process, as an SVG document.
std::string renderTimelineSvg(const std::vector<timeline_event> &events);

} // namespace mango
