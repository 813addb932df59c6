#pragma once

#include <deque>
#include <map>
#include <set>

#include "State/commands.h"

namespace mango {

// The verdict that a change id got first, returned again when the change is sent again.
struct remembered_change
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

// Everything the replicas agree on. Changed only by apply(), in log order, so that every replica
// holds the same; the parsed tables and the indexes are rebuilt from the rest.
struct cluster_state
{
    std::uint64_t configVersion = 0;
    std::map<table_kind, table_record> tables;
    std::map<std::string, domain_record> domains;
    std::deque<remembered_change> changes;
    std::uint64_t nextJob = 1;
    std::map<std::uint64_t, job_record> jobs;
    std::map<task_id, task_record> tasks;
    std::map<std::string, claim_record> claims;

    routes parsedRoutes;
    pools parsedPools;
    std::map<std::string, std::uint64_t> jobsByKey;
    std::deque<std::pair<std::uint64_t, std::string>> claimsByAge;
    std::set<task_id> unfinishedTasks;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(configVersion, tables, domains, changes, nextJob, jobs, tasks, claims);
    }
};

// Applies one agreed command and returns its verdict; the same on every replica.
command_result apply(cluster_state &state, const command &change);

// Rebuilds the parsed tables and the indexes after a snapshot was loaded.
void rebuildIndexes(cluster_state &state);

// The state as snapshot bytes, and back; false when the bytes are not a snapshot.
std::string encodeState(const cluster_state &state);
bool decodeState(const std::string &bytes, cluster_state &state);

// A command as log bytes, and back; false when the bytes are not a command.
std::string encodeCommand(const command &change);
bool decodeCommand(const std::string &bytes, command &change);

} // namespace mango
