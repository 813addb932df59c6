#include "Consensus/replica.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Common/log.h"
#include "Wire/codec.h"

namespace mango {

namespace asio = boost::asio;

namespace {

constexpr auto proposalTimeout = std::chrono::seconds(5);
constexpr auto diskRetryDelay = std::chrono::milliseconds(200);
// Coroutines without work check at least this often whether the replica is stopping.
// Entries are applied for this long before other work gets its turn.
constexpr auto applyBudget = std::chrono::milliseconds(10);
constexpr auto idleWakeInterval = std::chrono::seconds(1);
constexpr auto leadershipTransferTimeout = std::chrono::seconds(2);
// Entries kept in memory after a snapshot, so that followers that are slightly behind do not need
// the snapshot; no more than this number, and of this size.
constexpr std::uint64_t retainedEntries = 256;
constexpr std::size_t retainedBytes = 4U << 20U;
// The time between attempts to save a snapshot that fail.
constexpr auto snapshotRetryDelay = std::chrono::seconds(1);

// A process whose data folder was emptied has a different identity from the one that the members
// know at its address. It must not confirm entries or grant votes on behalf of the old identity.
bool isAddressedTo(const call_message &message, const std::string &identity)
{
    return std::visit(
            [&](const auto &typed) {
                if constexpr (requires { typed.target; }) {
                    return typed.target == identity;
                } else {
                    return true;
                }
            },
            message);
}

} // namespace

replica::replica(asio::any_io_executor executor, clock_source &clock, random_source &random,
                 network &links, disk &files, timeline &events, metrics_registry &metricsRegistry,
                 replica_options options, state_machine &state, work_meter *work)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_random(random)
    , m_links(links)
    , m_events(events)
    , m_metricsRegistry(metricsRegistry)
    , m_work(work)
    , m_options(std::move(options))
    , m_state(state)
    , m_storage(files)
    , m_storageLock(clock)
    , m_entriesAppended(clock)
    , m_commitAdvanced(clock)
    , m_roleChanged(clock)
{}

asio::awaitable<result<done, disk_failure>> replica::open()
{
    auto loading = co_await m_storage.load(randomIdentifier(m_random));
    if (failed(loading)) {
        co_return failureOf(loading);
    }
    stored_replica &loaded = valueOf(loading);
    if (loaded.tornTail) {
        logWarn(log_part::storage, "Removed an incomplete record from the end of the log.");
    }
    m_options.self.identity = loaded.identity;
    m_vote = loaded.vote;
    m_snapshot = std::move(loaded.snapshot);
    m_groupBeforeLog = m_snapshot.group;
    if (m_snapshot.index > 0 && !m_state.loadSnapshot(m_snapshot.state)) {
        co_return disk_failure{disk_failure::kind::corrupt, "snapshot", "not a valid state"};
    }
    m_entries = std::move(loaded.entries);
    m_firstIndex = m_snapshot.index + 1;
    m_termBeforeLog = m_snapshot.term;
    m_durableIndex = lastIndex();
    m_commitIndex = m_snapshot.index;
    m_appliedIndex = m_snapshot.index;
    refreshGroup();
    // Count as if a leader had just been heard: granting a vote right after a restart could violate
    // the lease of a leader that was heard before it.
    m_lastLeaderContact = m_clock.now();
    m_openedAt = m_clock.now();
    co_return done{};
}

void replica::start()
{
    asio::co_spawn(m_executor, runElections(), asio::detached);
    asio::co_spawn(m_executor, runLogWriter(), asio::detached);
    asio::co_spawn(m_executor, runApplier(), asio::detached);
    asio::co_spawn(m_executor, runDiscovery(), asio::detached);
    asio::co_spawn(m_executor, runMembershipChanges(), asio::detached);
}

asio::awaitable<void> replica::stop()
{
    const steady_time deadline = m_clock.now() + leadershipTransferTimeout;
    while (m_role == replica_role::leader && m_clock.now() < deadline) {
        m_transferringLeadership = true;
        const member *successor = nullptr;
        for (const member &peer : m_group) {
            const auto progress = m_peerProgress.find(peer.identity);
            const bool ready = progress != m_peerProgress.end() && peer.voter
                               && progress->second.matchIndex == lastIndex();
            if (ready && peer.identity != m_options.self.identity) {
                successor = &peer;
            }
        }
        if (successor != nullptr) {
            const auto client = clientOf(*successor);
            const call request{0, transfer_leadership_request{successor->identity, m_vote.term}};
            co_await client->invoke(request, m_options.heartbeatInterval * 5);
        }
        co_await m_roleChanged.waitFor(m_options.heartbeatInterval);
    }
    m_stopping = true;
    m_roleChanged.notifyAll();
    m_entriesAppended.notifyAll();
    m_commitAdvanced.notifyAll();
}

asio::awaitable<response_message> replica::handle(call_message message)
{
    if (m_stopping) {
        co_return call_refused{"the replica is stopping"};
    }
    if (!isAddressedTo(message, m_options.self.identity)) {
        ++m_metricsRegistry.at("mango_other_identity_total");
        co_return call_refused{"meant for another identity at this address"};
    }
    if (auto *vote = std::get_if<vote_request>(&message)) {
        co_return co_await handleVote(std::move(*vote));
    }
    if (auto *append = std::get_if<append_request>(&message)) {
        co_return co_await handleAppend(std::move(*append));
    }
    if (auto *snapshot = std::get_if<snapshot_request>(&message)) {
        co_return co_await handleSnapshot(std::move(*snapshot));
    }
    if (auto *leadershipTransfer = std::get_if<transfer_leadership_request>(&message)) {
        if (leadershipTransfer->term == m_vote.term && isVoter()) {
            asio::co_spawn(m_executor, campaign(true), asio::detached);
        }
        co_return acknowledged{};
    }
    if (auto *request = std::get_if<discovery_request>(&message)) {
        co_return handleDiscovery(*request);
    }
    if (auto *form = std::get_if<bootstrap_request>(&message)) {
        co_return co_await handleBootstrap(std::move(*form));
    }
    co_return call_refused{"not a call for a replica"};
}

asio::awaitable<result<std::any, propose_failure>> replica::propose(std::string payload)
{
    if (m_role != replica_role::leader || m_transferringLeadership || m_stopping) {
        co_return propose_failure{propose_failure::kind::notLeader, leaderAddress()};
    }
    pending_proposal proposal{m_vote.term, m_clock.makeTimer(), {}, false};
    const std::uint64_t index = appendEntry(log_entry_kind::command, std::move(payload));
    m_pendingProposals[index] = &proposal;
    co_await proposal.timer->waitFor(proposalTimeout);
    if (const auto found = m_pendingProposals.find(index);
        found != m_pendingProposals.end() && found->second == &proposal) {
        m_pendingProposals.erase(found);
    }
    if (proposal.outcome) {
        co_return std::move(*proposal.outcome);
    }
    co_return propose_failure{propose_failure::kind::uncertain, leaderAddress()};
}

std::uint64_t replica::appendEntry(log_entry_kind kind, std::string payload)
{
    const std::uint64_t index = lastIndex() + 1;
    m_entries.push_back({index, m_vote.term, kind, std::move(payload)});
    if (kind == log_entry_kind::membership) {
        refreshGroup();
    }
    m_entriesAppended.notifyAll();
    return index;
}

asio::awaitable<void> replica::runLogWriter()
{
    while (!m_stopping) {
        if (lastIndex() <= m_durableIndex) {
            co_await m_entriesAppended.waitFor(idleWakeInterval);
            continue;
        }
        const auto lock = co_await m_storageLock.acquire();
        std::vector<log_entry> batch;
        for (std::uint64_t index = m_durableIndex + 1; index <= lastIndex(); ++index) {
            batch.push_back(entryAt(index));
        }
        if (batch.empty()) {
            continue;
        }
        const std::uint64_t last = batch.back().index;
        const auto written = co_await m_storage.append(std::move(batch));
        if (failed(written)) {
            ++m_metricsRegistry.at("mango_disk_failures_total");
            logError(log_part::storage,
                     "Could not append to the log: " + describe(failureOf(written)) + ".");
            stepDown();
            co_await m_clock.sleepFor(diskRetryDelay);
            continue;
        }
        m_durableIndex = last;
        m_metricsRegistry.at("mango_log_bytes") = m_storage.logBytesThrough(last);
        advanceCommitIndex();
    }
}

asio::awaitable<void> replica::runApplier()
{
    while (!m_stopping) {
        if (m_appliedIndex >= m_commitIndex) {
            co_await m_commitAdvanced.waitFor(idleWakeInterval);
            continue;
        }
        const steady_time begin = m_clock.now();
        while (m_appliedIndex < m_commitIndex && m_clock.now() - begin < applyBudget) {
            const log_entry entry = entryAt(m_appliedIndex + 1);
            m_appliedIndex = entry.index;
            applyEntry(entry);
        }
        if (m_appliedIndex < m_commitIndex) {
            // Lets heartbeats and lease renewals through.
            co_await asio::post(m_executor, asio::use_awaitable);
        }
        if (isSnapshotDue()) {
            co_await takeSnapshot();
        }
    }
}

void replica::applyEntry(const log_entry &entry)
{
    if (entry.kind != log_entry_kind::command) {
        return;
    }
    const metered_work section(m_work, work_kind::applies);
    auto outcome = m_state.apply(entry.index, entry.payload);
    if (!outcome) {
        logError(log_part::consensus, "Entry " + std::to_string(entry.index)
                                              + " cannot be decoded by this version; stopping.");
        m_stopping = true;
        return;
    }
    completeProposal(entry.index, entry.term, std::move(*outcome));
}

void replica::completeProposal(std::uint64_t index, std::uint64_t term, std::any outcome)
{
    const auto found = m_pendingProposals.find(index);
    if (found == m_pendingProposals.end()) {
        return;
    }
    if (found->second->term == term) {
        found->second->outcome = std::move(outcome);
    }
    found->second->timer->cancel();
    m_pendingProposals.erase(found);
}

void replica::abandonProposalsBefore(std::uint64_t index)
{
    while (!m_pendingProposals.empty() && m_pendingProposals.begin()->first < index) {
        m_pendingProposals.begin()->second->timer->cancel();
        m_pendingProposals.erase(m_pendingProposals.begin());
    }
}

std::string replica::saveState()
{
    const metered_work section(m_work, work_kind::snapshots);
    return m_state.saveSnapshot();
}

bool replica::isSnapshotDue() const
{
    if (m_appliedIndex <= m_snapshot.index || m_clock.now() < m_snapshotRetryAt) {
        return false;
    }
    const std::uint64_t bytes = m_storage.logBytesThrough(m_appliedIndex);
    return m_appliedIndex - m_snapshot.index >= m_options.entriesPerSnapshot
           || bytes >= std::max<std::uint64_t>(m_options.bytesPerSnapshot, m_snapshot.state.size());
}

void replica::dropEntriesOfSnapshot()
{
    std::uint64_t first = m_snapshot.index + 1;
    std::size_t bytes = 0;
    while (first > m_firstIndex && m_snapshot.index + 1 - first < retainedEntries) {
        bytes += entryAt(first - 1).payload.size();
        if (bytes > retainedBytes) {
            break;
        }
        --first;
    }
    while (m_firstIndex < first) {
        m_groupBeforeLog = groupAt(m_firstIndex);
        m_termBeforeLog = m_entries.front().term;
        m_entries.pop_front();
        ++m_firstIndex;
    }
}

asio::awaitable<void> replica::takeSnapshot()
{
    stored_snapshot snapshot;
    snapshot.index = m_appliedIndex;
    snapshot.term = termAt(m_appliedIndex);
    snapshot.group = groupAt(m_appliedIndex);
    snapshot.state = saveState();
    const auto lock = co_await m_storageLock.acquire();
    if (snapshot.index <= m_snapshot.index) {
        co_return;
    }
    std::vector<log_entry> followingEntries;
    for (std::uint64_t index = snapshot.index + 1; index <= m_durableIndex; ++index) {
        followingEntries.push_back(entryAt(index));
    }
    const auto saved = co_await m_storage.saveSnapshot(snapshot, std::move(followingEntries));
    if (failed(saved)) {
        ++m_metricsRegistry.at("mango_disk_failures_total");
        logError(log_part::storage,
                 "Could not save a snapshot: " + describe(failureOf(saved)) + ".");
        m_snapshotRetryAt = m_clock.now() + snapshotRetryDelay;
        co_return;
    }
    ++m_metricsRegistry.at("mango_snapshots_total");
    m_metricsRegistry.at("mango_snapshot_bytes") = snapshot.state.size();
    m_snapshot = std::move(snapshot);
    dropEntriesOfSnapshot();
}

bool replica::hasLeaderLease() const
{
    return m_role == replica_role::leader && !m_transferringLeadership && !m_stopping
           && m_appliedIndex >= m_termStartIndex && m_clock.now() < leaseEnd();
}

host_address replica::leaderAddress() const
{
    // A leader that has not been heard from recently has probably stopped; an empty address makes
    // callers try another replica at once.
    if (!isLeader() && m_clock.now() > m_lastLeaderContact + m_options.heartbeatInterval * 3) {
        return {};
    }
    const member *leader = findMember(m_leader);
    return leader == nullptr ? host_address{} : leader->address;
}

replica_status replica::status() const
{
    const member *leader = findMember(m_leader);
    // An operator who sees a new voter may stop another voter at once, so only the committed
    // membership is shown.
    const members committed = groupAt(m_commitIndex);
    return {m_options.self.name,
            m_options.self.identity,
            m_role,
            m_vote.term,
            lastIndex(),
            m_commitIndex,
            m_appliedIndex,
            m_snapshot.index,
            leader == nullptr ? "" : leader->name,
            committed.empty() ? m_group : committed};
}

std::uint64_t replica::lastIndex() const
{
    return m_firstIndex + m_entries.size() - 1;
}

std::uint64_t replica::termAt(std::uint64_t index) const
{
    if (index + 1 == m_firstIndex) {
        return m_termBeforeLog;
    }
    return index < m_firstIndex || index > lastIndex() ? 0 : entryAt(index).term;
}

const log_entry &replica::entryAt(std::uint64_t index) const
{
    return m_entries[index - m_firstIndex];
}

const member *replica::findMember(const std::string &identity) const
{
    const auto found = std::find_if(m_group.begin(), m_group.end(), [&](const member &one) {
        return one.identity == identity;
    });
    return found == m_group.end() ? nullptr : &*found;
}

bool replica::isVoter() const
{
    const member *self = findMember(m_options.self.identity);
    return self != nullptr && self->voter;
}

std::size_t replica::majority() const
{
    const auto voters = std::count_if(m_group.begin(), m_group.end(), [](const member &one) {
        return one.voter;
    });
    return static_cast<std::size_t>(voters) / 2 + 1;
}

// Addresses in the settings take precedence, since they may be specific to this host. The address
// in the group is used for replicas that the settings do not list.
std::shared_ptr<rpc_client> replica::clientOf(const member &peer)
{
    const auto configured = std::find_if(m_options.configuredMembers.begin(),
                                         m_options.configuredMembers.end(), [&](const member &one) {
                                             return one.name == peer.name;
                                         });
    const host_address &address =
            configured == m_options.configuredMembers.end() ? peer.address : configured->address;
    auto &client = m_clients[address];
    if (!client) {
        client = std::make_shared<rpc_client>(m_executor, m_clock, m_links, m_events.stamps(),
                                              address, m_work);
    }
    return client;
}

} // namespace mango
