#pragma once

#include <filesystem>

#include "Common/settings.h"
#include "Runner/child_processes.h"

namespace mango::test {

// What the machine of a process offers.
struct machine_limits
{
    std::uint64_t memoryMb = 0;
    std::uint64_t descriptors = 0;
};

// One control process and one edge on loopback, with the settings that the templates in deploy/
// give for small machines.
class small_deployment
{
public:
    small_deployment();
    ~small_deployment();
    small_deployment(const small_deployment &) = delete;
    small_deployment &operator=(const small_deployment &) = delete;

    // Starts both processes and hands in a configuration; returns false when that did not succeed.
    bool start();
    [[nodiscard]] bool bothRun() const;
    // Stops the control process for a while, or lets it go on.
    void suspendControl(bool suspended);
    // What both processes have logged so far.
    [[nodiscard]] std::string logs() const;

    // The greatest resident memory of a process since its start.
    [[nodiscard]] std::uint64_t peakMemoryMb(const std::string &process) const;
    [[nodiscard]] std::uint64_t openDescriptors(const std::string &process) const;
    // Hands in a job at the edge as an ordinary caller does, again until it is accepted or 100
    // attempts were made; returns the last status, 0 without a response.
    unsigned submitJob();
    // The same for a read of the configuration at the control process.
    unsigned readConfiguration();

    static constexpr machine_limits limits{64, 600};
    static constexpr std::uint64_t bodyLimit = 256U << 10U;
    host_address callers;
    host_address control;

private:
    std::string writeSettings(const std::string &process, const std::string &templateFile);
    [[nodiscard]] std::filesystem::path logFile(const std::string &process) const;

    std::filesystem::path m_folder;
    host_address m_readiness;
    std::uint16_t m_internalPort;
    std::uint64_t m_nextJob = 1;
    child_processes m_processes;
};

// Sends one request on a connection of its own and returns the status of the response; 0 when there
// is none within 5 s.
unsigned statusOfRequest(const host_address &server, const std::string &request);

} // namespace mango::test
