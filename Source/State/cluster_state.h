#pragma once

#include <deque>
#include <map>
#include <set>

#include "State/commands.h"

namespace mango {

// The result of an operator's change. It is returned again if a change with the same id is
// repeated.
struct idempotency_record
{
    std::string changeId;
    std::string fingerprint;
    command_result outcome;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(changeId, fingerprint, outcome);
    }
};

// The replicated state machine. It is modified only by apply(), in log order, so that all replicas
// hold the same state.
struct cluster_state
{
    std::uint64_t configVersion = 0;
    std::map<table_kind, table_record> tables;
    std::map<std::string, domain_record> domains;
    // Oldest first.
    std::deque<idempotency_record> idempotencyRecords;
    std::uint64_t nextJob = 1;
    std::map<std::uint64_t, job_record> jobs;
    std::map<task_id, task_record> tasks;
    // By idempotency key.
    std::map<std::string, claim_record> claims;
    route_history routesSince;

    // Derived from the fields above and not part of a snapshot; see rebuildIndexes().
    routes parsedRoutes;
    pools parsedPools;
    std::map<std::string, std::uint64_t> jobsByKey;
    std::deque<std::pair<std::uint64_t, std::string>> claimsByAge;
    std::set<task_id> unfinishedTasks;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(configVersion, tables, domains, idempotencyRecords, nextJob, jobs, tasks, claims,
                routesSince);
    }
};

// Applies one committed command and returns its result, which is the same on every replica.
command_result apply(cluster_state &state, const command &change);

// Rebuilds the parsed tables and the indexes after a snapshot has been loaded.
void rebuildIndexes(cluster_state &state);

// Encodes the state as a snapshot.
std::string encodeState(const cluster_state &state);

// Decodes a snapshot and rebuilds the indexes. Returns false if the bytes are not a valid snapshot.
bool decodeState(const std::string &bytes, cluster_state &state);

// Encodes a command as the content of a log entry.
std::string encodeCommand(const command &change);

// Decodes the content of a log entry. Returns false if the bytes are not a valid command.
bool decodeCommand(const std::string &bytes, command &change);

} // namespace mango
