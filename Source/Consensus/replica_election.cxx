#include "Consensus/replica.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Common/log.h"

namespace mango {

namespace asio = boost::asio;

namespace {

constexpr auto leaderCheckInterval = std::chrono::milliseconds(50);
// The length of a leader's lease as a percentage of the minimum election timeout. The rest allows
// for clocks that run at different rates.
constexpr int leasePercent = 75;

} // namespace

struct replica::vote_tally
{
    explicit vote_tally(clock_source &clock)
        : changed(clock)
    {}

    std::size_t granted = 1;
    std::size_t outstanding = 0;
    std::uint64_t highestTerm = 0;
    wake_event changed;
};

asio::awaitable<void> replica::runElections()
{
    while (!m_stopping) {
        const auto spread = m_options.maximumElectionTimeout - m_options.minimumElectionTimeout;
        const auto timeout = m_options.minimumElectionTimeout
                             + std::chrono::milliseconds(m_random.below(
                                     static_cast<std::uint64_t>(spread.count()) + 1));
        if (m_role == replica_role::leader) {
            if (m_clock.now()
                > std::max(leaseEnd(), m_leaderSince) + m_options.maximumElectionTimeout) {
                logWarn(log_part::consensus,
                        "Stepping down: a majority of the voters does not answer.");
                stepDown();
            }
            co_await m_clock.sleepFor(leaderCheckInterval);
            continue;
        }
        const steady_time electionDue = m_lastLeaderContact + timeout;
        if (m_clock.now() < electionDue) {
            co_await m_roleChanged.waitFor(electionDue - m_clock.now());
            continue;
        }
        if (isVoter()) {
            co_await campaign(false);
        }
        co_await m_clock.sleepFor(timeout / 4);
    }
}

asio::awaitable<void> replica::campaign(bool leadershipTransfer)
{
    vote_request request;
    request.candidate = m_options.self.identity;
    request.lastIndex = m_durableIndex;
    request.lastTerm = termAt(m_durableIndex);
    request.term = m_vote.term + 1;
    request.preVote = true;
    request.leadershipTransfer = leadershipTransfer;
    if (!leadershipTransfer) {
        // Pre-vote: a replica that cannot win does not raise the term and depose a leader.
        const bool preVoteWon = co_await collectVotes(request);
        if (!preVoteWon) {
            co_return;
        }
    }
    {
        const auto lock = co_await m_storageLock.acquire();
        if (m_role == replica_role::leader || m_stopping || request.term != m_vote.term + 1) {
            co_return;
        }
        const bool adopted = co_await adoptTerm(request.term, m_options.self.identity);
        if (!adopted) {
            co_return;
        }
        m_role = replica_role::candidate;
        m_leader.clear();
        request.lastIndex = m_durableIndex;
        request.lastTerm = termAt(m_durableIndex);
    }
    ++m_metricsRegistry.at("mango_elections_total");
    request.preVote = false;
    const bool won = co_await collectVotes(request);
    if (won && m_role == replica_role::candidate && m_vote.term == request.term) {
        becomeLeader();
    }
}

asio::awaitable<bool> replica::collectVotes(vote_request request)
{
    const auto tally = std::make_shared<vote_tally>(m_clock);
    const std::size_t needed = majority();
    for (const member &peer : m_group) {
        if (peer.voter && peer.identity != m_options.self.identity) {
            ++tally->outstanding;
            asio::co_spawn(m_executor, requestVote(peer, request, tally), asio::detached);
        }
    }
    const steady_time deadline = m_clock.now() + m_options.minimumElectionTimeout;
    while (tally->granted < needed && tally->outstanding > 0 && m_clock.now() < deadline) {
        co_await tally->changed.waitFor(deadline - m_clock.now());
    }
    if (tally->highestTerm > m_vote.term) {
        const auto lock = co_await m_storageLock.acquire();
        if (tally->highestTerm > m_vote.term) {
            co_await adoptTerm(tally->highestTerm, "");
            stepDown();
        }
        co_return false;
    }
    co_return tally->granted >= needed;
}

asio::awaitable<void> replica::requestVote(member peer, vote_request request,
                                           std::shared_ptr<vote_tally> tally)
{
    const auto client = clientOf(peer);
    request.target = peer.identity;
    const call message{0, std::move(request)};
    const auto reply = co_await client->invoke(message, m_options.minimumElectionTimeout);
    --tally->outstanding;
    if (!failed(reply)) {
        if (const auto *vote = std::get_if<vote_response>(&valueOf(reply))) {
            tally->granted += vote->granted ? 1 : 0;
            tally->highestTerm = std::max(tally->highestTerm, vote->granted ? 0 : vote->term);
        }
    }
    tally->changed.notifyAll();
}

bool replica::candidateIsUpToDate(const vote_request &request) const
{
    const std::uint64_t ownTerm = termAt(lastIndex());
    return request.lastTerm > ownTerm
           || (request.lastTerm == ownTerm && request.lastIndex >= lastIndex());
}

asio::awaitable<vote_response> replica::handleVote(vote_request request)
{
    const auto lock = co_await m_storageLock.acquire();
    // An identity outside the group belongs to a replica that was emptied or replaced. Whether the
    // candidate or this replica is a voter is for the candidate's log to say: the one that lacks
    // the newest membership would otherwise refuse for ever, as only a leader could send it.
    if (findMember(request.candidate) == nullptr) {
        co_return vote_response{m_vote.term, false};
    }
    const bool leaderIsAlive =
            m_clock.now() < m_lastLeaderContact + m_options.minimumElectionTimeout
            || (m_role == replica_role::leader && m_clock.now() < leaseEnd());
    if (leaderIsAlive && !request.leadershipTransfer) {
        co_return vote_response{m_vote.term, false};
    }
    if (request.term < m_vote.term || !candidateIsUpToDate(request)) {
        co_return vote_response{m_vote.term, false};
    }
    if (request.preVote) {
        co_return vote_response{m_vote.term, request.term > m_vote.term};
    }
    if (request.term > m_vote.term) {
        const bool adopted = co_await adoptTerm(request.term, request.candidate);
        if (!adopted) {
            co_return vote_response{m_vote.term, false};
        }
        stepDown();
        m_lastLeaderContact = m_clock.now();
    }
    co_return vote_response{m_vote.term, m_vote.votedFor == request.candidate};
}

// Stores the term and the vote durably; the caller must hold the storage lock. Returns false on a
// disk failure.
asio::awaitable<bool> replica::adoptTerm(std::uint64_t term, std::string votedFor)
{
    const stored_vote vote{term, std::move(votedFor)};
    const auto saved = co_await m_storage.saveVote(vote);
    if (failed(saved)) {
        ++m_metricsRegistry.at("mango_disk_failures_total");
        logError(log_part::storage, "Could not save a vote: " + describe(failureOf(saved)) + ".");
        co_return false;
    }
    m_vote = vote;
    co_return true;
}

void replica::becomeLeader()
{
    m_role = replica_role::leader;
    m_leader = m_options.self.identity;
    m_leaderSince = m_clock.now();
    m_transferringLeadership = false;
    m_peerProgress.clear();
    m_joiningMembers.clear();
    // Entries of earlier terms can be committed only together with an entry of this term.
    m_termStartIndex = appendEntry(log_entry_kind::noop, "");
    logInfo(log_part::consensus, "Became leader of term " + std::to_string(m_vote.term) + ".");
    m_events.record("leader elected",
                    {"", "", m_options.self.name, "term " + std::to_string(m_vote.term)});
    startReplication();
    advanceCommitIndex();
    m_roleChanged.notifyAll();
}

void replica::stepDown()
{
    if (m_role == replica_role::leader) {
        m_events.record("leader stepped down",
                        {"", "", m_options.self.name, "term " + std::to_string(m_vote.term)});
        m_lastLeaderContact = m_clock.now();
    }
    if (m_role != replica_role::follower) {
        m_role = replica_role::follower;
        m_leader.clear();
        abandonProposalsBefore(lastIndex() + 1);
        m_roleChanged.notifyAll();
        m_entriesAppended.notifyAll();
    }
}

steady_time replica::leaseEnd() const
{
    std::vector<steady_time> confirmations;
    for (const member &one : m_group) {
        if (!one.voter) {
            continue;
        }
        if (one.identity == m_options.self.identity) {
            confirmations.push_back(m_clock.now());
            continue;
        }
        const auto progress = m_peerProgress.find(one.identity);
        confirmations.push_back(progress == m_peerProgress.end() ? steady_time{}
                                                                 : progress->second.lastConfirmed);
    }
    if (confirmations.empty()) {
        return {};
    }
    std::sort(confirmations.rbegin(), confirmations.rend());
    return confirmations[majority() - 1] + m_options.minimumElectionTimeout * leasePercent / 100;
}

} // namespace mango
