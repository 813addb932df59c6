#include "Common/event_log.h"

#include <utility>

#include "Common/log.h"
#include "Common/log_budget.h"

namespace mango {

namespace {

std::uint64_t suppressedTotal = 0;

std::function<void(const std::string &)> &eventSink()
{
    static std::function<void(const std::string &)> sink;
    return sink;
}

// Returns the id of the request or job that a line is about, by which its lines are sampled
// together; empty when the line has none.
std::string correlationIdOf(std::initializer_list<log_field> fields)
{
    for (const log_field &field : fields) {
        const std::string key = field.key;
        if (key == "job") {
            return field.value;
        }
        if (key == "run") {
            return field.value.substr(0, field.value.find('.'));
        }
        if (key == "path") {
            return field.value.substr(field.value.rfind('/') + 1);
        }
    }
    return {};
}

void appendValue(std::string &line, const std::string &value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\r") == std::string::npos) {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value) {
        const bool isControlCharacter = static_cast<unsigned char>(character) < ' ';
        line += character == '"' ? '\'' : (isControlCharacter ? ' ' : character);
    }
    line += '"';
}

} // namespace

void logEvent(const char *part, const char *event, std::initializer_list<log_field> fields)
{
    static log_budget budget;
    static std::uint64_t suppressed = 0;
    if (!eventSink()
        && !admitLine(budget, event, correlationIdOf(fields), std::chrono::steady_clock::now())) {
        ++suppressed;
        ++suppressedTotal;
        return;
    }
    std::string line = std::string("event=") + event;
    for (const log_field &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    if (suppressed > 0) {
        line += " suppressed=" + std::to_string(std::exchange(suppressed, 0));
    }
    if (eventSink()) {
        eventSink()(line);
        return;
    }
    logInfo(part, line);
}

void captureEvents(std::function<void(const std::string &line)> sink)
{
    eventSink() = std::move(sink);
}

std::uint64_t suppressedLogLines()
{
    return suppressedTotal;
}

} // namespace mango
