#pragma once

#include <optional>
#include <set>
#include <string>
#include <variant>

#include "Fleet/configuration.h"
#include "Fleet/worker_client.h"

namespace mango {

// A caller submits a job. The leader derives the queue and the job from the path of the request.
struct submit_call
{
    std::string host;
    std::string path;
    job_graph graph;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(host, path, graph);
    }
};

// A caller asks for the phase of a job, or for the length of a queue when the path names no job.
struct query_call
{
    std::string host;
    std::string path;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(host, path);
    }
};

// A caller cancels a job.
struct cancel_call
{
    std::string host;
    std::string path;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(host, path);
    }
};

// An operator replaces the configuration.
struct configure_call
{
    fleet_configuration configuration;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(configuration);
    }
};

// An operator reads the configuration.
struct read_configuration_call
{
    template<class Archive>
    void serialize(Archive & /*archive*/)
    {}
};

// An operator takes a failure domain out of service or puts it back into service.
struct domain_call
{
    std::string failureDomain;
    bool outOfService = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(failureDomain, outOfService);
    }
};

// A worker reports that it is alive.
struct heartbeat_call
{
    worker_heartbeat heartbeat;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(heartbeat);
    }
};

// A worker reports that it is exiting.
struct worker_exit_call
{
    std::string worker;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(worker);
    }
};

// An entry asks for the members of the replica group, the leader and the limits of callers.
struct group_call
{
    template<class Archive>
    void serialize(Archive & /*archive*/)
    {}
};

using fleet_request =
        std::variant<submit_call, query_call, cancel_call, configure_call, read_configuration_call,
                     domain_call, heartbeat_call, worker_exit_call, group_call>;

// A call to the leader; another replica forwards it once.
struct fleet_call
{
    fleet_request request;
    // How many commands the group had certainly applied before the request arrived at the first of
    // its processes. Tells a request that was held up from one that was sent after a later command.
    std::uint64_t receivedAfter = 0;
    // The digest of the caller's key; empty without a key.
    std::string keyDigest = {};

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(request, receivedAfter, keyDigest);
    }
};

// The outcome of a call.
enum class fleet_outcome : std::uint8_t {
    accepted,
    // Not accepted and without effect; the caller may retry after `retryAfter`.
    refused,
    // Rejected permanently; `text` gives the reason.
    invalid,
    unknownQueue,
    unknownJob,
    // The leader has no configuration yet.
    notConfigured,
    // The call may or may not have been accepted.
    uncertain,
    // No leader is known, or the callee has lost contact with the group; the call had no effect.
    unavailable,
    // The queue needs a key, and the caller has none that the configuration knows.
    unauthorized,
    // Not accepted and without effect, since open jobs hold all memory that they may; the caller
    // may retry after `retryAfter`.
    overloaded
};

// The response to a fleet_call; the fields that do not apply are empty.
struct fleet_response
{
    fleet_outcome outcome = fleet_outcome::unavailable;
    // When refused or overloaded: how long to wait before a retry.
    std::chrono::milliseconds retryAfter{0};
    std::optional<job_phase> phase;
    std::optional<std::uint64_t> waiting;
    // The text of the configuration, or the reason why the call was rejected or the job has failed.
    std::string text;
    // The leader's address for calls between processes; empty when unknown.
    host_address leader;
    // The addresses of the members of the replica group.
    std::vector<host_address> group;
    std::optional<caller_limits> limits;
    // How many commands the process that answers has applied.
    std::uint64_t commandsApplied = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(outcome, retryAfter, phase, waiting, text, leader, group, limits, commandsApplied);
    }
};

// Stops a run on a worker.
struct stop_run_request
{
    run_key key;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(key);
    }
};

// Limits a run on a worker to a share of its full speed, in percent.
struct throttle_run_request
{
    run_key key;
    std::uint32_t percent = 100;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(key, percent);
    }
};

// The leader asks another replica to send a request to a worker. The relay keeps no state of the
// worker and sends the request once.
struct worker_call
{
    worker_call_target worker;
    // When the leader sent the call, on its own monotonic clock.
    std::chrono::milliseconds sentAt{0};
    std::variant<start_run_request, stop_run_request, throttle_run_request, renew_lease_request>
            request;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(worker, sentAt, request);
    }
};

// The result of a worker_call.
struct worker_call_answer
{
    std::variant<worker_response, worker_report> answer;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(answer);
    }
};

} // namespace mango
