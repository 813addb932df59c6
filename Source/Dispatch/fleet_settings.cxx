#include "Dispatch/fleet_server.h"

#include "Http/connection_budget.h"

namespace mango {

namespace {

void readTiming(settings_reader &reader, fleet_settings &settings)
{
    dispatch_timing &timing = settings.timing;
    timing.workerLease = reader.duration("worker_lease", timing.workerLease);
    timing.startValidity = reader.duration("start_validity", timing.startValidity);
    timing.renewalWait = reader.duration("renewal_wait", timing.renewalWait);
    timing.silentAfter = reader.duration("silent_after", timing.silentAfter);
    replica_options &replicas = settings.replicas;
    replicas.heartbeatInterval = reader.duration("heartbeat", replicas.heartbeatInterval);
    replicas.minimumElectionTimeout =
            reader.duration("election_minimum", replicas.minimumElectionTimeout);
    replicas.maximumElectionTimeout =
            reader.duration("election_maximum", replicas.maximumElectionTimeout);
    settings.shutdownTimeout = reader.duration("stop_time", settings.shutdownTimeout);
    if (replicas.minimumElectionTimeout < replicas.heartbeatInterval * 3) {
        reader.reject("election_minimum", "must be three heartbeats or more");
    }
    if (replicas.maximumElectionTimeout <= replicas.minimumElectionTimeout) {
        reader.reject("election_maximum", "must be more than election_minimum");
    }
}

} // namespace

connection_limits divideConnections(std::size_t available)
{
    const std::size_t toControl = available / 3;
    return {available - toControl, toControl};
}

result<fleet_settings, settings_failure> loadFleetSettings(const std::string &path)
{
    const auto parsed = readIniFile(path);
    if (failed(parsed)) {
        return failureOf(parsed);
    }
    const ini_sections &sections = valueOf(parsed);
    fleet_settings settings;
    settings.file = path;
    settings_reader fleet(sectionOf(sections, "fleet"), path);
    settings.cluster = fleet.requiredText("cluster");
    settings.replicas.self.name = fleet.requiredText("name");
    settings.listen = fleet.requiredAddress("listen");
    settings.replicas.self.address = settings.listen;
    settings.control = fleet.requiredAddress("control");
    settings.metrics = fleet.address("metrics", {});
    settings.dataFolder = fleet.requiredText("data");
    settings.logLevel = fleet.text("log_level", "info");
    settings.replicas.seeds = readSeeds(fleet);
    settings.replicas.mayBootstrap = fleet.flag("first_start", false);
    settings.replicas.targetVoters = fleet.count("voters", settings.replicas.targetVoters);
    settings.replicas.entriesPerSnapshot =
            fleet.count("snapshot_entries", settings.replicas.entriesPerSnapshot);
    settings.replicas.bytesPerSnapshot =
            fleet.bytes("snapshot_bytes", settings.replicas.bytesPerSnapshot);
    settings.directWorkers = fleet.count("direct_workers", settings.directWorkers);
    const machine_limits machine = readMachineLimits(fleet);
    const connection_budget_limits available =
            divideMachine(machine.memoryBytes, machine.descriptors);
    settings.registrations = limitRegistrations(machine.memoryBytes);
    settings.openJobs = limitOpenJobs(machine.memoryBytes);
    settings.connections = divideConnections(available.connections);
    settings.connectionMemory = available.bytes;
    settings_reader timing(sectionOf(sections, "timing"), path);
    readTiming(timing, settings);
    const auto finished = finishAll({&fleet, &timing}, sections, {"fleet", "timing"}, path);
    if (failed(finished)) {
        return failureOf(finished);
    }
    return settings;
}

} // namespace mango
