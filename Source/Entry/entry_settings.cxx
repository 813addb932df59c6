#include "Entry/entry_settings.h"

namespace mango {

namespace {

std::vector<host_address> readAddresses(settings_reader &reader, const std::string &key)
{
    std::vector<host_address> addresses;
    for (const std::string &item : splitList(reader.requiredText(key))) {
        const auto address = parseAddress(item);
        if (failed(address)) {
            reader.reject(key, failureOf(address).detail);
            continue;
        }
        addresses.push_back(valueOf(address));
    }
    return addresses;
}

selection_policy readSelection(settings_reader &reader)
{
    const std::string name = reader.text("selection", "fastest_of_two");
    if (name == "random") {
        return selection_policy::random;
    }
    if (name == "least_outstanding") {
        return selection_policy::leastOutstanding;
    }
    if (name != "fastest_of_two") {
        reader.reject("selection", "must be fastest_of_two, least_outstanding or random");
    }
    return selection_policy::fastestOfTwo;
}

} // namespace

result<entry_settings, settings_failure> loadEntrySettings(const std::string &path)
{
    const auto parsed = readIniFile(path);
    if (failed(parsed)) {
        return failureOf(parsed);
    }
    const ini_sections &sections = valueOf(parsed);
    entry_settings settings;
    settings_reader main(sectionOf(sections, "entry"), path);
    settings.cluster = main.requiredText("cluster");
    settings.name = main.requiredText("name");
    settings.failureDomain = main.requiredText("failure_domain");
    settings.dataFolder = main.requiredText("data");
    settings.logLevel = main.text("log_level", "info");
    settings.control = readAddresses(main, "control");
    settings.reportInterval = main.duration("report_interval", settings.reportInterval);
    settings.drainTime = main.duration("drain_time", settings.drainTime);
    settings.balancerTime = main.duration("balancer_time", settings.balancerTime);
    settings.retryPercent = main.count("retry_percent", settings.retryPercent);
    settings.selection = readSelection(main);
    settings_reader callers(sectionOf(sections, "callers"), path);
    settings.callers = readServerOptions(callers, "callers");
    settings_reader workers(sectionOf(sections, "workers"), path);
    settings.workers = readServerOptions(workers, "workers");
    settings_reader security(sectionOf(sections, "security"), path);
    settings.security = readLinkSecurity(security);
    const auto finished = finishAll({&main, &callers, &workers, &security}, sections,
                                    {"entry", "callers", "workers", "security"}, path);
    if (failed(finished)) {
        return failureOf(finished);
    }
    return settings;
}

} // namespace mango
