#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "State/commands.h"
#include "Wire/fleet_messages.h"

namespace mango {

// One replica of the control program. The identity belongs to its data folder: an emptied folder
// gets a new one, and with it no say in what was agreed before.
struct member
{
    std::string name;
    std::string identity;
    host_address address;
    bool voter = true;

    bool operator==(const member &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, identity, address, voter);
    }
};

using members = std::vector<member>;

enum class log_entry_kind : std::uint8_t { noop, command, membership };

// One record of the replicated log.
struct log_entry
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    log_entry_kind kind = log_entry_kind::noop;
    std::string payload;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(index, term, kind, payload);
    }
};

// Asks for a vote; `preVote` asks only whether it would be given, and changes nothing.
// `leadershipTransfer` says that the leader itself asked for this election.
struct vote_request
{
    // The identity that is asked; a process with another one does not answer for it.
    std::string target;
    std::uint64_t term = 0;
    std::string candidate;
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
    bool preVote = false;
    bool leadershipTransfer = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(target, term, candidate, lastIndex, lastTerm, preVote, leadershipTransfer);
    }
};

struct vote_response
{
    std::uint64_t term = 0;
    bool granted = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(term, granted);
    }
};

struct append_request
{
    std::string target;
    std::uint64_t term = 0;
    std::string leader;
    std::uint64_t previousIndex = 0;
    std::uint64_t previousTerm = 0;
    std::uint64_t commitIndex = 0;
    std::vector<log_entry> entries;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(target, term, leader, previousIndex, previousTerm, commitIndex, entries);
    }
};

// `matchIndex` is the last index known to agree when accepted, else where to try next.
struct append_response
{
    std::uint64_t term = 0;
    bool accepted = false;
    std::uint64_t matchIndex = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(term, accepted, matchIndex);
    }
};

// One piece of a snapshot, for a follower whose next entry is no longer in the log.
struct snapshot_request
{
    std::string target;
    std::uint64_t term = 0;
    std::string leader;
    std::uint64_t index = 0;
    std::uint64_t indexTerm = 0;
    members group;
    std::uint64_t offset = 0;
    bool last = false;
    std::string chunk;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(target, term, leader, index, indexTerm, group, offset, last, chunk);
    }
};

struct snapshot_response
{
    std::uint64_t term = 0;
    std::uint64_t nextOffset = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(term, nextOffset);
    }
};

// Asks a follower to stand for election at once, for a planned stop of the leader.
struct transfer_leadership_request
{
    std::string target;
    std::uint64_t term = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(target, term);
    }
};

// A replica makes itself known to another, at its start and while it is not a member.
struct discovery_request
{
    member self;
    bool belongsToGroup = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(self, belongsToGroup);
    }
};

struct discovery_response
{
    member self;
    bool belongsToGroup = false;
    members group;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(self, belongsToGroup, group);
    }
};

// The first group of members, sent by the replica that found all of them empty.
struct bootstrap_request
{
    members group;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(group);
    }
};

// What a worker says of itself when it announces itself to an entry.
struct worker_announcement
{
    std::string name;
    std::string incarnation;
    std::string failureDomain;
    std::string rack;
    host_address address;
    double cores = 0;
    std::uint64_t memoryBytes = 0;
    std::uint32_t accelerators = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    bool leaving = false;
    // Runs that ended on the worker so far; a change tells the leader to call it at once.
    std::uint64_t endedRuns = 0;

    bool operator==(const worker_announcement &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, incarnation, failureDomain, rack, address, cores, memoryBytes, accelerators,
                slots, connections, leaving, endedRuns);
    }
};

// The part of a worker's request slots that an entry holds: it keeps at most `held` requests
// there at once.
struct credit_holding
{
    std::string worker;
    std::string incarnation;
    std::uint32_t held = 0;
    std::uint32_t inUse = 0;
    // Mean answer time on this worker since the last report, in microseconds; 0 when unknown.
    std::uint32_t responseMicroseconds = 0;
    // Answers and failures since the last report.
    std::uint32_t responses = 0;
    std::uint32_t failures = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(worker, incarnation, held, inUse, responseMicroseconds, responses, failures);
    }
};

