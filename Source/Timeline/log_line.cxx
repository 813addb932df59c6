#include "Timeline/log_line.h"

#include <cstdlib>
#include <ctime>
#include <sstream>

namespace mango {

namespace {

// Log collectors stamp lines with seconds since the start of the recording. Lines from before that
// have negative stamps; this offset keeps the times of the hour before the start positive.
constexpr double collectorOffsetSeconds = 3600;

// Parses a UTC time such as 2026-05-11T00:29:45.450 into microseconds since 1970. Returns nothing
// if the text is not such a time.
std::optional<std::uint64_t> parseTimestamp(const std::string &word)
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

// Sets the time of the event, and its process if the text names one, from the text that precedes
// "event=" in a line.
void parsePrefix(const std::string &prefix, timeline_event &event)
{
    std::istringstream words(prefix);
    std::string first;
    words >> first;
    if (const auto timestamp = parseTimestamp(first)) {
        event.at = *timestamp;
        return;
    }
    char *end = nullptr;
    const double seconds = std::strtod(first.c_str(), &end);
    if (end != first.c_str() && *end == '\0' && seconds > -collectorOffsetSeconds) {
        event.at = static_cast<std::uint64_t>((seconds + collectorOffsetSeconds) * 1e6);
        words >> event.process;
    }
}

// Parses the value at a position of key=value pairs, which may be quoted, and advances the position
// past it.
std::string parseValue(const std::string &text, std::size_t &at)
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

// Stores one key=value pair in the member for the key, or else in the detail.
void storeField(timeline_event &event, const std::string &key, const std::string &value)
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
    parsePrefix(line.substr(0, at), event);
    while (at < line.size()) {
        const std::size_t equals = line.find('=', at);
        if (equals == std::string::npos) {
            break;
        }
        const std::string key = line.substr(at, equals - at);
        at = equals + 1;
        storeField(event, key, parseValue(line, at));
        at = std::min(line.find_first_not_of(' ', at), line.size());
    }
    return event;
}

} // namespace mango
