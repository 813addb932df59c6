#pragma once

#include <cstdint>

#include "Jobs/job_graph.h"

namespace mango {

// Returns how many bytes of memory a graph holds beyond its own size.
std::uint64_t heapBytesOf(const job_graph &graph);

// What an open job, or one open occurrence of it, holds at most in the process that leads.
struct open_job_memory
{
    // Its replicated state and what the leader tracks of it while its tasks wait. Checkpoints count
    // with their usual size.
    std::uint64_t atRestBytes = 0;
    // One run of each task.
    std::uint64_t runBytes = 0;

    [[nodiscard]] std::uint64_t sum() const
    {
        return atRestBytes + runBytes;
    }
};

// Returns what each open occurrence of a job holds.
open_job_memory occurrenceMemory(const job_graph &graph);

// Returns what a job with a number of open occurrences holds. Each job counts with one at least, so
// that it can always open its next one.
open_job_memory jobMemory(const job_graph &graph, std::size_t openOccurrences = 1);

} // namespace mango
