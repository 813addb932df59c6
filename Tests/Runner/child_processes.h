#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace mango::test {

// The child processes of one scenario, each under a name. The destructor kills those that still
// run, also stopped ones, and reaps them.
class child_processes
{
public:
    child_processes() = default;
    ~child_processes();
    child_processes(const child_processes &) = delete;
    child_processes &operator=(const child_processes &) = delete;

    // Starts a program (arguments[0] is its path), with stdout and stderr appended to the log file.
    // Returns false if it could not be started.
    bool start(const std::string &name, const std::vector<std::string> &arguments,
               const std::string &logFile);
    // Sends the signal "KILL", "TERM", "STOP" or "CONT". Returns false for a process that does not
    // run, an unknown signal name or a failed kill().
    bool sendSignal(const std::string &name, const std::string &signalName);
    // Waits until the process has ended. Returns its exit code, or the negated number of the signal
    // that killed it; nullopt if it still runs after the timeout or the name is unknown.
    std::optional<int> waitForExit(const std::string &name, std::chrono::milliseconds timeout);
    // True until waitForExit() has reaped the process.
    [[nodiscard]] bool isRunning(const std::string &name) const;
    // The process id; 0 for a process that does not run.
    [[nodiscard]] pid_t pidOf(const std::string &name) const;

private:
    std::map<std::string, pid_t> m_running;
    std::map<std::string, int> m_exitCodes;
};

} // namespace mango::test
