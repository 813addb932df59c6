#include "Jobs/occurrence_window.h"

#include <algorithm>

namespace mango {

namespace {

// Opens an occurrence before it is due, so that its tasks can start in time.
constexpr auto openingLead = std::chrono::milliseconds(2000);

} // namespace

std::uint32_t countOccurrences(const job_graph &graph)
{
    return graph.schedule ? graph.schedule->occurrences : 1;
}

std::chrono::milliseconds dueTimeOf(const job_schedule &schedule, std::uint32_t occurrence)
{
    constexpr auto latest = std::chrono::milliseconds::max();
    const bool isBeyond = schedule.interval.count() > 0
                          && occurrence > (latest - schedule.firstAt) / schedule.interval;
    return isBeyond ? latest : schedule.firstAt + schedule.interval * occurrence;
}

std::uint32_t countDueOccurrences(const job_schedule &schedule, std::chrono::milliseconds at)
{
    if (at < schedule.firstAt) {
        return 0;
    }
    if (schedule.interval.count() <= 0) {
        return schedule.occurrences;
    }
    const std::int64_t passed = (at - schedule.firstAt) / schedule.interval;
    return passed < schedule.occurrences ? static_cast<std::uint32_t>(passed) + 1
                                         : schedule.occurrences;
}

std::uint32_t maximumOpenOccurrences(const job_graph &graph)
{
    return static_cast<std::uint32_t>(std::max<std::uint64_t>(
            1, maximumTasks / std::max<std::uint64_t>(1, countTasks(graph))));
}

std::uint32_t occurrencesToOpen(const job_state &job, std::chrono::milliseconds at)
{
    if (!job.graph.schedule) {
        return job.openedOccurrences;
    }
    const std::uint64_t room = maximumOpenOccurrences(job.graph) - job.occurrences.size();
    const std::uint64_t due = countDueOccurrences(*job.graph.schedule, at + openingLead);
    return static_cast<std::uint32_t>(
            std::clamp<std::uint64_t>(due, job.openedOccurrences, job.openedOccurrences + room));
}

bool openOccurrences(job_state &job, std::uint32_t count)
{
    const std::uint32_t openedBefore = job.openedOccurrences;
    const std::size_t window = maximumOpenOccurrences(job.graph);
    count = std::min(count, countOccurrences(job.graph));
    if (!isOpen(job) || openedBefore >= count || job.occurrences.size() >= window) {
        return false;
    }
    job_occurrence occurrence;
    for (const job_step &step : job.graph.steps) {
        occurrence.steps.emplace_back(step.tasks);
    }
    while (job.openedOccurrences < count && job.occurrences.size() < window) {
        job.occurrences.emplace_hint(job.occurrences.end(), job.openedOccurrences, occurrence);
        ++job.openedOccurrences;
    }
    return true;
}

} // namespace mango
