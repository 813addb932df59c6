#pragma once

#include <any>
#include <deque>
#include <functional>
#include <map>
#include <set>

#include <boost/asio/any_io_executor.hpp>

#include "Common/async_lock.h"
#include "Common/metrics_registry.h"
#include "Common/work_meter.h"
#include "Common/random_source.h"
#include "Common/timeline.h"
#include "Consensus/replica_storage.h"
#include "Wire/rpc.h"

namespace mango {

// The replicated state. The replica applies committed commands to it in log order and saves and
// restores it through snapshots. Commands are opaque bytes to the replica; only the state machine
// interprets them.
class state_machine
{
public:
    virtual ~state_machine() = default;
    // Applies one command and returns the result for the proposer; std::nullopt when the payload is
    // not a command that this version of the program knows.
    virtual std::optional<std::any> apply(std::uint64_t index, const std::string &payload) = 0;
    virtual std::string saveSnapshot() = 0;
    // Replaces the state; returns false when the bytes are not a valid snapshot.
    virtual bool loadSnapshot(const std::string &bytes) = 0;
};

struct replica_options
{
    // The name and address of this replica; open() reads the identity from the data folder.
    member self;
    // All replicas of the cluster, including this one, as listed in the settings. Empty when the
    // group is discovered through seeds.
    members configuredMembers;
    // Addresses of some replicas, through which the others are discovered; may be out of date.
    std::vector<host_address> seeds;
    // With seeds: this is the first start of the cluster, so that a new group may be formed.
    bool mayBootstrap = false;
    // With seeds: the number of voters that the group grows to and then maintains.
    std::size_t targetVoters = 5;
    // With seeds: how long a voter must be silent before a learner replaces it.
    std::chrono::milliseconds voterReplacementTimeout{4000};
    std::chrono::milliseconds heartbeatInterval{100};
    // Each election timeout is chosen at random from this range.
    std::chrono::milliseconds minimumElectionTimeout{600};
    std::chrono::milliseconds maximumElectionTimeout{1200};
    // A snapshot is taken after this number of applied entries, or earlier when they have this
    // number of bytes in the log; never before they have as many bytes as the last snapshot.
    std::uint64_t entriesPerSnapshot = 5000;
    std::uint64_t bytesPerSnapshot = 16U << 20U;
};

// Why a proposal was not confirmed as committed. With `notLeader` the command was not appended and
// will never take effect. With `uncertain` it may have been or may still be committed, so that the
// caller must retry it in an idempotent way.
struct propose_failure
{
    enum class kind { notLeader, uncertain };
    kind reason = kind::notLeader;
    // The address of the leader; empty when it is not known.
    host_address leader;
};

enum class replica_role : std::uint8_t { follower, candidate, leader };

// The status of a replica as shown to operators.
struct replica_status
{
    std::string name;
    std::string identity;
    replica_role role = replica_role::follower;
    std::uint64_t term = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    std::uint64_t snapshotIndex = 0;
    std::string leaderName;
    // The committed membership, without changes that are not yet committed. Before the first one is
    // committed, the membership in use.
    members group;
};

// One replica of a replicated log. Implements Raft (Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm") with pre-vote, learners and single-step membership changes.
// Separate coroutines run elections, log writes, applying of committed entries, discovery and
// membership changes; a leader also runs one coroutine per peer for replication.
class replica
{
public:
    replica(boost::asio::any_io_executor executor, clock_source &clock, random_source &random,
            network &links, disk &files, timeline &events, metrics_registry &metricsRegistry,
            replica_options options, state_machine &state, work_meter *work = nullptr);

    // Loads the data folder. Must succeed before start() is called. Fails on input/output errors
    // and when a stored file is corrupt.
    boost::asio::awaitable<result<done, disk_failure>> open();
    void start();
    // Stops the replica. A leader first tries for up to 2 s to transfer leadership.
    boost::asio::awaitable<void> stop();

