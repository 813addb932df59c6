#pragma once

#include <deque>
#include <map>
#include <set>
#include <variant>

#include "Fleet/configuration.h"
#include "Fleet/worker_record.h"
#include "Scheduling/image_interference.h"

namespace mango {

// Puts a configuration in force when its version is higher than that in force.
struct adopt_configuration
{
    fleet_configuration configuration;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(configuration);
    }
};

// Takes a failure domain out of service or back in.
struct set_domain_availability
{
    std::string failureDomain;
    bool outOfService = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(failureDomain, outOfService);
    }
};

// Notes a worker's record; a newer life of the same id replaces the older one.
struct register_worker
{
    worker_record record;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(record);
    }
};

// Forgets one life of a worker.
struct remove_worker
{
    worker_incarnation incarnation;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(incarnation);
    }
};

struct submit_job
{
    std::uint64_t job = 0;
    queue_parameters queueParameters;
    job_graph graph;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(job, queueParameters, graph);
    }
};

struct cancel_job
{
    std::uint64_t job = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(job);
    }
};

// Notes that runs are about to be started; it is agreed on before any worker is called.
struct begin_runs
{
    struct run_start
    {
        run_key key;
        worker_incarnation worker;

        template<class Archive>
        void serialize(Archive &archive)
        {
            archive(key, worker);
        }
    };
    std::vector<run_start> runs;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(runs);
    }
};

// Notes how runs ended; it is agreed on before the ends are acknowledged to the workers.
struct end_runs
{
    struct run_end
    {
        run_key key;
        run_outcome outcome = run_outcome::done;
        std::string checkpoint;

        template<class Archive>
        void serialize(Archive &archive)
        {
            archive(key, outcome, checkpoint);
        }
    };
    // Tells the proposer which of its commands was applied.
    std::uint64_t proposalId = 0;
    std::vector<run_end> ends;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(proposalId, ends);
    }
};

// Keeps what the leader has learned of images that disturb each other for the next one.
struct record_pressures
{
    std::vector<known_pressure> pressures;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(pressures);
    }
};

using fleet_command =
        std::variant<adopt_configuration, set_domain_availability, register_worker, remove_worker,
                     submit_job, cancel_job, begin_runs, end_runs, record_pressures>;

// What the proposer of a command is told.
enum class fleet_command_result : std::uint8_t {
    applied,
    // It was so already, or something newer is in force.
    unchanged,
    // There is no such job.
    unknownJob
};

// Everything that the replicas agree on; changed only by apply(), in log order.
struct fleet_state
{
    fleet_configuration configuration;
    std::set<std::string> domainsOutOfService;
    std::map<std::string, worker_record> workers;
    // Jobs that are open or have runs that may be at work.
    std::map<std::uint64_t, job_state> jobs;
    // How the others ended, and in which order.
    std::map<std::uint64_t, job_phase> finished;
    std::deque<std::uint64_t> finishedOrder;
    std::vector<known_pressure> pressures;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(configuration, domainsOutOfService, workers, jobs, finished, finishedOrder,
                pressures);
    }
};

// Applies one agreed command; the same on every replica.
fleet_command_result apply(fleet_state &state, const fleet_command &change);

// A job's phase; nothing when there is no such job.
std::optional<job_phase> phaseOf(const fleet_state &state, std::uint64_t job);

// The accepted jobs of a queue of which no task has started.
std::uint64_t countQueuedJobs(const fleet_state &state, const queue_route &route);

} // namespace mango
