#include "Jobs/job_memory.h"

#include <algorithm>

#include "Common/heap_bytes.h"
#include "Jobs/job_account.h"
#include "Jobs/job_records.h"

namespace mango {

namespace {

// The job's own records, and its nodes in the maps of the replicated state and of the leader.
constexpr std::uint64_t jobBytes = 1200;
// What the leader tracks of a step.
constexpr std::uint64_t trackedStepBytes = 480;
// What the leader tracks of a run, its nodes in the maps of runs, and its place in the replicated
// state.
constexpr std::uint64_t trackedRunBytes = 750;
constexpr std::uint64_t usualCheckpointBytes = 48;

std::uint64_t heapBytesOf(const job_step &step)
{
    return allocatedBytes(step.dependsOn.capacity() * sizeof(std::uint32_t))
           + mango::heapBytesOf(step.requiredLabel) + mango::heapBytesOf(step.dataRack)
           + mango::heapBytesOf(step.image);
}

std::uint64_t taskBytes(const job_step &step)
{
    const std::uint64_t bytes = sizeof(task_state) + sizeof(std::uint32_t);
    return bytes + (step.checkpoints ? usualCheckpointBytes : 0);
}

} // namespace

std::uint64_t heapBytesOf(const job_graph &graph)
{
    std::uint64_t bytes = heapBytesOf(graph.specification)
                          + allocatedBytes(graph.steps.capacity() * sizeof(job_step));
    for (const job_step &step : graph.steps) {
        bytes += heapBytesOf(step);
    }
    return bytes;
}

open_job_memory occurrenceMemory(const job_graph &graph)
{
    open_job_memory memory;
    for (const job_step &step : graph.steps) {
        memory.atRestBytes += trackedStepBytes + step.tasks * taskBytes(step);
        memory.runBytes += step.tasks * (trackedRunBytes + sizeof(task_account));
    }
    return memory;
}

open_job_memory jobMemory(const job_graph &graph, std::size_t openOccurrences)
{
    const std::uint64_t occurrences = std::max<std::uint64_t>(1, openOccurrences);
    open_job_memory memory = occurrenceMemory(graph);
    memory.atRestBytes = jobBytes + heapBytesOf(graph) + occurrences * memory.atRestBytes;
    memory.runBytes *= occurrences;
    for (const job_step &step : graph.steps) {
        // The account of the step names its dependencies once more.
        memory.atRestBytes += sizeof(step_account) + sizeof(std::chrono::milliseconds)
                              + allocatedBytes(step.dependsOn.size() * sizeof(std::uint32_t));
    }
    return memory;
}

} // namespace mango
