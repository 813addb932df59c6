#pragma once

#include <optional>

#include "Timeline/timeline_view.h"

namespace mango {

// Reads one line of a process's log, "TIME LEVEL [PART] event=NAME key=value ...", as an event of
// the named process. Where a collector has put its own time in seconds and the process's name
// before it, these count instead, with 01:00:00 for its second 0. Nothing for other lines.
std::optional<timeline_event> parseLogLine(const std::string &line, const std::string &process);

} // namespace mango
