#include <fstream>
#include <iostream>

#include <boost/program_options.hpp>

#include "Timeline/timeline_view.h"

namespace options = boost::program_options;

int main(int argc, char **argv)
{
    options::options_description description(
            "mango_timeline: merges the timelines or logs of several processes\n"
            "Example: mango_timeline --task 17/0 data/*/timeline.jsonl --draw line.svg");
    description.add_options()("help", "show this text")(
            "task", options::value<std::string>()->default_value(""),
            "only events of this task")("request", options::value<std::string>()->default_value(""),
                                        "only events of this request")(
            "host", options::value<std::string>()->default_value(""),
            "only events of this host")("draw", options::value<std::string>(),
                                        "also write an SVG drawing of the events to this file")(
            "files", options::value<std::vector<std::string>>()->default_value({}, ""),
            "timeline or log files");
    options::positional_options_description positional;
    positional.add("files", -1);
    options::variables_map values;
    try {
        options::store(options::command_line_parser(argc, argv)
                               .options(description)
                               .positional(positional)
                               .run(),
                       values);
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << "mango_timeline: " << error.what() << "\n";
        return 2;
    }
    const auto files = values["files"].as<std::vector<std::string>>();
    if (values.count("help") > 0 || files.empty()) {
        std::cout << description;
        return files.empty() && values.count("help") == 0 ? 2 : 0;
    }
    std::vector<mango::timeline_event> events;
    std::size_t skipped = 0;
    for (const std::string &file : files) {
        const auto read = mango::readTimeline(file, skipped);
        if (mango::failed(read)) {
            std::cerr << "mango_timeline: " << mango::describe(mango::failureOf(read)) << "\n";
            return 2;
        }
        events.insert(events.end(), mango::valueOf(read).begin(), mango::valueOf(read).end());
    }
    events = mango::filterAndSortEvents(std::move(events), {values["task"].as<std::string>(),
                                                            values["request"].as<std::string>(),
                                                            values["host"].as<std::string>()});
    std::cout << mango::formatTimeline(events);
    if (skipped > 0) {
        std::cerr << "mango_timeline: " << skipped << " malformed lines skipped\n";
    }
    if (values.count("draw") > 0) {
        std::ofstream(values["draw"].as<std::string>()) << mango::renderTimelineSvg(events);
    }
    return 0;
}
