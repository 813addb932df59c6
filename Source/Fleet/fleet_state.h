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
struct set_domain
{
    std::string failureDomain;
    bool out = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(failureDomain, out);
    }
};

// Notes a worker's record; a newer life of the same id replaces the older one.
struct note_worker
{
    worker_record record;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(record);
    }
};

// Forgets one life of a worker.
struct forget_worker
{
    worker_life life;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(life);
    }
};

struct submit_graph
{
    std::uint64_t job = 0;
    queue_terms terms;
    job_graph graph;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(job, terms, graph);
    }
};

struct cancel_graph
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
    struct one_run
    {
        run_key key;
        worker_life where;

        template<class Archive>
        void serialize(Archive &archive)
        {
            archive(key, where);
        }
    };
    std::vector<one_run> runs;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(runs);
    }
};

// Notes how runs ended; it is agreed on before the ends are acknowledged to the workers.
struct end_runs
{
    struct one_end
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
    std::uint64_t batch = 0;
    std::vector<one_end> ends;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(batch, ends);
    }
};

// Keeps what the leader has learned of images that disturb each other for the next one.
struct note_pressures
{
    std::vector<pressure_record> pressures;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(pressures);
    }
};

using fleet_command =
        std::variant<adopt_configuration, set_domain, note_worker, forget_worker, submit_graph,
                     cancel_graph, begin_runs, end_runs, note_pressures>;

// What the proposer of a command is told.
enum class fleet_verdict : std::uint8_t {
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
    std::set<std::string> domainsOut;
    std::map<std::string, worker_record> workers;
    // Jobs that are open or have runs that may be at work.
    std::map<std::uint64_t, graph_job> jobs;
    // How the others ended, and in which order.
    std::map<std::uint64_t, job_phase> finished;
    std::deque<std::uint64_t> finishedOrder;
    std::vector<pressure_record> pressures;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(configuration, domainsOut, workers, jobs, finished, finishedOrder, pressures);
    }
};

// Applies one agreed command; the same on every replica.
fleet_verdict apply(fleet_state &state, const fleet_command &change);

// A job's phase; nothing when there is no such job.
std::optional<job_phase> phaseOf(const fleet_state &state, std::uint64_t job);

// The accepted jobs of a queue of which no task has started.
std::uint64_t countWaiting(const fleet_state &state, const queue_route &route);

} // namespace mango
