#pragma once

#include <optional>
#include <set>
#include <string>
#include <variant>

#include "Fleet/configuration.h"
#include "Fleet/worker_record.h"

namespace mango {

// A caller hands a job in. The path is that of the request; the leader finds queue and job in it.
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

// A caller asks for a job's phase, or for a queue's length when the path names no job.
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

// An operator sends a whole configuration.
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

// An operator takes a failure domain out or back in.
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

// A worker announces itself.
struct heartbeat_call
{
    worker_heartbeat heartbeat;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(heartbeat);
    }
};

// A worker says that it ends now.
struct worker_exit_call
{
    std::string worker;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(worker);
    }
};

// An entry asks for the group, the leader and the limits of callers.
struct group_call
{
    template<class Archive>
    void serialize(Archive & /*archive*/)
    {}
};

using fleet_request =
        std::variant<submit_call, query_call, cancel_call, configure_call, read_configuration_call,
                     domain_call, heartbeat_call, worker_exit_call, group_call>;

// A call for the leader; a replica that does not lead passes it on once.
struct fleet_call
{
    fleet_request request;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(request);
    }
};

// What came of a call.
enum class fleet_outcome : std::uint8_t {
    accepted,
    // Not accepted, and it never will be: come back after retryAfter.
    refused,
    // Refused for good, with the reason.
    invalid,
    unknownQueue,
    unknownJob,
    // The leader has no configuration yet.
    notConfigured,
    // It may have been accepted or not.
    uncertain,
    // Nobody leads now, or the callee has lost touch; nothing was done.
    unavailable
};

struct fleet_response
{
    fleet_outcome outcome = fleet_outcome::unavailable;
    // For a refusal: when another try makes sense.
    std::chrono::milliseconds retryAfter{0};
    std::optional<job_phase> phase;
    std::optional<std::uint64_t> waiting;
    // A configuration's source, or the reason of a refusal.
    std::string text;
    // The leader's address between processes; empty when unknown.
    host_address leader;
    // The addresses of the group's members.
    std::vector<host_address> group;
    std::optional<caller_limits> limits;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(outcome, retryAfter, phase, waiting, text, leader, group, limits);
    }
};

} // namespace mango
