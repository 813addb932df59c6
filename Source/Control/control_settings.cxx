#include "Control/control_settings.h"

#include <algorithm>
#include <fstream>

#include <sys/stat.h>

#include <boost/algorithm/string/trim.hpp>

namespace mango {

namespace {

members readReplicas(settings_reader &reader)
{
    members configuredMembers;
    for (const std::string &item : splitList(reader.requiredText("replicas"))) {
        const auto at = item.find('@');
        const auto address = parseAddress(at == std::string::npos ? "" : item.substr(at + 1));
        if (failed(address)) {
            reader.reject("replicas", "'" + item + "' is not of the form name@ip:port");
            continue;
        }
        configuredMembers.push_back({item.substr(0, at), "", valueOf(address), true});
    }
    return configuredMembers;
}

void readTiming(settings_reader &reader, control_timing &timing, replica_options &replicas)
{
    replicas.heartbeatInterval = reader.duration("heartbeat", replicas.heartbeatInterval);
    replicas.minimumElectionTimeout =
            reader.duration("election_minimum", replicas.minimumElectionTimeout);
    replicas.maximumElectionTimeout =
            reader.duration("election_maximum", replicas.maximumElectionTimeout);
    timing.entryLease = reader.duration("entry_lease", timing.entryLease);
    timing.taskLease = reader.duration("task_lease", timing.taskLease);
    timing.pollInterval = reader.duration("poll_interval", timing.pollInterval);
    timing.pollTimeout = reader.duration("poll_timeout", timing.pollTimeout);
    timing.silentAfter = reader.duration("vanish_after", timing.silentAfter);
    timing.startRequestValidity = reader.duration("order_validity", timing.startRequestValidity);
    timing.claimRetention = reader.duration("claim_retention", timing.claimRetention);
    timing.jobRetention = reader.duration("job_retention", timing.jobRetention);
    timing.quarantine = reader.duration("quarantine", timing.quarantine);
    if (replicas.maximumElectionTimeout <= replicas.minimumElectionTimeout
        || replicas.heartbeatInterval * 3 > replicas.minimumElectionTimeout) {
        reader.reject("election_minimum",
                      "must be at least three times the heartbeat, and less than election_maximum");
    }
    if (timing.taskLease < timing.pollInterval * 2) {
        reader.reject("task_lease", "must be at least twice the poll_interval");
    }
}

template<class Enum>
Enum readEnum(settings_reader &reader, const std::string &key, const std::string &fallback,
              const std::map<std::string, Enum> &values)
{
    const std::string text = reader.text(key, fallback);
    const auto found = values.find(text);
    if (found == values.end()) {
        reader.reject(key, "'" + text + "' is not a valid value");
        return values.at(fallback);
    }
    return found->second;
}

void readPolicy(settings_reader &reader, control_settings &settings)
{
    settings.placement =
            readEnum<placement_policy>(reader, "placement", "scored",
                                       {{"scored", placement_policy::scored},
                                        {"random", placement_policy::random},
                                        {"least_loaded", placement_policy::leastLoaded}});
    settings.interference =
            readEnum<interference_policy>(reader, "interference", "ladder",
                                          {{"ladder", interference_policy::graduatedMitigation},
                                           {"reservation", interference_policy::reservation},
                                           {"none", interference_policy::none}});
}

} // namespace

tls_options readLinkSecurity(settings_reader &reader)
{
    tls_options security;
    security.certificateFile = reader.text("certificate", "");
    security.keyFile = reader.text("key", "");
    security.certificateAuthorityFile = reader.text("authority", "");
    const bool anySet = !security.certificateFile.empty() || !security.keyFile.empty()
                        || !security.certificateAuthorityFile.empty();
    const bool allSet = !security.certificateFile.empty() && !security.keyFile.empty()
                        && !security.certificateAuthorityFile.empty();
    if (anySet && !allSet) {
        reader.reject("certificate", "certificate, key and authority must be set together");
    }
    const auto checked = allSet ? checkSecurity(security) : result<done, network_failure>(done{});
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
                                "group or others have access to the file; use mode 0600"};
    }
    auto content = readTextFile(path);
    if (failed(content)) {
        return content;
    }
    boost::algorithm::trim(valueOf(content));
    if (valueOf(content).size() < 16) {
        return settings_failure{settings_failure::kind::badValue, path, "token",
                                "must have at least 16 characters"};
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
    settings.replicas.configuredMembers = readReplicas(main);
    settings.replicas.entriesPerSnapshot =
            main.count("snapshot_entries", settings.replicas.entriesPerSnapshot);
    settings.replicas.bytesPerSnapshot =
            main.bytes("snapshot_bytes", settings.replicas.bytesPerSnapshot);
    const members &configuredMembers = settings.replicas.configuredMembers;
    const auto self = std::find_if(configuredMembers.begin(), configuredMembers.end(),
                                   [&](const member &one) {
                                       return one.name == settings.name;
                                   });
    if (self == configuredMembers.end()) {
        main.reject("replicas", "does not contain this replica, " + settings.name);
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
