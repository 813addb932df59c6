#pragma once

#include <deque>
#include <map>
#include <set>
#include <variant>

#include "Fleet/configuration.h"
#include "Fleet/recent_commands.h"
#include "Fleet/worker_record.h"
#include "Scheduling/image_interference.h"

namespace mango {

// Replaces the configuration unless the current one has the same or a higher version.
struct adopt_configuration
{
    fleet_configuration configuration;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(configuration);
    }
};

// Takes a failure domain out of service, or puts it back into service, unless the opposite was
// ordered after the order arrived.
struct set_domain_availability
{
    std::string failureDomain;
    bool outOfService = false;
    // How many commands had certainly been applied before the order arrived.
    std::uint64_t receivedAfter = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(failureDomain, outOfService, receivedAfter);
    }
};

// Records a worker's announced properties. A newer incarnation replaces an older one of the same
// id, and a later heartbeat an earlier one of the same incarnation, never the reverse.
struct register_worker
{
    worker_record record;
    // The sequence number of the heartbeat.
    std::uint64_t sequence = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(record, sequence);
    }
};

// Removes a worker if the given incarnation is the recorded one.
struct remove_worker
{
    worker_incarnation incarnation;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(incarnation);
    }
};

// Creates a job unless one with the same id is known, or has been cancelled before it was known.
struct submit_job
{
    std::uint64_t job = 0;
    queue_parameters queueParameters;
    job_graph graph;
    // How many commands had certainly been applied before the submission arrived.
    std::uint64_t receivedAfter = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(job, queueParameters, graph, receivedAfter);
    }
};

// Cancels a job if it is open. Its active runs remain recorded until they end. The cancel of an
// unknown job is recorded, since its submission may have been held up and arrive later.
struct cancel_job
{
    std::uint64_t job = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(job);
    }
};

// Records that runs are about to be started. It is committed before any worker is called, so that a
// new leader knows every run that may be executing.
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

// Records how runs ended. It is committed before the ends are acknowledged to the workers, which
// drop them then.
struct end_runs
{
    struct run_end
    {
        run_key key;
        run_outcome outcome = run_outcome::done;
        std::string checkpoint;
        // How long the run is known to have lasted.
        std::chrono::milliseconds lastedFor{0};
        // Of a run whose worker crashed.
        crash_evidence crash = {};

        template<class Archive>
        void serialize(Archive &archive)
        {
            archive(key, outcome, checkpoint, lastedFor, crash);
        }
    };
    // Lets the proposer recognise its own command when it is applied.
    std::uint64_t proposalId = 0;
    std::vector<run_end> ends;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(proposalId, ends);
    }
};

// Records what became known of runs that ended with the silence of their workers.
struct explain_silences
{
    struct explanation
    {
        run_key key;
        // Nothing when the worker has not crashed.
        std::optional<crash_evidence> crash;

        template<class Archive>
        void serialize(Archive &archive)
        {
            archive(key, crash);
        }
    };
    std::vector<explanation> explanations;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(explanations);
    }
};

// Saves the pressures between images that the leader has estimated, for the next leader.
struct record_pressures
{
    std::vector<pressure_record> pressures;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(pressures);
    }
};

// Opens occurrences of scheduled jobs, in order, until a number of them have been opened.
struct open_occurrences
{
    struct opening
    {
        std::uint64_t job = 0;
        std::uint32_t count = 0;

        template<class Archive>
        void serialize(Archive &archive)
        {
            archive(job, count);
        }
    };
    std::vector<opening> openings;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(openings);
    }
};

using fleet_command = std::variant<adopt_configuration, set_domain_availability, register_worker,
                                   remove_worker, submit_job, cancel_job, begin_runs, end_runs,
                                   record_pressures, explain_silences, open_occurrences>;

// Result of applying a command, returned to its proposer.
enum class fleet_command_result : std::uint8_t {
    applied,
    // The state already matches, or holds something newer.
    unchanged,
    // No job has this id.
    unknownJob,
    // The call may have been held up since before a command that contradicts it; no effect.
    overtaken
};

// The replicated state; changed only by apply(), in log order.
struct fleet_state
{
    fleet_configuration configuration;
    std::set<std::string> domainsOutOfService;
    std::map<std::string, worker_record> workers;
    // By worker: the sequence number of the heartbeat that its record is from.
    std::map<std::string, std::uint64_t> heartbeatSequences;
    // The number of incarnations registered so far, of all workers, and by worker the number of its
    // recorded incarnation among them. It exceeds those of the worker's earlier incarnations, also
    // of ones whose record was removed.
    std::uint64_t incarnationsRegistered = 0;
    std::map<std::string, std::uint64_t> incarnationNumbers;
    // Jobs that are open or have runs that may still be executing.
    std::map<std::uint64_t, job_state> jobs;
    // Final phases of the most recent other jobs, and the order in which those jobs ended.
    std::map<std::uint64_t, job_phase> finished;
    std::deque<std::uint64_t> finishedOrder;
    // The customers of those of them that have one.
    std::map<std::uint64_t, customer_id> finishedOwners;
    // Why those of them failed that did.
    std::map<std::uint64_t, job_failure_report> failures;
    std::vector<pressure_record> pressures;
    // The number of commands applied so far, which is also the number of the latest one.
    std::uint64_t commandsApplied = 0;
    // The changes of the failure domains that are or were out of service.
    recent_commands<std::string> domainChanges;
    // The cancels of unknown jobs.
    recent_commands<std::uint64_t> earlyCancels;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(configuration, domainsOutOfService, workers, heartbeatSequences,
                incarnationsRegistered, incarnationNumbers, jobs, finished, finishedOrder,
                finishedOwners, failures, pressures, commandsApplied, domainChanges, earlyCancels);
    }
};

// Applies one committed command. Deterministic: gives the same result on every replica.
fleet_command_result apply(fleet_state &state, const fleet_command &change);

// Returns true when a heartbeat of the incarnation with this sequence number was sent before the
// one that the worker's record is from.
bool isOvertaken(const fleet_state &state, const worker_incarnation &incarnation,
                 std::uint64_t sequence);

// Returns the number of the worker's recorded incarnation among all that were registered; 0 when
// the incarnation is not the recorded one.
std::uint64_t incarnationNumber(const fleet_state &state, const worker_incarnation &incarnation);

// Returns true when an order that would change the availability of a failure domain may have been
// sent before the latest change of it. `receivedAfter` is as for isCancelledEarly().
bool isDomainOrderOvertaken(const fleet_state &state, const std::string &failureDomain,
                            std::uint64_t receivedAfter);

// Returns true when an unknown job has been cancelled and its submission must not create it. While
// the cancel is kept, this holds for each submission: the network may hold up a submission for any
// time, and the caller has been told that the job does not exist. After that, it holds for those
// that may have been sent before the cancel: `receivedAfter` is the number of commands that had
// certainly been applied before the submission arrived.
bool isCancelledEarly(const fleet_state &state, std::uint64_t job, std::uint64_t receivedAfter);

// Returns the phase of a job; nullopt when the job is unknown.
std::optional<job_phase> phaseOf(const fleet_state &state, std::uint64_t job);

// Returns the customer of a job; 0 when it has none, or the job is unknown.
customer_id ownerOf(const fleet_state &state, std::uint64_t job);

// Returns why a job has failed; null when it has not, or is unknown.
const job_failure_report *failureOf(const fleet_state &state, std::uint64_t job);

// Returns the number of jobs of a queue of which no task has been started yet.
std::uint64_t countQueuedJobs(const fleet_state &state, const queue_route &route);

} // namespace mango
