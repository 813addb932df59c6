#include "Timeline/log_line.h"

#include <cstdlib>
#include <ctime>
#include <sstream>

namespace mango {

namespace {

// Collectors count from the start of what they record, and some lines come before it.
constexpr double collectorZero = 3600;

// Microseconds of a time like 2026-05-11T00:29:45.450; nothing when it is not one.
std::optional<std::uint64_t> dateOf(const std::string &word)
{
    std::tm parts = {};
    const char *rest = strptime(word.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    if (rest == nullptr) {
        return std::nullopt;
    }
    const double fraction = *rest == '.' ? std::strtod(rest, nullptr) : 0;
    return static_cast<std::uint64_t>(timegm(&parts)) * 1'000'000
           + static_cast<std::uint64_t>(fraction * 1e6);
}

// The time and process of what stands before the event.
void readPrefix(const std::string &prefix, timeline_event &event)
{
    std::istringstream words(prefix);
    std::string first;
    words >> first;
    if (const auto date = dateOf(first)) {
        event.at = *date;
        return;
    }
    char *end = nullptr;
    const double seconds = std::strtod(first.c_str(), &end);
    if (end != first.c_str() && *end == '\0' && seconds > -collectorZero) {
        event.at = static_cast<std::uint64_t>((seconds + collectorZero) * 1e6);
        words >> event.process;
    }
}

// Takes the next value of key=value pairs, which may be quoted.
std::string takeValue(const std::string &text, std::size_t &at)
{
    if (at < text.size() && text[at] == '"') {
        const std::size_t end = text.find('"', at + 1);
        std::string value = text.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        at = end == std::string::npos ? text.size() : end + 1;
        return value;
    }
    const std::size_t end = std::min(text.find(' ', at), text.size());
    std::string value = text.substr(at, end - at);
    at = end;
    return value;
}

void takeField(timeline_event &event, const std::string &key, const std::string &value)
{
    if (key == "event") {
        event.event = value;
    } else if (key == "job") {
        event.request = value;
    } else if (key == "run") {
        event.request = value.substr(0, value.find('.'));
        event.task = value;
    } else if (key == "worker") {
        event.host = value;
    } else {
        if (key == "path") {
            event.request = value.substr(value.rfind('/') + 1);
        }
        event.detail += (event.detail.empty() ? "" : " ") + key + "=" + value;
    }
}

} // namespace

std::optional<timeline_event> parseLogLine(const std::string &line, const std::string &process)
{
    std::size_t at = line.find("event=");
    if (at == std::string::npos) {
        return std::nullopt;
    }
    timeline_event event;
    event.process = process;
    readPrefix(line.substr(0, at), event);
    while (at < line.size()) {
        const std::size_t equals = line.find('=', at);
        if (equals == std::string::npos) {
            break;
        }
        const std::string key = line.substr(at, equals - at);
        at = equals + 1;
        takeField(event, key, takeValue(line, at));
        at = std::min(line.find_first_not_of(' ', at), line.size());
    }
    return event;
}

} // namespace mango
