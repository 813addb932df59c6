#include "Runner/child_processes.h"

#include <csignal>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace mango::test {

namespace {

constexpr auto exitPollInterval = std::chrono::milliseconds(5);

} // namespace

child_processes::~child_processes()
{
    for (const auto &[name, pid] : m_running) {
        ::kill(pid, SIGCONT);
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
}

bool child_processes::start(const std::string &name, const std::vector<std::string> &arguments,
                            const std::string &logFile)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::vector<char *> argv;
    argv.reserve(arguments.size() + 1);
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    pid_t pid = 0;
    const int spawnError = ::posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (spawnError == 0) {
        m_running[name] = pid;
        m_exitCodes.erase(name);
    }
    return spawnError == 0;
}

bool child_processes::sendSignal(const std::string &name, const std::string &signalName)
{
    static const std::map<std::string, int> signals = {
            {"KILL", SIGKILL}, {"TERM", SIGTERM}, {"STOP", SIGSTOP}, {"CONT", SIGCONT}};
    const auto process = m_running.find(name);
    const auto number = signals.find(signalName);
    return process != m_running.end() && number != signals.end()
           && ::kill(process->second, number->second) == 0;
}

std::optional<int> child_processes::waitForExit(const std::string &name,
                                                std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    if (const auto ended = m_exitCodes.find(name); ended != m_exitCodes.end()) {
        return ended->second;
    }
    const auto process = m_running.find(name);
    while (process != m_running.end()) {
        int status = 0;
        if (::waitpid(process->second, &status, WNOHANG) == process->second) {
            m_running.erase(process);
            m_exitCodes[name] = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
            return m_exitCodes[name];
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            break;
        }
        std::this_thread::sleep_for(exitPollInterval);
    }
    return std::nullopt;
}

bool child_processes::isRunning(const std::string &name) const
{
    return m_running.contains(name);
}

pid_t child_processes::pidOf(const std::string &name) const
{
    const auto found = m_running.find(name);
    return found == m_running.end() ? 0 : found->second;
}

} // namespace mango::test
