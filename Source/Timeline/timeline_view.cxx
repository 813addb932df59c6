#include "Timeline/timeline_view.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <set>
#include <sstream>

#include <boost/algorithm/string/replace.hpp>
#include <boost/json.hpp>

#include "Timeline/log_line.h"

namespace mango {

namespace json = boost::json;

namespace {

constexpr double drawingWidthPx = 1200;
constexpr double rowHeightPx = 56;
constexpr double labelWidthPx = 140;

std::string stringField(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

bool matches(const timeline_event &event, const timeline_filter &filter)
{
    return (filter.task.empty() || event.task == filter.task)
           && (filter.request.empty() || event.request == filter.request)
           && (filter.host.empty() || event.host == filter.host || event.process == filter.host);
}

std::string escapeXml(std::string text)
{
    boost::algorithm::replace_all(text, "&", "&amp;");
    boost::algorithm::replace_all(text, "<", "&lt;");
    boost::algorithm::replace_all(text, "\"", "&quot;");
    return text;
}

std::string formatTime(std::uint64_t microseconds)
{
    const auto seconds = static_cast<std::time_t>(microseconds / 1'000'000);
    std::tm parts = {};
    gmtime_r(&seconds, &parts);
    char text[64] = {};
    std::snprintf(text, sizeof text, "%02d:%02d:%02d.%06llu", parts.tm_hour, parts.tm_min,
                  parts.tm_sec, static_cast<unsigned long long>(microseconds % 1'000'000));
    return text;
}

std::string formatSubject(const timeline_event &event)
{
    std::string text;
    for (const auto &[name, value] :
         {std::pair("task ", event.task), std::pair("request ", event.request),
          std::pair("on ", event.host), std::pair("", event.detail)}) {
        if (!value.empty()) {
            text += (text.empty() ? "" : ", ") + std::string(name) + value;
        }
    }
    return text;
}

} // namespace

result<std::vector<timeline_event>, settings_failure> readTimeline(const std::string &path,
                                                                   std::size_t &skipped)
{
    const auto text = readTextFile(path);
    if (failed(text)) {
        return failureOf(text);
    }
    std::vector<timeline_event> events;
    std::istringstream lines(valueOf(text));
    const std::string process = std::filesystem::path(path).stem().string();
    for (std::string line; std::getline(lines, line);) {
        if (auto logged = parseLogLine(line, process)) {
            events.push_back(std::move(*logged));
            continue;
        }
        boost::system::error_code error;
        const json::value value = json::parse(line, error);
        const json::object *object = error ? nullptr : value.if_object();
        const json::value *at = object == nullptr ? nullptr : object->if_contains("at");
        if (at == nullptr) {
            ++skipped;
            continue;
        }
        events.push_back({at->to_number<std::uint64_t>(error), stringField(*object, "process"),
                          stringField(*object, "event"), stringField(*object, "task"),
                          stringField(*object, "request"), stringField(*object, "host"),
                          stringField(*object, "detail")});
    }
    return events;
}

std::vector<timeline_event> filterAndSortEvents(std::vector<timeline_event> events,
                                                const timeline_filter &filter)
{
    std::erase_if(events, [&](const timeline_event &event) {
        return !matches(event, filter);
    });
    std::stable_sort(events.begin(), events.end(),
                     [](const timeline_event &left, const timeline_event &right) {
                         return std::tie(left.at, left.process) < std::tie(right.at, right.process);
                     });
    return events;
}

std::string formatTimeline(const std::vector<timeline_event> &events)
{
    std::string text;
    for (const timeline_event &event : events) {
        text += formatTime(event.at) + "  " + event.process + "  " + event.event;
        const std::string subject = formatSubject(event);
        text += (subject.empty() ? "" : "  (" + subject + ")") + "\n";
    }
    return text;
}

std::string renderTimelineSvg(const std::vector<timeline_event> &events)
{
    std::vector<std::string> processes;
    for (const timeline_event &event : events) {
        if (std::find(processes.begin(), processes.end(), event.process) == processes.end()) {
            processes.push_back(event.process);
        }
    }
    std::sort(processes.begin(), processes.end());
    const std::uint64_t first = events.empty() ? 0 : events.front().at;
    const std::uint64_t last = events.empty() ? 1 : events.back().at;
    const double scale =
            (drawingWidthPx - labelWidthPx - 40) / double(std::max<std::uint64_t>(1, last - first));
    const double height = rowHeightPx * double(processes.size()) + 40;
    std::ostringstream drawing;
    drawing << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << drawingWidthPx
            << "\" height=\"" << height << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
            << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    for (std::size_t row = 0; row < processes.size(); ++row) {
        const double y = rowHeightPx * (double(row) + 0.5) + 10;
        drawing << "<text x=\"8\" y=\"" << y + 4 << "\">" << escapeXml(processes[row])
                << "</text>\n<line x1=\"" << labelWidthPx << "\" x2=\"" << drawingWidthPx - 20
                << "\" y1=\"" << y << "\" y2=\"" << y << "\" stroke=\"#cccccc\"/>\n";
    }
    for (const timeline_event &event : events) {
        const auto row =
                std::find(processes.begin(), processes.end(), event.process) - processes.begin();
        const double x = labelWidthPx + double(event.at - first) * scale;
        const double y = rowHeightPx * (double(row) + 0.5) + 10;
        const bool isFailure = event.event.find("lost") != std::string::npos
                               || event.event.find("failed") != std::string::npos
                               || event.event.find("ended") != std::string::npos;
        drawing << "<circle cx=\"" << x << "\" cy=\"" << y << "\" r=\"4\" fill=\""
                << (isFailure ? "#c0392b" : "#1b6ca8") << "\"><title>" << formatTime(event.at)
                << " " << escapeXml(event.event) << " " << escapeXml(formatSubject(event))
                << "</title></circle>\n";
    }
    drawing << "<text x=\"" << labelWidthPx << "\" y=\"" << height - 8 << "\">" << formatTime(first)
            << "</text>\n<text x=\"" << drawingWidthPx - 20 << "\" y=\"" << height - 8
            << "\" text-anchor=\"end\">" << formatTime(last) << "</text>\n</svg>\n";
    return drawing.str();
}

} // namespace mango
