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
// A learner becomes a voter when it is at most that many entries behind.
constexpr std::uint64_t maximumPromotionLag = 64;
// A seed that is not there by then does not take part in forming the first group.
constexpr auto missingSeedTimeout = std::chrono::seconds(4);
// A member that has not heard a leader for that long asks whether it still is a member.
constexpr auto leaderSilenceLimit = std::chrono::seconds(3);

} // namespace

members replica::groupAt(std::uint64_t index) const
{
    for (std::uint64_t at = std::min(index, lastIndex()); at >= m_firstIndex; --at) {
        members group;
        if (entryAt(at).kind == entry_kind::membership && decode(entryAt(at).payload, group)) {
            return group;
        }
    }
    return m_groupBeforeLog;
}

// The newest group in the log counts, whether or not it is committed yet.
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

// Greets every listed replica. When all of them are empty, the one with the first name forms the
// group; when one is formed already, it learns of this replica's identity by the greeting.
asio::awaitable<void> replica::bootstrapFromSettings()
{
    members found{m_options.self};
    bool allEmpty = true;
    for (const member &peer : m_options.configuredMembers) {
        if (peer.name == m_options.self.name) {
            continue;
        }
        const auto client = clientOf(peer);
        const bool formed = lastIndex() > 0;
        const call greeting{0, hello_request{m_options.self, formed}};
        const auto answered = co_await client->invoke(greeting, m_options.minimumElectionTimeout);
        const auto *hello =
                failed(answered) ? nullptr : std::get_if<hello_response>(&valueOf(answered));
        if (hello == nullptr) {
            allEmpty = false;
            continue;
        }
        allEmpty = allEmpty && !hello->formed;
        const bool listsSelf =
                std::any_of(hello->group.begin(), hello->group.end(), [&](const member &one) {
                    return one.identity == m_options.self.identity;
                });
        if (hello->formed && listsSelf) {
            m_group = hello->group;
            co_return;
        }
        found.push_back(hello->self);
    }
    const bool first = std::all_of(found.begin(), found.end(), [&](const member &one) {
        return m_options.self.name <= one.name;
    });
    if (!allEmpty || !first || found.size() != m_options.configuredMembers.size()) {
        co_return;
    }
    const form_request forming{found};
    const auto adopted = co_await handleBootstrap(forming);
    if (!std::holds_alternative<acknowledged>(adopted)) {
        co_return;
    }
    for (const member &peer : found) {
        if (peer.identity != m_options.self.identity) {
            const call message{0, forming};
            co_await clientOf(peer)->invoke(message, m_options.minimumElectionTimeout);
        }
    }
}

// Greets all replicas that are known. A leader among them takes this one in; when none of the
// seeds belongs to a group yet, the first of them forms one.
asio::awaitable<void> replica::discoverFromSeeds()
{
    m_knownAddresses.insert(m_options.seeds.begin(), m_options.seeds.end());
    for (const member &one : m_group) {
        m_knownAddresses.insert(one.address);
    }
    members found{m_options.self};
    bool allEmpty = lastIndex() == 0;
    const std::set<host_address> contacts = m_knownAddresses;
    for (const host_address &contact : contacts) {
        if (contact == m_options.self.address) {
            continue;
        }
        const auto client = clientOf(member{"", "", contact, false});
        const call greeting{0, hello_request{m_options.self, lastIndex() > 0}};
        const auto answered =
                co_await client->invoke(greeting, m_options.minimumElectionTimeout / 2);
        const auto *hello =
                failed(answered) ? nullptr : std::get_if<hello_response>(&valueOf(answered));
        if (hello == nullptr) {
            continue;
        }
        for (const member &one : hello->group) {
            m_knownAddresses.insert(one.address);
        }
        allEmpty = allEmpty && !hello->formed;
        const auto seed =
                std::find(m_options.seeds.begin(), m_options.seeds.end(), hello->self.address);
        if (seed != m_options.seeds.end()) {
            found.push_back(hello->self);
        }
    }
    const bool isSeed =
            std::find(m_options.seeds.begin(), m_options.seeds.end(), m_options.self.address)
            != m_options.seeds.end();
    const bool first = std::all_of(found.begin(), found.end(), [&](const member &one) {
        return m_options.self.address <= one.address;
    });
    const bool complete = found.size() == m_options.seeds.size();
    const bool enough = found.size() * 2 > m_options.seeds.size()
                        && m_clock.now() > m_openedAt + missingSeedTimeout;
    if (m_options.mayBootstrap && isSeed && first && allEmpty && (complete || enough)) {
        co_await bootstrapFromSeeds(found);
    }
}

// The others store the group first: a seed that nobody followed may still join another one.
asio::awaitable<void> replica::bootstrapFromSeeds(members found)
{
    const form_request forming{found};
    std::size_t accepted = 1;
    for (const member &peer : found) {
        if (peer.identity == m_options.self.identity) {
            continue;
        }
        const call message{0, forming};
        const auto answered =
                co_await clientOf(peer)->invoke(message, m_options.minimumElectionTimeout);
        if (!failed(answered) && std::holds_alternative<acknowledged>(valueOf(answered))) {
            ++accepted;
        }
    }
    if (accepted * 2 > m_options.seeds.size()) {
        co_await handleBootstrap(forming);
    }
}

asio::awaitable<answer_message> replica::handleBootstrap(form_request request)
{
    const auto lock = co_await m_storageLock.acquire();
    if (lastIndex() > 0) {
        co_return call_refused{"the replica is not empty"};
    }
    const log_entry first{1, 1, entry_kind::membership, encode(request.group)};
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

hello_response replica::handleHello(const hello_request &request)
{
    const bool formed = lastIndex() > 0;
    if (m_role == replica_role::leader && findMember(request.self.identity) == nullptr) {
        m_joiningMembers[request.self.name] = request.self;
    }
    return {m_options.self, formed, m_group};
}

bool replica::isSilentFor(const member &one, std::chrono::milliseconds span)
{
    return m_clock.now()
           > std::max(m_peerProgress[one.identity].lastConfirmed, m_leaderSince) + span;
}

// The next one-step change that is due: a replica that came back with an empty folder first
// loses its old identity, joins as a learner with the new one, and votes once it has caught up.
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

// Takes the place of an earlier identity at the same address, or joins beside the others.
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

// Gives a learner that has caught up a vote. When the group is full, a silent voter is removed
// first, so that the number of voters never exceeds the target.
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
        // One change at a time: the one before must be committed.
        if (!hasLeaderLease() || m_commitIndex < lastChange) {
            continue;
        }
        const auto group = nextMembership();
        if (!group) {
            continue;
        }
        lastChange = appendEntry(entry_kind::membership, encode(*group));
        ++m_counted.at("mango_membership_changes_total");
        logInfo(log_part::consensus, "Changes the group of replicas.");
        m_events.record("membership changed", {"", "", m_options.self.name, ""});
        startReplication();
    }
}

} // namespace mango
