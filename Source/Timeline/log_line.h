#pragma once

#include <optional>

#include "Timeline/timeline_view.h"

namespace mango {

// Parses one line of a process's log, "TIME LEVEL [PART] event=NAME key=value ...", as an event of
// the named process. If a log collector has prefixed the line with its own time in seconds and the
// name of a process, these take precedence, and second 0 is shown as 01:00:00. Returns nothing for
// other lines.
std::optional<timeline_event> parseLogLine(const std::string &line, const std::string &process);

} // namespace mango
