#pragma once

#include <functional>
#include <initializer_list>
#include <string>

#include "Common/clock_source.h"

namespace mango {

// A key and its value in a log line.
struct log_field
{
    log_field(const char *name, std::string text)
        : key(name)
        , value(std::move(text))
    {}
    log_field(const char *name, const char *text)
        : key(name)
        , value(text)
    {}
    template<class Number>
    requires std::is_arithmetic_v<Number> log_field(const char *name, Number number)
        : key(name)
        , value(std::to_string(number))
    {}

    const char *key;
    std::string value;
};

// Writes one line "event=EVENT key=value ..." at level info, subject to the log budget of the
// process. The first of the fields job, run or path identifies the job or request that the line is
// about, whose lines are kept or suppressed together. The next line that is written reports the
// number of lines suppressed before it as suppressed=N.
void logEvent(const char *part, const char *event, std::initializer_list<log_field> fields);

// Passes all lines to a function instead of the log, without a budget; for tests. An empty function
// restores the log.
void captureEvents(std::function<void(const std::string &line)> sink);

// Returns the number of lines that the log budget has suppressed since the process started.
std::uint64_t suppressedLogLines();

} // namespace mango
