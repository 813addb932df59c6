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

// A member of the replica group. The identity belongs to the data directory: a replica whose data
// was erased gets a new identity, so that it cannot vote as the replica that had stored earlier
// entries.
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

// The membership of the replica group.
using members = std::vector<member>;

// The content of a log entry; a no-op starts each term.
enum class log_entry_kind : std::uint8_t { noop, command, membership };

// An entry of the replicated log.
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

// Asks for a vote. With `preVote` it asks only whether the vote would be granted, and changes no
// state. `leadershipTransfer` says that the leader itself requested this election.
struct vote_request
{
    // The identity of the addressee; a process with another identity does not respond.
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

// The response to a vote_request, with the responder's term.
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

// The AppendEntries call of Raft; without entries it is a heartbeat of the leader.
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

// The response to an append_request. When accepted, `matchIndex` is the last index at which the
// logs are known to match, else the index from which the leader tries again.
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

// A chunk of a snapshot, for a follower whose next entry is no longer in the leader's log. `index`
// and `indexTerm` are those of the last entry in the snapshot, `group` is the membership in it.
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

// The response to a snapshot_request, with the offset of the chunk that the follower needs next.
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

// Asks a follower to start an election at once, for a leadership transfer when the leader stops.
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

// Introduces a replica to another one, at its start and while it is not a member of a group.
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

// The response to a discovery_request, with the membership that the responder knows.
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

// The membership for the bootstrap, sent by the replica that found all members without data.
struct bootstrap_request
{
    members group;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(group);
    }
};

// The properties and state that a worker announces to an entry.
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
    // The number of runs that have ended on the worker; when it changes, the leader polls the
    // worker at once.
    std::uint64_t endedRuns = 0;

    bool operator==(const worker_announcement &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, incarnation, failureDomain, rack, address, cores, memoryBytes, accelerators,
                slots, connections, leaving, endedRuns);
    }
};

// An entry's credit on a worker: the entry may have at most `held` requests in progress there, and
// has `inUse`.
struct credit_holding
{
    std::string worker;
    std::string incarnation;
    std::uint32_t held = 0;
    std::uint32_t inUse = 0;
    // The mean response time on this worker since the last report; 0 when unknown.
    std::uint32_t responseMicroseconds = 0;
    // Responses and failures since the last report.
    std::uint32_t responses = 0;
    std::uint32_t failures = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(worker, incarnation, held, inUse, responseMicroseconds, responses, failures);
    }
};

// The requests in progress and the queued requests of an entry for a pool.
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

// An entry's periodic report to the control leader, which also renews the lease on its view. Credit
// holdings that have not changed since the last acknowledged report are left out.
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
    // In a complete report, all workers that the entry knows, so that a new leader learns of them
    // at once.
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

// The committed configuration, as far as entries need it.
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

// A worker as entries see it; `serving` is false when it has left, is silent or is quarantined.
struct worker_view
{
    worker_announcement announced;
    bool serving = true;
    // Preferred by entries, since it is dedicated to services and runs no batch task.
    bool preferred = false;
    std::uint32_t credit = 0;

    bool operator==(const worker_view &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(announced, serving, preferred, credit);
    }
};

// The response to an entry_report: a lease that starts at the time when the entry sent the report,
// and the changes to its view.
struct entry_view
{
    std::uint64_t session = 0;
    std::uint64_t leaseMs = 0;
    std::uint64_t workersVersion = 0;
    bool workersComplete = false;
    // The leader does not know the session and needs a complete report first.
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

// Asks the leader to commit a command for an entry.
struct propose_request
{
    command change;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(change);
    }
};

// Asks for the state of a job; only the leader responds with it.
struct job_request
{
    std::uint64_t job = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(job);
    }
};

// The response to a job_request; `text` is the state when the job is known.
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

// Asks what is recorded of the requests with a key, for the method and path of one of them; only
// the leader responds with it.
struct key_request
{
    std::string key;
    std::string method;
    std::string path;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(key, method, path);
    }
};

// The response to a key_request: the claim on the key and the job that was submitted with it.
struct key_response
{
    std::optional<claim_record> claim;
    std::optional<std::uint64_t> job;
    // The newest routing table has a route for the request, so that it may yet be run.
    bool routed = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(claim, job, routed);
    }
};

// The callee is not the leader or has no leader lease; `leader` is empty when unknown.
struct not_leader
{
    host_address leader;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(leader);
    }
};

// The callee cannot complete the call now; a proposal may or may not have taken effect.
struct uncertain_outcome
{
    std::string detail;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(detail);
    }
};

// The call could not be decoded or is not allowed.
struct call_refused
{
    std::string detail;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(detail);
    }
};

// The call was carried out and has no result.
struct acknowledged
{
    template<class Archive>
    void serialize(Archive & /*archive*/)
    {}
};

using call_message =
        std::variant<vote_request, append_request, snapshot_request, transfer_leadership_request,
                     discovery_request, bootstrap_request, entry_report, propose_request,
                     job_request, fleet_call, worker_call, key_request>;

// A call with the number of times it has been forwarded; a follower forwards a call to the leader
// only when it has not been forwarded before.
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

using response_message = std::variant<call_refused, not_leader, uncertain_outcome, acknowledged,
                                      vote_response, append_response, snapshot_response,
                                      discovery_response, entry_view, command_result, job_response,
                                      fleet_response, worker_call_answer, key_response>;

} // namespace mango
