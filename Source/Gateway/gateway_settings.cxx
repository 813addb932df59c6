#include "Gateway/gateway_settings.h"

namespace mango {

result<gateway_settings, settings_failure> loadGatewaySettings(const std::string &path)
{
    const auto parsed = readIniFile(path);
    if (failed(parsed)) {
        return failureOf(parsed);
    }
    const ini_sections &sections = valueOf(parsed);
    gateway_settings settings;
    settings.file = path;
    settings_reader reader(sectionOf(sections, "gateway"), path);
    settings.cluster = reader.requiredText("cluster");
    settings.name = reader.requiredText("name");
    settings.logLevel = reader.text("log_level", "info");
    settings.callers = reader.requiredAddress("callers");
    settings.readiness = reader.requiredAddress("readiness");
    settings.metrics = reader.address("metrics", {});
    settings.seeds = readSeeds(reader);
    const machine_limits machine = readMachineLimits(reader);
    settings.connections = divideMachine(machine.memoryBytes, machine.descriptors);
    settings.leaveTime = reader.duration("leave_time", settings.leaveTime);
    settings.shutdownTimeout = reader.duration("stop_time", settings.shutdownTimeout);
    if (settings.shutdownTimeout < settings.leaveTime) {
        reader.reject("stop_time", "must not be less than leave_time");
    }
    const auto finished = finishAll({&reader}, sections, {"gateway"}, path);
    if (failed(finished)) {
        return failureOf(finished);
    }
    return settings;
}

} // namespace mango
