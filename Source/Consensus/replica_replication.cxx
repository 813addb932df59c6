#include "Consensus/replica.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Common/log.h"
#include "Wire/codec.h"

namespace mango {

namespace asio = boost::asio;

namespace {

constexpr std::size_t maximumBatchEntries = 512;
constexpr std::size_t maximumBatchBytes = 1U << 20U;
constexpr std::size_t snapshotChunkBytes = 256U << 10U;
constexpr auto appendTimeout = std::chrono::seconds(1);

} // namespace

void replica::startReplication()
{
    for (const member &peer : m_group) {
        if (peer.identity == m_options.self.identity) {
            continue;
        }
        auto [progress, added] = m_peerProgress.try_emplace(peer.identity);
        if (added) {
            progress->second.nextIndex = lastIndex() + 1;
        }
        if (!progress->second.replicating) {
            progress->second.replicating = true;
            asio::co_spawn(m_executor, replicateTo(peer, m_vote.term), asio::detached);
        }
    }
}

asio::awaitable<void> replica::replicateTo(member peer, std::uint64_t term)
{
    while (!m_stopping && m_role == replica_role::leader && m_vote.term == term
           && findMember(peer.identity) != nullptr) {
        const bool needsSnapshot = m_peerProgress[peer.identity].nextIndex < m_firstIndex;
        bool delivered = false;
        if (needsSnapshot) {
            delivered = co_await sendSnapshot(peer, term);
        } else {
            delivered = co_await sendEntries(peer, term);
        }
        if (m_role != replica_role::leader || m_vote.term != term) {
            co_return;
        }
        if (!delivered) {
            co_await m_clock.sleepFor(m_options.heartbeatInterval);
        } else if (m_peerProgress[peer.identity].nextIndex > lastIndex()) {
            co_await m_entriesAppended.waitFor(m_options.heartbeatInterval);
        }
    }
    // In a later term the progress entry belongs to the coroutine of that term.
    if (m_role == replica_role::leader && m_vote.term == term) {
        m_peerProgress.erase(peer.identity);
    }
}

asio::awaitable<bool> replica::sendEntries(const member &peer, std::uint64_t term)
{
    append_request request;
    request.target = peer.identity;
    request.term = term;
    request.leader = m_options.self.identity;
    const std::uint64_t next = m_peerProgress[peer.identity].nextIndex;
    request.previousIndex = next - 1;
    request.previousTerm = termAt(next - 1);
    request.commitIndex = m_commitIndex;
    std::size_t bytes = 0;
    for (std::uint64_t index = next; index <= lastIndex(); ++index) {
        if (request.entries.size() >= maximumBatchEntries || bytes >= maximumBatchBytes) {
            break;
        }
        request.entries.push_back(entryAt(index));
        bytes += request.entries.back().payload.size();
    }
    const steady_time sentAt = m_clock.now();
    const auto client = clientOf(peer);
    const call message{0, std::move(request)};
    const auto reply = co_await client->invoke(message, appendTimeout);
    if (m_role != replica_role::leader || m_vote.term != term || failed(reply)) {
        co_return false;
    }
    const auto *response = std::get_if<append_response>(&valueOf(reply));
    if (response == nullptr) {
        co_return false;
    }
    if (response->term > term) {
        const auto lock = co_await m_storageLock.acquire();
        if (response->term > m_vote.term) {
            co_await adoptTerm(response->term, "");
            stepDown();
        }
        co_return false;
    }
    peer_progress &progress = m_peerProgress[peer.identity];
    progress.lastConfirmed = std::max(progress.lastConfirmed, sentAt);
    if (response->accepted) {
        progress.matchIndex = std::max(progress.matchIndex, response->matchIndex);
        progress.nextIndex = progress.matchIndex + 1;
        advanceCommitIndex();
        co_return true;
    }
    progress.nextIndex = std::max<std::uint64_t>(1, std::min(response->matchIndex + 1, next - 1));
    co_return next > 1;
}

asio::awaitable<bool> replica::sendSnapshot(const member &peer, std::uint64_t term)
{
    const stored_snapshot snapshot = m_snapshot;
    logInfo(log_part::consensus, "Sending a snapshot of " + std::to_string(snapshot.state.size())
                                         + " bytes to " + peer.name + ".");
    const auto client = clientOf(peer);
    std::uint64_t offset = 0;
    while (m_role == replica_role::leader && m_vote.term == term) {
        snapshot_request request;
        request.target = peer.identity;
        request.term = term;
        request.leader = m_options.self.identity;
        request.index = snapshot.index;
        request.indexTerm = snapshot.term;
        request.group = snapshot.group;
        request.offset = offset;
        request.chunk = snapshot.state.substr(offset, snapshotChunkBytes);
        request.last = offset + request.chunk.size() == snapshot.state.size();
        const bool last = request.last;
        const steady_time sentAt = m_clock.now();
        const call message{0, std::move(request)};
        const auto reply = co_await client->invoke(message, appendTimeout * 5);
        const auto *response =
                failed(reply) ? nullptr : std::get_if<snapshot_response>(&valueOf(reply));
        if (response == nullptr || response->term != term || m_role != replica_role::leader
            || m_vote.term != term) {
            co_return false;
        }
        peer_progress &progress = m_peerProgress[peer.identity];
        progress.lastConfirmed = std::max(progress.lastConfirmed, sentAt);
        if (last && response->nextOffset == snapshot.state.size()) {
            progress.matchIndex = std::max(progress.matchIndex, snapshot.index);
            progress.nextIndex = snapshot.index + 1;
            co_return true;
        }
        offset = std::min<std::uint64_t>(response->nextOffset, snapshot.state.size());
    }
    co_return false;
}

std::vector<host_address> replica::respondingMembers(std::chrono::milliseconds silence) const
{
    std::vector<host_address> found;
    if (!isLeader()) {
        return found;
    }
    const steady_time earliest = m_clock.now() - silence;
    for (const member &one : m_group) {
        const auto progress = m_peerProgress.find(one.identity);
        if (progress != m_peerProgress.end() && progress->second.lastConfirmed >= earliest) {
            found.push_back(one.address);
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

void replica::advanceCommitIndex()
{
    if (m_role != replica_role::leader) {
        return;
    }
    std::vector<std::uint64_t> matchIndexes;
    for (const member &one : m_group) {
        if (one.voter) {
            const bool self = one.identity == m_options.self.identity;
            matchIndexes.push_back(self ? m_durableIndex : m_peerProgress[one.identity].matchIndex);
        }
    }
    if (matchIndexes.empty()) {
        return;
    }
    std::sort(matchIndexes.rbegin(), matchIndexes.rend());
    const std::uint64_t majorityIndex = matchIndexes[majority() - 1];
    // Raft commits entries of earlier terms only together with an entry of the current term.
    if (majorityIndex > m_commitIndex && termAt(majorityIndex) == m_vote.term) {
        m_commitIndex = majorityIndex;
        m_commitAdvanced.notifyAll();
    }
}

asio::awaitable<void> replica::followLeader(std::uint64_t term, std::string leader)
{
    if (term > m_vote.term) {
        const bool adopted = co_await adoptTerm(term, "");
        if (!adopted) {
            co_return;
        }
        stepDown();
    }
    if (m_role == replica_role::candidate) {
        stepDown();
    }
    m_leader = std::move(leader);
    m_lastLeaderContact = m_clock.now();
}

asio::awaitable<append_response> replica::handleAppend(append_request request)
{
    const auto lock = co_await m_storageLock.acquire();
    if (request.term < m_vote.term) {
        co_return append_response{m_vote.term, false, 0};
    }
    co_await followLeader(request.term, request.leader);
    if (request.term != m_vote.term || m_role == replica_role::leader) {
        co_return append_response{m_vote.term, false, 0};
    }
    // Discard entries that this replica appended in memory as a leader but did not write to disk.
    while (lastIndex() > m_durableIndex) {
        m_entries.pop_back();
    }
    if (request.previousIndex > lastIndex()) {
        co_return append_response{m_vote.term, false, lastIndex()};
    }
    const bool previousEntryMatches = request.previousIndex + 1 < m_firstIndex
                                      || termAt(request.previousIndex) == request.previousTerm;
    if (!previousEntryMatches) {
        co_return append_response{m_vote.term, false,
                                  std::max(m_commitIndex, request.previousIndex - 1)};
    }
    const std::uint64_t matchIndex = request.previousIndex + request.entries.size();
    const std::uint64_t commitIndex = std::min(request.commitIndex, matchIndex);
    const auto stored = co_await storeEntries(std::move(request.entries));
    if (failed(stored)) {
        ++m_metricsRegistry.at("mango_disk_failures_total");
        logError(log_part::storage,
                 "Could not store entries: " + describe(failureOf(stored)) + ".");
        co_return append_response{m_vote.term, false, lastIndex()};
    }
    if (commitIndex > m_commitIndex) {
        m_commitIndex = commitIndex;
        m_commitAdvanced.notifyAll();
    }
    m_lastLeaderContact = m_clock.now();
    co_return append_response{m_vote.term, true, matchIndex};
}

// Appends the new entries, after removing conflicting ones; the caller must hold the storage lock.
asio::awaitable<result<done, disk_failure>> replica::storeEntries(std::vector<log_entry> entries)
{
    std::vector<log_entry> added;
    for (log_entry &entry : entries) {
        if (!added.empty()) {
            added.push_back(std::move(entry));
            continue;
        }
        if (entry.index < m_firstIndex || termAt(entry.index) == entry.term) {
            continue;
        }
        if (entry.index <= lastIndex()) {
            const auto truncated = co_await m_storage.truncateFrom(entry.index);
            if (failed(truncated)) {
                co_return failureOf(truncated);
            }
            while (lastIndex() >= entry.index) {
                m_entries.pop_back();
            }
            m_durableIndex = lastIndex();
            refreshGroup();
        }
        added.push_back(std::move(entry));
    }
    if (added.empty()) {
        co_return done{};
    }
    const auto written = co_await m_storage.append(added);
    if (failed(written)) {
        co_return failureOf(written);
    }
    const bool changesGroup = std::any_of(added.begin(), added.end(), [](const log_entry &entry) {
        return entry.kind == log_entry_kind::membership;
    });
    m_entries.insert(m_entries.end(), added.begin(), added.end());
    m_durableIndex = lastIndex();
    if (changesGroup) {
        refreshGroup();
    }
    co_return done{};
}

asio::awaitable<snapshot_response> replica::handleSnapshot(snapshot_request request)
{
    const auto lock = co_await m_storageLock.acquire();
    if (request.term < m_vote.term) {
        co_return snapshot_response{m_vote.term, 0};
    }
    co_await followLeader(request.term, request.leader);
    if (request.offset == 0) {
        m_incomingSnapshot.clear();
    }
    if (request.offset != m_incomingSnapshot.size()) {
        co_return snapshot_response{m_vote.term, m_incomingSnapshot.size()};
    }
    m_incomingSnapshot += request.chunk;
    const std::uint64_t received = m_incomingSnapshot.size();
    if (!request.last) {
        co_return snapshot_response{m_vote.term, received};
    }
    stored_snapshot snapshot{request.index, request.indexTerm, request.group,
                             std::exchange(m_incomingSnapshot, {})};
    if (snapshot.index <= m_appliedIndex) {
        co_return snapshot_response{m_vote.term, received};
    }
    const auto saved = co_await m_storage.saveSnapshot(snapshot, {});
    if (failed(saved) || !m_state.loadSnapshot(snapshot.state)) {
        logError(log_part::storage, "Could not install a snapshot.");
        co_return snapshot_response{m_vote.term, 0};
    }
    m_entries.clear();
    m_firstIndex = snapshot.index + 1;
    m_termBeforeLog = snapshot.term;
    m_groupBeforeLog = snapshot.group;
    m_durableIndex = snapshot.index;
    m_commitIndex = snapshot.index;
    m_appliedIndex = snapshot.index;
    m_snapshot = std::move(snapshot);
    abandonProposalsBefore(m_firstIndex);
    refreshGroup();
    m_lastLeaderContact = m_clock.now();
    co_return snapshot_response{m_vote.term, received};
}

} // namespace mango