    // Handles a call from another replica.
    boost::asio::awaitable<response_message> handle(call_message message);

    // Proposes a command and waits up to 5 s until it is committed and applied. Returns the result
    // of state_machine::apply().
    boost::asio::awaitable<result<std::any, propose_failure>> propose(std::string payload);

    // True while this replica is leader, has applied all entries committed in earlier terms, and
    // holds a lease: a majority has confirmed it so recently that no other replica can be elected.
    [[nodiscard]] bool hasLeaderLease() const;
    // True while this replica considers itself the leader of its term, with or without a lease.
    [[nodiscard]] bool isLeader() const
    {
        return m_role == replica_role::leader && !m_stopping;
    }
    // The address of the leader; empty when it is unknown or has not been heard from recently.
    [[nodiscard]] host_address leaderAddress() const;
    [[nodiscard]] std::uint64_t term() const
    {
        return m_vote.term;
    }
    [[nodiscard]] replica_status status() const;
    // Replaces the seeds; the next rounds of discovery use the new addresses.
    void setSeeds(std::vector<host_address> seeds)
    {
        m_options.seeds = std::move(seeds);
    }
    // On a leader, the addresses of the other members that confirmed an append request sent within
    // the last `silence`; sorted.
    [[nodiscard]] std::vector<host_address>
    respondingMembers(std::chrono::milliseconds silence) const;
    // The membership in use, including a change that is not yet committed.
    [[nodiscard]] const members &group() const
    {
        return m_group;
    }

private:
    // The replication state that a leader keeps for one peer.
    struct peer_progress
    {
        // The next entry to send.
        std::uint64_t nextIndex = 1;
        // The last entry known to be durable on the peer.
        std::uint64_t matchIndex = 0;
        // When the last request that the peer answered in this term was sent.
        steady_time lastConfirmed{};
        // True once replicateTo() has been started for the peer.
        bool replicating = false;
    };

    // A proposal whose entry has not been applied yet.
    struct pending_proposal
    {
        std::uint64_t term = 0;
        std::unique_ptr<wait_timer> timer;
        std::optional<std::any> outcome;
        bool abandoned = false;
    };

    // The responses to one round of vote requests.
    struct vote_tally;

    // Elections.
    boost::asio::awaitable<void> runElections();
    boost::asio::awaitable<void> campaign(bool leadershipTransfer);
    boost::asio::awaitable<bool> collectVotes(vote_request request);
    boost::asio::awaitable<void> requestVote(member peer, vote_request request,
                                             std::shared_ptr<vote_tally> tally);
    boost::asio::awaitable<vote_response> handleVote(vote_request request);
    bool candidateIsUpToDate(const vote_request &request) const;
    boost::asio::awaitable<bool> adoptTerm(std::uint64_t term, std::string votedFor);
    void becomeLeader();
    void stepDown();
    [[nodiscard]] steady_time leaseEnd() const;

    // Replication.
    boost::asio::awaitable<void> replicateTo(member peer, std::uint64_t term);
    boost::asio::awaitable<bool> sendEntries(const member &peer, std::uint64_t term);
    boost::asio::awaitable<bool> sendSnapshot(const member &peer, std::uint64_t term);
    boost::asio::awaitable<append_response> handleAppend(append_request request);
    boost::asio::awaitable<snapshot_response> handleSnapshot(snapshot_request request);
    boost::asio::awaitable<void> followLeader(std::uint64_t term, std::string leader);
    boost::asio::awaitable<result<done, disk_failure>> storeEntries(std::vector<log_entry> entries);
    void advanceCommitIndex();
    void startReplication();