// Requests of a pool that an entry serves or keeps waiting.
struct pool_demand
{
    std::string pool;
    std::uint32_t inUse = 0;
    std::uint32_t waiting = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(pool, inUse, waiting);
    }
};

// An entry's regular report to the control leader, which also asks for a new lease on its view.
// Holdings that did not change since the last answered report are left out.
struct entry_report
{
    std::string name;
    std::string incarnation;
    std::string failureDomain;
    std::uint64_t session = 0;
    std::uint64_t configVersion = 0;
    std::uint64_t workersVersion = 0;
    bool leaving = false;
    bool complete = false;
    std::vector<worker_announcement> announcements;
    // In a complete report, every worker the entry knows, so that a new leader knows them at once.
    std::vector<worker_announcement> knownWorkers;
    std::vector<credit_holding> holdings;
    std::vector<pool_demand> demands;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, incarnation, failureDomain, session, configVersion, workersVersion, leaving,
                complete, announcements, knownWorkers, holdings, demands);
    }
};

// The agreed configuration as entries need it.
struct config_view
{
    std::uint64_t version = 0;
    std::string routesText;
    std::string poolsText;
    std::vector<std::string> domainsOutOfService;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(version, routesText, poolsText, domainsOutOfService);
    }
};

// A worker as entries see it; `serving` is false for one that left, vanished or is quarantined.
struct worker_view
{
    worker_announcement announced;
    bool serving = true;
    // Kept free of batch work for the services of its pool.
    bool preferred = false;
    std::uint32_t credit = 0;

    bool operator==(const worker_view &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(announced, serving, preferred, credit);
    }
};

// The answer to an entry's report: its lease, counted from when it sent the report, and what has
// changed in its view.
struct entry_view
{
    std::uint64_t session = 0;
    std::uint64_t leaseMs = 0;
    std::uint64_t workersVersion = 0;
    bool workersComplete = false;
    // The leader does not know the session and needs a complete report before it can go on.
    bool needsCompleteReport = false;
    std::uint64_t leaderTerm = 0;
    std::optional<config_view> config;
    std::vector<worker_view> workers;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(session, leaseMs, workersVersion, workersComplete, needsCompleteReport, leaderTerm,
                config, workers);
    }
};

// Asks the leader to agree on a command, for an entry.
struct propose_request
{
    command change;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(change);
    }
};

// Asks for the state of a job; answered by the leader only.
struct job_request
{
    std::uint64_t job = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(job);
    }
};

struct job_response
{
    bool known = false;
    std::string text;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(known, text);
    }
};

// The callee is not the leader, or has no lease; `leader` is empty when it knows none.
struct not_leader
{
    host_address leader;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(leader);
    }
};

// The callee cannot do what was asked now; nothing is known of whether a proposal took effect.
struct uncertain_outcome
{
    std::string detail;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(detail);
    }
};

// The call was not understood or not allowed.
struct call_refused
{
    std::string detail;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(detail);
    }
};

struct acknowledged
{
    template<class Archive>
    void serialize(Archive & /*archive*/)
    {}
};

using call_message = std::variant<vote_request, append_request, snapshot_request,
                                  transfer_leadership_request, discovery_request, bootstrap_request,
                                  entry_report, propose_request, job_request, fleet_call>;

// A call with the number of relays it has passed; a follower relays once, to the leader.
struct call
{
    std::uint8_t forwardCount = 0;
    call_message message;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(forwardCount, message);
    }
};

using response_message =
        std::variant<call_refused, not_leader, uncertain_outcome, acknowledged, vote_response,
                     append_response, snapshot_response, discovery_response, entry_view,
                     command_result, job_response, fleet_response>;

} // namespace mango
