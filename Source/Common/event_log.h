#pragma once

#include <functional>
#include <initializer_list>
#include <string>

#include "Common/clock_source.h"

namespace mango {

// One key and its value in a log line.
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

// Writes one line "event=EVENT key=value ..." at level info, within the budget of the process. The
// fields job, run or path, if there is one, name the story that the line belongs to. Lines that
// were left out are told with the next one that is written, as suppressed=N.
void logEvent(const char *part, const char *event, std::initializer_list<log_field> fields);

// Hands all lines to a function instead of the log, without a budget; for tests. An empty function
// ends that.
void captureEvents(std::function<void(const std::string &line)> sink);

// The lines of all events that were left out so far.
std::uint64_t suppressedLogLines();

} // namespace mango
