#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mango {

// Amounts of each kind of resource: what a task requests, or what a worker has.
struct resource_amounts
{
    // In thousandths of a core.
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

// One step of a job: a set of identical tasks.
struct job_step
{
    std::uint32_t tasks = 1;
    resource_amounts resources;
    // The caller's rough estimate of the run time of one task.
    std::chrono::milliseconds estimate{0};
    // Indexes of earlier steps, all of whose tasks must be done before this step starts.
    std::vector<std::uint32_t> dependsOn;
    // The tasks write checkpoints and can resume from the latest one.
    bool checkpoints = false;
    // Gang scheduling: all tasks run at the same time, and all end when one of them ends.
    bool gang = false;
    // The tasks of the gang run slower when they are spread over more than one rack.
    bool rackSensitive = false;
    // Several runs of a task may be active at the same time; the first to finish decides.
    bool allowsSpeculativeCopies = false;
    // The tasks run until the job is cancelled, and are restarted whatever their outcome.
    bool longRunning = false;
    // The tasks use only cores that are otherwise idle; their cores are not deducted from the
    // worker's capacity.
    bool bestEffort = false;
    // Label that the worker must have; empty for no constraint.
    std::string requiredLabel;
    // Rack that holds the input data; the tasks run slower on other racks. Empty for none.
    std::string dataRack;
    // Image that the tasks execute. Interference is estimated per image.
    std::string image;
    // Maximum number of tasks of the step on one worker; 0 for no limit.
    std::uint32_t perWorkerLimit = 0;
    // Disruption budget of a long-running step: the number of its tasks that the scheduler itself
    // may have stopped at the same time.
    std::uint32_t maximumUnavailable = 0;
    // Tail latency objective of a long-running task; 0 for none.
    std::chrono::milliseconds tailLatencyTarget{0};

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(tasks, resources, estimate, dependsOn, checkpoints, gang, rackSensitive,
                allowsSpeculativeCopies, longRunning, bestEffort, requiredLabel, dataRack, image,
                perWorkerLimit, maximumUnavailable, tailLatencyTarget);
    }
};

// Schedule of a recurring job. Times are wall-clock times since the Unix epoch.
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

// A job as submitted by a caller: an opaque specification that is passed on to the workers, and a
// graph of steps.
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

// Identifies one task of one occurrence of a job.
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

// Identifies one execution of a task. Run numbers of a task increase strictly.
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

// Returns the job id as 16 lower-case hexadecimal digits, the form used in the public API.
std::string formatJobId(std::uint64_t job);

// Parses a job id; nullopt unless the text consists of exactly 16 hexadecimal digits.
std::optional<std::uint64_t> parseJobId(const std::string &text);

// Returns the job id at the end of a path; nullopt unless the path ends with 16 hexadecimal digits.
std::optional<std::uint64_t> trailingJobId(const std::string &path);

// Formats a task as JOB.OCCURRENCE.STEP.INDEX.
std::string toText(const task_key &key);

// Formats a run as JOB.OCCURRENCE.STEP.INDEX/RUN for log lines.
std::string toText(const run_key &key);

// The greatest number of tasks of one job at a time. Keeps a single job from filling the replicated
// log; larger than any job of the largest known deployment.
inline constexpr std::uint64_t maximumTasks = 20'000;

// Returns the number of tasks of all steps, of one occurrence.
std::uint64_t countTasks(const job_graph &graph);

// Reason why a job graph is invalid.
struct graph_failure
{
    enum class kind { noSteps, noTasks, tooManyTasks, laterDependency, specificationTooLong };
    kind reason = kind::noSteps;
    // Index of the invalid step; 0 if the failure concerns the whole job.
    std::uint32_t step = 0;
};

// Returns the message for the caller whose job was rejected.
std::string describe(const graph_failure &failure);

// Validates a submitted job graph; nullopt if it is valid.
std::optional<graph_failure> checkGraph(const job_graph &graph);

// Returns the length of the critical path: the largest sum of run time estimates over any chain of
// dependent steps.
std::chrono::milliseconds criticalPathLength(const job_graph &graph);

} // namespace mango
