#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mango {

// What one task takes of a worker.
struct resource_amounts
{
    // Thousandths of a core.
    std::uint32_t milliCores = 0;
    std::uint32_t memoryMb = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const resource_amounts &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(milliCores, memoryMb, accelerators);
    }
};

// One step of a job: a number of tasks that are alike.
struct job_step
{
    std::uint32_t tasks = 1;
    resource_amounts resources;
    // The caller's rough estimate of one task's run time.
    std::chrono::milliseconds estimate{0};
    // Earlier steps whose tasks must all be done first.
    std::vector<std::uint32_t> dependsOn;
    // The tasks save their progress while they run.
    bool checkpoints = false;
    // The tasks work only all together, and end together.
    bool gang = false;
    // A gang that is slower on more than one rack.
    bool rackSensitive = false;
    // Several runs of one task may run at once; the first that is done counts.
    bool allowsSpeculativeCopies = false;
    // The tasks run until the job is cancelled and are started again however they end.
    bool longRunning = false;
    // The tasks use the cores that others leave; their cores count against no worker.
    bool bestEffort = false;
    // A label that the worker must have; empty when any will do.
    std::string requiredLabel;
    // The rack that holds the data; elsewhere the tasks take longer.
    std::string dataRack;
    // What the tasks execute; tasks of one image behave alike.
    std::string image;
    // At most that many tasks of the step on one worker; 0 when there is no limit.
    std::uint32_t perWorkerLimit = 0;
    // That many tasks of a lasting step may be away at once by the scheduler's own doing.
    std::uint32_t maximumUnavailable = 0;
    // The bound of the tail of response times of a lasting task; 0 when there is none.
    std::chrono::milliseconds tailLatencyTarget{0};

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(tasks, resources, estimate, dependsOn, checkpoints, gang, rackSensitive,
                allowsSpeculativeCopies, longRunning, bestEffort, requiredLabel, dataRack, image,
                perWorkerLimit, maximumUnavailable, tailLatencyTarget);
    }
};

// When the steps of a job run again and again; times are of the wall clock, since 1970.
struct job_schedule
{
    std::uint32_t occurrences = 0;
    std::chrono::milliseconds firstAt{0};
    std::chrono::milliseconds interval{0};

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(occurrences, firstAt, interval);
    }
};

// What a caller hands in: an opaque specification for the workers, and the steps.
struct job_graph
{
    std::string specification;
    std::vector<job_step> steps;
    std::optional<job_schedule> schedule;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(specification, steps, schedule);
    }
};

// Names one task of one occurrence of a job.
struct task_key
{
    std::uint64_t job = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const task_key &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(job, occurrence, step, index);
    }
};

// One start of a task; the numbers of a task's runs rise.
struct run_key
{
    task_key task;
    std::uint32_t run = 0;

    auto operator<=>(const run_key &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(task, run);
    }
};

// A job as sixteen hexadecimal digits, as callers write it.
std::string formatJobId(std::uint64_t job);

// Reads a job's name; nothing when it is not sixteen hexadecimal digits.
std::optional<std::uint64_t> parseJobId(const std::string &text);

// A run for log lines, as JOB.OCCURRENCE.STEP.INDEX/RUN.
std::string toText(const run_key &key);

// Why a graph cannot be a job.
struct graph_failure
{
    enum class kind { noSteps, noTasks, tooManyTasks, laterDependency, specificationTooLong };
    kind reason = kind::noSteps;
    std::uint32_t step = 0;
};

std::string describe(const graph_failure &failure);

// Checks what every accepted job must fulfil.
std::optional<graph_failure> checkGraph(const job_graph &graph);

// The sum of the estimates along the longest chain of steps.
std::chrono::milliseconds criticalPathLength(const job_graph &graph);

} // namespace mango
