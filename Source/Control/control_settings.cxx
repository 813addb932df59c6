#include "Control/control_settings.h"

#include <algorithm>
#include <fstream>

#include <sys/stat.h>

#include <boost/algorithm/string/trim.hpp>

namespace mango {

namespace {

members readReplicas(settings_reader &reader)
{
    members listed;
    for (const std::string &item : splitList(reader.requiredText("replicas"))) {
        const auto at = item.find('@');
        const auto address = parseAddress(at == std::string::npos ? "" : item.substr(at + 1));
        if (failed(address)) {
            reader.reject("replicas", "'" + item + "' is not name@ip:port");
            continue;
        }
        listed.push_back({item.substr(0, at), "", valueOf(address), true});
    }
    return listed;
}

void readTiming(settings_reader &reader, control_timing &timing, replica_options &replicas)
{
    replicas.heartbeat = reader.duration("heartbeat", replicas.heartbeat);
    replicas.electionMinimum = reader.duration("election_minimum", replicas.electionMinimum);
    replicas.electionMaximum = reader.duration("election_maximum", replicas.electionMaximum);
    timing.entryLease = reader.duration("entry_lease", timing.entryLease);
    timing.taskLease = reader.duration("task_lease", timing.taskLease);
    timing.pollInterval = reader.duration("poll_interval", timing.pollInterval);
    timing.pollTimeout = reader.duration("poll_timeout", timing.pollTimeout);
    timing.silentAfter = reader.duration("vanish_after", timing.silentAfter);
    timing.startRequestValidity = reader.duration("order_validity", timing.startRequestValidity);
    timing.claimRetention = reader.duration("claim_retention", timing.claimRetention);
    timing.jobRetention = reader.duration("job_retention", timing.jobRetention);
    timing.quarantine = reader.duration("quarantine", timing.quarantine);
    if (replicas.electionMaximum <= replicas.electionMinimum
        || replicas.heartbeat * 3 > replicas.electionMinimum) {
        reader.reject("election_minimum",
                      "must be three heartbeats or more, and less than election_maximum");
    }
    if (timing.taskLease < timing.pollInterval * 2) {
        reader.reject("task_lease", "must be twice the poll_interval or more");
    }
}

template<class Choice>
Choice readChoice(settings_reader &reader, const std::string &key, const std::string &fallback,
                  const std::map<std::string, Choice> &choices)
{
    const std::string text = reader.text(key, fallback);
    const auto found = choices.find(text);
    if (found == choices.end()) {
        reader.reject(key, "'" + text + "' is not one of its choices");
        return choices.at(fallback);
    }
    return found->second;
}

void readPolicy(settings_reader &reader, control_settings &settings)
{
    settings.placement =
            readChoice<placement_policy>(reader, "placement", "scored",
                                         {{"scored", placement_policy::scored},
                                          {"random", placement_policy::random},
                                          {"least_loaded", placement_policy::leastLoaded}});
    settings.interference =
            readChoice<interference_policy>(reader, "interference", "ladder",
                                            {{"ladder", interference_policy::graduatedMitigation},
                                             {"reservation", interference_policy::reservation},
                                             {"none", interference_policy::none}});
}

} // namespace

link_security readLinkSecurity(settings_reader &reader)
{
    link_security security;
    security.certificateFile = reader.text("certificate", "");
    security.keyFile = reader.text("key", "");
    security.authorityFile = reader.text("authority", "");
    const bool some = !security.certificateFile.empty() || !security.keyFile.empty()
                      || !security.authorityFile.empty();
    const bool all = !security.certificateFile.empty() && !security.keyFile.empty()
                     && !security.authorityFile.empty();
    if (some && !all) {
        reader.reject("certificate", "certificate, key and authority go together");
    }
    const auto checked = all ? checkSecurity(security) : result<done, network_failure>(done{});
    if (failed(checked)) {
        reader.reject("certificate", failureOf(checked).detail);
    }
    return security;
}

result<std::string, settings_failure> readSecretFile(const std::string &path)
{
    struct stat information = {};
    if (::stat(path.c_str(), &information) != 0) {
        return settings_failure{settings_failure::kind::unreadableFile, path, "", ""};
    }
    if ((information.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
        return settings_failure{settings_failure::kind::badValue, path, "permissions",
                                "others may read it; use mode 0600"};
    }
    auto content = readTextFile(path);
    if (failed(content)) {
        return content;
    }
    boost::algorithm::trim(valueOf(content));
    if (valueOf(content).size() < 16) {
        return settings_failure{settings_failure::kind::badValue, path, "token",
                                "must have 16 characters or more"};
    }
    return content;
}

result<control_settings, settings_failure> loadControlSettings(const std::string &path)
{
    const auto parsed = readIniFile(path);
    if (failed(parsed)) {
        return failureOf(parsed);
    }
    const ini_sections &sections = valueOf(parsed);
    control_settings settings;
    settings_reader main(sectionOf(sections, "control"), path);
    settings.cluster = main.requiredText("cluster");
    settings.name = main.requiredText("name");
    settings.listen = main.requiredAddress("listen");
    settings.dataFolder = main.requiredText("data");
    settings.logLevel = main.text("log_level", "info");
    settings.replicas.listed = readReplicas(main);
    settings.replicas.snapshotEntries =
            main.count("snapshot_entries", settings.replicas.snapshotEntries);
    const members &listed = settings.replicas.listed;
    const auto self = std::find_if(listed.begin(), listed.end(), [&](const member &one) {
        return one.name == settings.name;
    });
    if (self == listed.end()) {
        main.reject("replicas", "does not list this replica, " + settings.name);
    } else {
        settings.replicas.self = *self;
    }
    settings_reader admin(sectionOf(sections, "admin"), path);
    settings.admin = readServerOptions(admin, "admin");
    settings.tokenFile = admin.requiredText("token_file");
    if (const auto secret = readSecretFile(settings.tokenFile); failed(secret)) {
        admin.reject("token_file", describe(failureOf(secret)));
    }
    settings_reader timing(sectionOf(sections, "timing"), path);
    readTiming(timing, settings.timing, settings.replicas);
    settings_reader policy(sectionOf(sections, "policy"), path);
    readPolicy(policy, settings);
    settings_reader security(sectionOf(sections, "security"), path);
    settings.security = readLinkSecurity(security);
    const auto finished = finishAll({&main, &admin, &timing, &policy, &security}, sections,
                                    {"control", "admin", "timing", "policy", "security"}, path);
    if (failed(finished)) {
        return failureOf(finished);
    }
    return settings;
}

} // namespace mango
