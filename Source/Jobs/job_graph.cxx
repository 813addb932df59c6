#include "Jobs/job_graph.h"

#include <algorithm>
#include <charconv>

namespace mango {

namespace {

constexpr std::size_t jobIdDigits = 16;
constexpr std::size_t maximumSpecificationBytes = 4000;

} // namespace

std::string formatJobId(std::uint64_t job)
{
    static constexpr const char *digits = "0123456789abcdef";
    std::string text(jobIdDigits, '0');
    for (std::size_t at = jobIdDigits; at > 0; --at) {
        text[at - 1] = digits[job & 0xfU];
        job >>= 4U;
    }
    return text;
}

std::optional<std::uint64_t> parseJobId(const std::string &text)
{
    std::uint64_t job = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), job, 16);
    if (text.size() != jobIdDigits || error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return job;
}

std::optional<std::uint64_t> trailingJobId(const std::string &path)
{
    if (path.size() < jobIdDigits) {
        return std::nullopt;
    }
    return parseJobId(path.substr(path.size() - jobIdDigits));
}

std::string toText(const task_key &key)
{
    return formatJobId(key.job) + "." + std::to_string(key.occurrence) + "."
           + std::to_string(key.step) + "." + std::to_string(key.index);
}

std::string toText(const run_key &key)
{
    return toText(key.task) + "/" + std::to_string(key.run);
}

std::uint64_t countTasks(const job_graph &graph)
{
    std::uint64_t tasks = 0;
    for (const job_step &step : graph.steps) {
        tasks += step.tasks;
    }
    return tasks;
}

std::string describe(const graph_failure &failure)
{
    const std::string step = "step " + std::to_string(failure.step);
    switch (failure.reason) {
    case graph_failure::kind::noSteps:
        return "the job has no steps";
    case graph_failure::kind::noTasks:
        return step + " has no tasks";
    case graph_failure::kind::tooManyTasks:
        return "the job has more than " + std::to_string(maximumTasks) + " tasks";
    case graph_failure::kind::laterDependency:
        return step + " depends on a step that does not stand before it";
    case graph_failure::kind::specificationTooLong:
        return "the specification has more than " + std::to_string(maximumSpecificationBytes)
               + " bytes";
    }
    return "not a job";
}

std::optional<graph_failure> checkGraph(const job_graph &graph)
{
    if (graph.steps.empty()) {
        return graph_failure{graph_failure::kind::noSteps, 0};
    }
    if (graph.specification.size() > maximumSpecificationBytes) {
        return graph_failure{graph_failure::kind::specificationTooLong, 0};
    }
    for (std::uint32_t number = 0; number < graph.steps.size(); ++number) {
        const job_step &step = graph.steps[number];
        if (step.tasks == 0) {
            return graph_failure{graph_failure::kind::noTasks, number};
        }
        for (const std::uint32_t earlier : step.dependsOn) {
            if (earlier >= number) {
                return graph_failure{graph_failure::kind::laterDependency, number};
            }
        }
    }
    if (countTasks(graph) > maximumTasks) {
        return graph_failure{graph_failure::kind::tooManyTasks, 0};
    }
    return std::nullopt;
}

std::chrono::milliseconds criticalPathLength(const job_graph &graph)
{
    std::vector<std::chrono::milliseconds> ends;
    std::chrono::milliseconds longest{0};
    for (const job_step &step : graph.steps) {
        std::chrono::milliseconds begin{0};
        for (const std::uint32_t earlier : step.dependsOn) {
            begin = std::max(begin, ends[earlier]);
        }
        ends.push_back(begin + step.estimate);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

} // namespace mango
