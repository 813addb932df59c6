#pragma once

#include <any>
#include <deque>
#include <functional>
#include <map>
#include <set>

#include <boost/asio/any_io_executor.hpp>

#include "Common/async_lock.h"
#include "Common/counters.h"
#include "Common/random_source.h"
#include "Common/timeline.h"
#include "Consensus/replica_storage.h"
#include "Wire/rpc.h"

namespace mango {

// What the replicas agree on: commands are applied in log order, and the whole can be saved and
// loaded. The commands are bytes here; only the state machine knows what they say.
class state_machine
{
public:
    virtual ~state_machine() = default;
    // Applies one command and returns what the proposer is told; nothing when the bytes are no
    // command that this version knows.
    virtual std::optional<std::any> apply(std::uint64_t index, const std::string &payload) = 0;
    virtual std::string saveSnapshot() = 0;
    // False when the bytes are not a snapshot.
    virtual bool loadSnapshot(const std::string &bytes) = 0;
};

struct replica_options
{
    // This replica's name and address; the identity comes from its data folder.
    member self;
    // Every replica of the cluster as the settings list them, this one included. Empty when the
    // group is found through seeds.
    members configuredMembers;
    // Addresses of some replicas, from which the others are learned; they may be out of date.
    std::vector<host_address> seeds;
    // With seeds: the cluster starts for the first time, so that a group may be formed.
    bool mayBootstrap = false;
    // With seeds: the number of voters that the group grows to and keeps.
    std::size_t targetVoters = 5;
    // With seeds: how long a voter must be silent before a learner takes its place.
    std::chrono::milliseconds voterReplacementTimeout{4000};
    std::chrono::milliseconds heartbeatInterval{100};
    std::chrono::milliseconds minimumElectionTimeout{600};
    std::chrono::milliseconds maximumElectionTimeout{1200};
    // A snapshot is taken after that many applied entries.
    std::uint64_t entriesPerSnapshot = 5000;
};

// Why a command was not agreed on. After `notLeader` it certainly was not and never will be;
// after `uncertain` it may be, so that the caller must ask again in a way that is idempotent.
struct propose_failure
{
    enum class kind { notLeader, uncertain };
    kind reason = kind::notLeader;
    host_address leader;
};

enum class replica_role : std::uint8_t { follower, candidate, leader };

// What a replica shows of itself to operators.
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
    // As agreed on: a change that is still on its way is not shown.
    members group;
};

// One replica of a replicated log (Raft: Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", with its pre-vote, learners and one-step membership change). It runs as
// one coroutine for elections, one for the disk, one for applying, and one for each peer while it
// leads.
class replica
{
public:
    replica(boost::asio::any_io_executor executor, clock_source &clock, random_source &random,
            network &links, disk &files, timeline &events, counters &counted,
            replica_options options, state_machine &state);

    // Loads the data folder; must succeed before start().
    boost::asio::awaitable<result<done, disk_failure>> open();
    void start();
    // Hands leadership over when it leads, then takes no further part.
    boost::asio::awaitable<void> stop();

    // Answers a call of another replica.
    boost::asio::awaitable<answer_message> handle(call_message message);

    // Has a command agreed on and applied; the verdict is the state machine's.
    boost::asio::awaitable<result<std::any, propose_failure>> propose(std::string payload);

    // True while it leads, has applied everything agreed before its term, and a majority has
    // confirmed it so recently that no other replica can lead.
    [[nodiscard]] bool hasLeaderLease() const;
    // True while it is the leader of its term as far as it knows, confirmed or not.
    [[nodiscard]] bool isLeader() const
    {
        return m_role == replica_role::leader && !m_stopping;
    }
    // The leader's address, or an empty one when it is not known.
    [[nodiscard]] host_address leaderAddress() const;
    [[nodiscard]] std::uint64_t term() const
    {
        return m_vote.term;
    }
    [[nodiscard]] replica_status status() const;
    // Learns of other replicas from these addresses too.
    void setSeeds(std::vector<host_address> seeds)
    {
        m_options.seeds = std::move(seeds);
    }
    [[nodiscard]] const members &group() const
    {
        return m_group;
    }

private:
    // What a leader knows of one peer.
    struct peer_progress
    {
        std::uint64_t nextIndex = 1;
        std::uint64_t matchIndex = 0;
        steady_time lastConfirmed{};
        bool replicating = false;
    };

    // A proposal whose entry is not applied yet.
    struct pending_proposal
    {
        std::uint64_t term = 0;
        std::unique_ptr<wait_timer> timer;
        std::optional<std::any> outcome;
        bool abandoned = false;
    };

    // The answers to one round of vote requests.
    struct vote_tally;

    // Elections.
    boost::asio::awaitable<void> runElections();
    boost::asio::awaitable<void> campaign(bool handover);
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

    // Disk and state machine.
    boost::asio::awaitable<void> runLogWriter();
    boost::asio::awaitable<void> runApplier();
    void applyEntry(const log_entry &entry);
    boost::asio::awaitable<void> takeSnapshot();
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
    boost::asio::awaitable<answer_message> handleBootstrap(form_request request);
    hello_response handleHello(const hello_request &request);
    std::optional<members> nextMembership();
    std::optional<members> replaceConfiguredMember(const member &joining);
    std::optional<members> addLearner(const member &joining);
    std::optional<members> promoteLearner();
    [[nodiscard]] bool isSilentFor(const member &one, std::chrono::milliseconds span);
    std::uint64_t appendEntry(entry_kind kind, std::string payload);
    [[nodiscard]] members groupAt(std::uint64_t index) const;
    void refreshGroup();

    // The log in memory.
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
    counters &m_counted;
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

    // Entries from m_firstIndex on; those before it are in the snapshot only.
    std::deque<log_entry> m_entries;
    std::uint64_t m_firstIndex = 1;
    std::uint64_t m_firstTerm = 0;
    std::uint64_t m_durableIndex = 0;
    std::uint64_t m_commitIndex = 0;
    std::uint64_t m_appliedIndex = 0;
    std::uint64_t m_termStartIndex = 0;
    stored_snapshot m_snapshot;
    std::string m_incomingSnapshot;

    members m_group;
    members m_snapshotGroup;
    std::map<std::string, member> m_joiningMembers;
    // Where replicas were met, for greetings while this one is not a member.
    std::set<host_address> m_knownAddresses;
    steady_time m_openedAt{};
    std::map<std::string, peer_progress> m_peerProgress;
    std::map<host_address, std::shared_ptr<rpc_client>> m_clients;
    std::map<std::uint64_t, pending_proposal *> m_pendingProposals;

    async_lock m_storageLock;
    wake_event m_entriesAppended;
    wake_event m_commitAdvanced;
    wake_event m_roleChanged;
};

} // namespace mango
