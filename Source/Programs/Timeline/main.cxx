#include <fstream>
#include <iostream>

#include <boost/program_options.hpp>

#include "Timeline/timeline_view.h"

namespace options = boost::program_options;

int main(int argc, char **argv)
{
    options::options_description described(
            "mango_timeline: merges the time lines or logs of all processes into one\n"
            "Example: mango_timeline --task 17/0 data/*/timeline.jsonl --draw line.svg");
    described.add_options()("help", "show this text")(
            "task", options::value<std::string>()->default_value(""), "events of this task only")(
            "request", options::value<std::string>()->default_value(""), "of this request only")(
            "host", options::value<std::string>()->default_value(""), "of this host only")(
            "draw", options::value<std::string>(), "also draw them into this SVG file")(
            "files", options::value<std::vector<std::string>>()->default_value({}, ""),
            "time line or log files");
    options::positional_options_description positions;
    positions.add("files", -1);
    options::variables_map given;
    try {
        options::store(options::command_line_parser(argc, argv)
                               .options(described)
                               .positional(positions)
                               .run(),
                       given);
        options::notify(given);
    } catch (const options::error &error) {
        std::cerr << "mango_timeline: " << error.what() << "\n";
        return 2;
    }
    const auto files = given["files"].as<std::vector<std::string>>();
    if (given.count("help") > 0 || files.empty()) {
        std::cout << described;
        return files.empty() && given.count("help") == 0 ? 2 : 0;
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
    events = mango::filterAndSortEvents(std::move(events), {given["task"].as<std::string>(),
                                                            given["request"].as<std::string>(),
                                                            given["host"].as<std::string>()});
    std::cout << mango::formatTimeline(events);
    if (skipped > 0) {
        std::cerr << "mango_timeline: " << skipped << " lines could not be read\n";
    }
    if (given.count("draw") > 0) {
        std::ofstream(given["draw"].as<std::string>()) << mango::renderTimelineSvg(events);
    }
    return 0;
}
