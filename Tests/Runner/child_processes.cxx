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

constexpr auto pollInterval = std::chrono::milliseconds(5);

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
                            const std::string &log)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::vector<char *> words;
    words.reserve(arguments.size() + 1);
    for (const std::string &argument : arguments) {
        words.push_back(const_cast<char *>(argument.c_str()));
    }
    words.push_back(nullptr);
    pid_t pid = 0;
    const int failed = ::posix_spawn(&pid, words[0], &actions, nullptr, words.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed == 0) {
        m_running[name] = pid;
        m_ended.erase(name);
    }
    return failed == 0;
}

bool child_processes::signal(const std::string &name, const std::string &signalName)
{
    static const std::map<std::string, int> signals = {
            {"KILL", SIGKILL}, {"TERM", SIGTERM}, {"STOP", SIGSTOP}, {"CONT", SIGCONT}};
    const auto process = m_running.find(name);
    const auto number = signals.find(signalName);
    return process != m_running.end() && number != signals.end()
           && ::kill(process->second, number->second) == 0;
}

std::optional<int> child_processes::wait(const std::string &name, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    if (const auto before = m_ended.find(name); before != m_ended.end()) {
        return before->second;
    }
    const auto process = m_running.find(name);
    while (process != m_running.end()) {
        int status = 0;
        if (::waitpid(process->second, &status, WNOHANG) == process->second) {
            m_running.erase(process);
            m_ended[name] = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
            return m_ended[name];
        }
        if (std::chrono::steady_clock::now() >= end) {
            break;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return std::nullopt;
}

bool child_processes::runs(const std::string &name) const
{
    return m_running.contains(name);
}

pid_t child_processes::pidOf(const std::string &name) const
{
    const auto found = m_running.find(name);
    return found == m_running.end() ? 0 : found->second;
}

} // namespace mango::test
