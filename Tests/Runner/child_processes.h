#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace mango::test {

// The processes that one scenario started; all of them end with it.
class child_processes
{
public:
    child_processes() = default;
    ~child_processes();
    child_processes(const child_processes &) = delete;
    child_processes &operator=(const child_processes &) = delete;

    // Starts a program with its output in the log file; false when it could not be started.
    bool start(const std::string &name, const std::vector<std::string> &arguments,
               const std::string &log);
    // Sends a signal by its name, such as "KILL"; false for an unknown process or name.
    bool signal(const std::string &name, const std::string &signalName);
    // The exit code, or minus the signal that ended it; nothing when it still runs at the limit.
    std::optional<int> wait(const std::string &name, std::chrono::milliseconds limit);
    [[nodiscard]] bool runs(const std::string &name) const;
    [[nodiscard]] pid_t pidOf(const std::string &name) const;

private:
    std::map<std::string, pid_t> m_running;
    std::map<std::string, int> m_ended;
};

} // namespace mango::test
