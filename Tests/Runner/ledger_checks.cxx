#include "Runner/ledger_checks.h"

#include <algorithm>
#include <fstream>

#include <boost/json.hpp>

namespace mango::test {

namespace json = boost::json;

std::vector<ledger_event> readLedgers(const std::vector<std::string> &files)
{
    std::vector<ledger_event> events;
    for (const std::string &file : files) {
        std::ifstream input(file);
        for (std::string line; std::getline(input, line);) {
            boost::system::error_code error;
            const json::value value = json::parse(line, error);
            if (error || !value.is_object()) {
                continue;
            }
            const json::object &object = value.as_object();
            events.push_back({object.at("at").to_number<std::int64_t>(),
                              std::string(object.at("worker").as_string()),
                              std::string(object.at("event").as_string()),
                              std::string(object.at("subject").as_string()),
                              object.at("number").to_number<std::uint64_t>()});
        }
    }
    std::stable_sort(events.begin(), events.end(),
                     [](const ledger_event &one, const ledger_event &other) {
                         return one.wallTimeUs < other.wallTimeUs;
                     });
    return events;
}

std::vector<std::string> findCapacityViolations(const std::vector<ledger_event> &events)
{
    std::vector<std::string> found;
    for (const ledger_event &event : events) {
        if (event.event == "excess") {
            found.push_back("P1: " + event.worker + " held " + std::to_string(event.number)
                            + ", more than it announced");
        }
    }
    return found;
}

std::vector<std::string> findConcurrentRuns(const std::vector<ledger_event> &events)
{
    std::vector<std::string> found;
    std::map<std::string, ledger_event> running;
    for (const ledger_event &event : events) {
        if (event.event == "task start" || event.event == "task resume") {
            const auto other = running.find(event.subject);
            if (other != running.end()) {
                found.push_back("P2: task " + event.subject + " ran at the same time on "
                                + event.worker + " and " + other->second.worker);
            }
            running[event.subject] = event;
        }
        if (event.event == "task end") {
            const auto started = running.find(event.subject);
            if (started != running.end() && started->second.number == event.number) {
                running.erase(started);
            }
        }
        if (event.event == "worker died") {
            std::erase_if(running, [&](const auto &item) {
                return item.second.worker == event.worker;
            });
        }
    }
    return found;
}

std::vector<std::string> findDuplicateExecutions(const std::vector<ledger_event> &events)
{
    std::vector<std::string> found;
    std::map<std::string, std::string> executedOn;
    for (const ledger_event &event : events) {
        if (event.event != "request run" || event.subject.empty()) {
            continue;
        }
        const auto [first, added] = executedOn.try_emplace(event.subject, event.worker);
        if (!added) {
            found.push_back("P7: request with key " + event.subject + " was executed on "
                            + first->second + " and " + event.worker);
        }
    }
    return found;
}

std::size_t countEvents(const std::vector<ledger_event> &events, const std::string &eventPrefix,
                        const std::string &workerPrefix, std::int64_t fromUs, std::int64_t toUs)
{
    return static_cast<std::size_t>(
            std::count_if(events.begin(), events.end(), [&](const ledger_event &one) {
                return one.event.starts_with(eventPrefix) && one.worker.starts_with(workerPrefix)
                       && one.wallTimeUs >= fromUs && one.wallTimeUs <= toUs;
            }));
}

} // namespace mango::test
