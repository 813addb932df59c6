#include "Consensus/replica.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Common/log.h"
#include "Wire/codec.h"

namespace mango {

namespace asio = boost::asio;

namespace {

constexpr auto discoveryInterval = std::chrono::milliseconds(300);
constexpr auto membershipCheckInterval = std::chrono::milliseconds(200);
// A learner is promoted to voter when it is at most this many entries behind the commit index.
constexpr std::uint64_t maximumPromotionLag = 64;
// After this time the first group is formed without the seeds that have not answered.
constexpr auto missingSeedTimeout = std::chrono::seconds(4);
// A member that has not heard from a leader for this long contacts the known replicas, since it may
// have been removed from the group.
constexpr auto leaderSilenceLimit = std::chrono::seconds(3);

} // namespace

members replica::groupAt(std::uint64_t index) const
{
    for (std::uint64_t at = std::min(index, lastIndex()); at >= m_firstIndex; --at) {
        members group;
        if (entryAt(at).kind == log_entry_kind::membership && decode(entryAt(at).payload, group)) {
            return group;
        }
    }
    return m_groupBeforeLog;
}

// Uses the newest membership entry in the log, whether or not it is committed, as Raft requires.
void replica::refreshGroup()
{
    const members group = groupAt(lastIndex());
    if (!group.empty()) {
        m_group = group;
    }
}

asio::awaitable<void> replica::runDiscovery()
{
    while (!m_stopping) {
        const bool isMember = findMember(m_options.self.identity) != nullptr && lastIndex() > 0;
        const bool leaderSilent = usesSeeds() && m_role != replica_role::leader
                                  && m_clock.now() > m_lastLeaderContact + leaderSilenceLimit;
        if (isMember && !leaderSilent) {
            co_await m_clock.sleepFor(std::chrono::seconds(1));
            continue;
        }
        if (usesSeeds()) {
            co_await discoverFromSeeds();
        } else if (m_group.empty()) {
            co_await bootstrapFromSettings();
        }
        co_await m_clock.sleepFor(discoveryInterval);
    }
}

// Contacts all replicas listed in the settings. When all of them are empty, the one with the lowest
// name forms the group. A replica that already belongs to a group learns the identity of this one
// from the request.
asio::awaitable<void> replica::bootstrapFromSettings()
{
    members discovered{m_options.self};
    bool allEmpty = true;
    for (const member &peer : m_options.configuredMembers) {
        if (peer.name == m_options.self.name) {
            continue;
        }
        const auto client = clientOf(peer);
        const bool belongsToGroup = lastIndex() > 0;
        const call message{0, discovery_request{m_options.self, belongsToGroup}};
        const auto reply = co_await client->invoke(message, m_options.minimumElectionTimeout);
        const auto *response =
                failed(reply) ? nullptr : std::get_if<discovery_response>(&valueOf(reply));
        if (response == nullptr) {
            allEmpty = false;
            continue;
        }
        allEmpty = allEmpty && !response->belongsToGroup;
        const bool listsSelf =
                std::any_of(response->group.begin(), response->group.end(), [&](const member &one) {
                    return one.identity == m_options.self.identity;
                });
        if (response->belongsToGroup && listsSelf) {
            m_group = response->group;
            co_return;
        }
        discovered.push_back(response->self);
    }
    const bool hasLowestName =
            std::all_of(discovered.begin(), discovered.end(), [&](const member &one) {
                return m_options.self.name <= one.name;
            });
    if (!allEmpty || !hasLowestName || discovered.size() != m_options.configuredMembers.size()) {
        co_return;
    }
    const bootstrap_request request{discovered};
    const auto adopted = co_await handleBootstrap(request);
    if (!std::holds_alternative<acknowledged>(adopted)) {
        co_return;
    }
    for (const member &peer : discovered) {
        if (peer.identity != m_options.self.identity) {
            const call message{0, request};
            co_await clientOf(peer)->invoke(message, m_options.minimumElectionTimeout);
        }
    }
}

// Contacts all known replicas. A leader among them adds this replica to its group; when none of the
// seeds belongs to a group yet, the seed with the lowest address forms one.
asio::awaitable<void> replica::discoverFromSeeds()
{
    m_knownAddresses.insert(m_options.seeds.begin(), m_options.seeds.end());
    for (const member &one : m_group) {
        m_knownAddresses.insert(one.address);
    }
    members discovered{m_options.self};
    bool allEmpty = lastIndex() == 0;
    const std::set<host_address> contacts = m_knownAddresses;
    for (const host_address &contact : contacts) {
        if (contact == m_options.self.address) {
            continue;
        }
        const auto client = clientOf(member{"", "", contact, false});
        const call message{0, discovery_request{m_options.self, lastIndex() > 0}};
        const auto reply = co_await client->invoke(message, m_options.minimumElectionTimeout / 2);
        const auto *response =
                failed(reply) ? nullptr : std::get_if<discovery_response>(&valueOf(reply));
        if (response == nullptr) {
            continue;
        }
        for (const member &one : response->group) {
            m_knownAddresses.insert(one.address);
        }
        allEmpty = allEmpty && !response->belongsToGroup;
        const auto seed =
                std::find(m_options.seeds.begin(), m_options.seeds.end(), response->self.address);
        if (seed != m_options.seeds.end()) {
            discovered.push_back(response->self);
        }
    }
    const bool isSeed =
            std::find(m_options.seeds.begin(), m_options.seeds.end(), m_options.self.address)
            != m_options.seeds.end();
    const bool hasLowestAddress =
            std::all_of(discovered.begin(), discovered.end(), [&](const member &one) {
                return m_options.self.address <= one.address;
            });
    const bool allFound = discovered.size() == m_options.seeds.size();
    const bool majorityAfterTimeout = discovered.size() * 2 > m_options.seeds.size()
                                      && m_clock.now() > m_openedAt + missingSeedTimeout;
    if (m_options.mayBootstrap && isSeed && hasLowestAddress && allEmpty
        && (allFound || majorityAfterTimeout)) {
        co_await bootstrapFromSeeds(discovered);
    }
}

// The other seeds store the group first: if too few of them accept, this one remains empty and can
// still join another group.
asio::awaitable<void> replica::bootstrapFromSeeds(members discovered)
{
    const bootstrap_request request{discovered};
    std::size_t accepted = 1;
    for (const member &peer : discovered) {
        if (peer.identity == m_options.self.identity) {
            continue;
        }
        const call message{0, request};
        const auto reply =
                co_await clientOf(peer)->invoke(message, m_options.minimumElectionTimeout);
        if (!failed(reply) && std::holds_alternative<acknowledged>(valueOf(reply))) {
            ++accepted;
        }
    }
    if (accepted * 2 > m_options.seeds.size()) {
        co_await handleBootstrap(request);
    }
}

asio::awaitable<response_message> replica::handleBootstrap(bootstrap_request request)
{
    const auto lock = co_await m_storageLock.acquire();
    if (lastIndex() > 0) {
        co_return call_refused{"the replica is not empty"};
    }
    const log_entry first{1, 1, log_entry_kind::membership, encode(request.group)};
    const std::vector<log_entry> entries{first};
    const auto stored = co_await storeEntries(entries);
    if (failed(stored)) {
        co_return call_refused{describe(failureOf(stored))};
    }
    logInfo(log_part::consensus,
            "Formed a group of " + std::to_string(request.group.size()) + " replicas.");
    m_events.record("group formed", {"", "", m_options.self.name, ""});
    co_return acknowledged{};
}

discovery_response replica::handleDiscovery(const discovery_request &request)
{
    const bool belongsToGroup = lastIndex() > 0;
    if (m_role == replica_role::leader && findMember(request.self.identity) == nullptr) {
        m_joiningMembers[request.self.name] = request.self;
    }
    return {m_options.self, belongsToGroup, m_group};
}

bool replica::isSilentFor(const member &one, std::chrono::milliseconds duration)
{
    return m_clock.now()
           > std::max(m_peerProgress[one.identity].lastConfirmed, m_leaderSince) + duration;
}

// Returns the membership after the next single-step change, or std::nullopt when none is needed.
// The old identity of a replica that returned with an empty data folder is replaced by the new one,
// which joins as a learner and becomes a voter once it has caught up.
std::optional<members> replica::nextMembership()
{
    for (const auto &item : m_joiningMembers) {
        if (findMember(item.second.identity) != nullptr) {
            continue;
        }
        auto group = usesSeeds() ? addLearner(item.second) : replaceConfiguredMember(item.second);
        if (group) {
            return group;
        }
    }
    return promoteLearner();
}

std::optional<members> replica::replaceConfiguredMember(const member &joining)
{
    members group = m_group;
    const auto old = std::find_if(group.begin(), group.end(), [&](const member &one) {
        return one.name == joining.name;
    });
    if (old == group.end() || !isSilentFor(*old, m_options.maximumElectionTimeout * 2)) {
        return std::nullopt;
    }
    *old = joining;
    old->voter = false;
    return group;
}

// Replaces the member at the same address, once it is silent, by the new identity, or adds the
// replica to the group. It joins as a learner in both cases.
std::optional<members> replica::addLearner(const member &joining)
{
    members group = m_group;
    const auto old = std::find_if(group.begin(), group.end(), [&](const member &one) {
        return one.address == joining.address;
    });
    if (old == group.end()) {
        group.push_back(joining);
        group.back().voter = false;
        return group;
    }
    if (!isSilentFor(*old, m_options.maximumElectionTimeout)) {
        return std::nullopt;
    }
    *old = joining;
    old->voter = false;
    return group;
}

// Promotes a learner that has caught up to voter. When the group already has the target number of
// voters, a silent voter is removed first, so that their number never exceeds the target.
std::optional<members> replica::promoteLearner()
{
    members group = m_group;
    const auto learner = std::find_if(group.begin(), group.end(), [&](const member &one) {
        const auto progress = m_peerProgress.find(one.identity);
        return !one.voter && progress != m_peerProgress.end() && progress->second.matchIndex > 0
               && progress->second.matchIndex + maximumPromotionLag >= m_commitIndex
               && !isSilentFor(one, m_options.maximumElectionTimeout);
    });
    if (learner == group.end()) {
        return std::nullopt;
    }
    const auto voters = static_cast<std::size_t>(
            std::count_if(group.begin(), group.end(), [](const member &one) {
                return one.voter;
            }));
    if (!usesSeeds() || voters < m_options.targetVoters) {
        learner->voter = true;
        return group;
    }
    const auto lost = std::find_if(group.begin(), group.end(), [&](const member &one) {
        return one.voter && one.identity != m_options.self.identity
               && isSilentFor(one, m_options.voterReplacementTimeout);
    });
    if (lost == group.end()) {
        return std::nullopt;
    }
    group.erase(lost);
    return group;
}

asio::awaitable<void> replica::runMembershipChanges()
{
    std::uint64_t lastChange = 0;
    while (!m_stopping) {
        co_await m_clock.sleepFor(membershipCheckInterval);
        // Single-step changes are safe only one at a time: the previous one must be committed.
        if (!hasLeaderLease() || m_commitIndex < lastChange) {
            continue;
        }
        const auto group = nextMembership();
        if (!group) {
            continue;
        }
        lastChange = appendEntry(log_entry_kind::membership, encode(*group));
        ++m_metricsRegistry.at("mango_membership_changes_total");
        logInfo(log_part::consensus, "Changing the membership of the group.");
        m_events.record("membership changed", {"", "", m_options.self.name, ""});
        startReplication();
    }
}

} // namespace mango