    // Log writes and state machine.
    boost::asio::awaitable<void> runLogWriter();
    boost::asio::awaitable<void> runApplier();
    void applyEntry(const log_entry &entry);
    std::string saveState();
    [[nodiscard]] bool isSnapshotDue() const;
    boost::asio::awaitable<void> takeSnapshot();
    // Drops the entries of the snapshot that followers hardly need any more.
    void dropEntriesOfSnapshot();
    void completeProposal(std::uint64_t index, std::uint64_t term, std::any outcome);
    void abandonProposalsBefore(std::uint64_t index);

    // Membership.
    boost::asio::awaitable<void> runDiscovery();
    boost::asio::awaitable<void> runMembershipChanges();
    boost::asio::awaitable<void> bootstrapFromSettings();
    boost::asio::awaitable<void> discoverFromSeeds();
    boost::asio::awaitable<void> bootstrapFromSeeds(members found);
    [[nodiscard]] bool usesSeeds() const
    {
        return !m_options.seeds.empty();
    }
    boost::asio::awaitable<response_message> handleBootstrap(bootstrap_request request);
    discovery_response handleDiscovery(const discovery_request &request);
    std::optional<members> nextMembership();
    std::optional<members> replaceConfiguredMember(const member &joining);
    std::optional<members> addLearner(const member &joining);
    std::optional<members> promoteLearner();
    [[nodiscard]] bool isSilentFor(const member &one, std::chrono::milliseconds duration);
    std::uint64_t appendEntry(log_entry_kind kind, std::string payload);
    [[nodiscard]] members groupAt(std::uint64_t index) const;
    void refreshGroup();

    // The log in memory, and the membership.
    [[nodiscard]] std::uint64_t lastIndex() const;
    [[nodiscard]] std::uint64_t termAt(std::uint64_t index) const;
    [[nodiscard]] const log_entry &entryAt(std::uint64_t index) const;
    [[nodiscard]] const member *findMember(const std::string &identity) const;
    [[nodiscard]] bool isVoter() const;
    [[nodiscard]] std::size_t majority() const;
    std::shared_ptr<rpc_client> clientOf(const member &peer);

    boost::asio::any_io_executor m_executor;
    clock_source &m_clock;
    random_source &m_random;
    network &m_links;
    timeline &m_events;
    metrics_registry &m_metricsRegistry;
    work_meter *m_work;
    replica_options m_options;
    state_machine &m_state;
    replica_storage m_storage;

    replica_role m_role = replica_role::follower;
    stored_vote m_vote;
    std::string m_leader;
    steady_time m_lastLeaderContact{};
    steady_time m_leaderSince{};
    bool m_transferringLeadership = false;
    bool m_stopping = false;

    // The entries from m_firstIndex on; earlier ones are covered by the snapshot. m_termBeforeLog
    // is the term of the entry before m_firstIndex.
    std::deque<log_entry> m_entries;
    std::uint64_t m_firstIndex = 1;
    std::uint64_t m_termBeforeLog = 0;
    std::uint64_t m_durableIndex = 0;
    std::uint64_t m_commitIndex = 0;
    std::uint64_t m_appliedIndex = 0;
    std::uint64_t m_termStartIndex = 0;
    stored_snapshot m_snapshot;
    // No snapshot is taken before.
    steady_time m_snapshotRetryAt{};
    std::string m_incomingSnapshot;

    members m_group;
    // The membership as of the entry before m_firstIndex.
    members m_groupBeforeLog;
    std::map<std::string, member> m_joiningMembers;
    // Addresses at which replicas are known, contacted while this one is not a member or hears no
    // leader.
    std::set<host_address> m_knownAddresses;
    steady_time m_openedAt{};
    std::map<std::string, peer_progress> m_peerProgress;
    std::map<host_address, std::shared_ptr<rpc_client>> m_clients;
    std::map<std::uint64_t, pending_proposal *> m_pendingProposals;

    // Held while the stored vote, log or snapshot is changed.
    async_lock m_storageLock;
    wake_event m_entriesAppended;
    wake_event m_commitAdvanced;
    wake_event m_roleChanged;
};

} // namespace mango
