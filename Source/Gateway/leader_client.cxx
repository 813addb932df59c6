#include "Gateway/leader_client.h"

#include <algorithm>

#include "Common/event_log.h"
#include "Common/log.h"

namespace mango {

namespace asio = boost::asio;

namespace {

// How often the leader is greeted; readiness follows within two of these.
constexpr auto greetingInterval = std::chrono::milliseconds(400);
constexpr auto greetingTimeout = std::chrono::milliseconds(600);
// Without an answer of the leader for that long the process is not ready.
constexpr auto touchLimit = std::chrono::milliseconds(1500);
// The pause before another replica is tried.
constexpr auto retryPause = std::chrono::milliseconds(60);
// The longest wait for one replica's answer, when others may still be tried after it.
constexpr auto attemptLimit = std::chrono::milliseconds(1200);

bool changesNothing(const fleet_request &request)
{
    return std::holds_alternative<query_call>(request)
           || std::holds_alternative<group_call>(request);
}

} // namespace

struct leader_client::attempt
{
    fleet_answer answer;
    // The call did not reach anyone who could act on it.
    bool again = false;
};

leader_client::leader_client(asio::any_io_executor executor, clock_source &clock, network &links,
                             causal_clock &stamps, counters &counted,
                             std::vector<host_address> seeds)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_links(links)
    , m_stamps(stamps)
    , m_counted(counted)
    , m_seeds(std::move(seeds))
    , m_contacts(m_seeds)
{}

asio::awaitable<void> leader_client::run()
{
    while (true) {
        fleet_request greeting = group_call{};
        co_await serve(std::move(greeting), steady_span(0), greetingTimeout);
        co_await m_clock.sleepFor(isLeaderReachable() ? greetingInterval : greetingInterval / 4);
    }
}

void leader_client::useSeeds(std::vector<host_address> seeds)
{
    m_seeds = std::move(seeds);
    m_contacts.insert(m_contacts.end(), m_seeds.begin(), m_seeds.end());
}

bool leader_client::isLeaderReachable() const
{
    return m_clock.now() < m_inTouchAt + touchLimit;
}

std::shared_ptr<rpc_client> leader_client::clientOf(const host_address &address)
{
    auto &client = m_clients[address];
    if (!client) {
        client = std::make_shared<rpc_client>(m_executor, m_clock, m_links, m_stamps, address);
    }
    return client;
}

host_address leader_client::nextContact()
{
    if (m_leader.port != 0) {
        return m_leader;
    }
    m_nextContact = (m_nextContact + 1) % m_contacts.size();
    return m_contacts[m_nextContact];
}

void leader_client::learn(const fleet_answer &answer, const host_address &from)
{
    if (!answer.group.empty()) {
        m_contacts = answer.group;
        for (const host_address &seed : m_seeds) {
            if (std::find(m_contacts.begin(), m_contacts.end(), seed) == m_contacts.end()) {
                m_contacts.push_back(seed);
            }
        }
    }
    const bool served = answer.outcome != fleet_outcome::unavailable;
    if (!served && m_leader != answer.leader) {
        logEvent(log_part::entry, "leader-changed",
                 {{"from", toText(m_leader)}, {"to", toText(answer.leader)}});
    }
    if (!served) {
        // A replica that names itself or the one that was just asked knows nothing better.
        m_leader = answer.leader == from ? host_address{} : answer.leader;
    } else if (answer.leader.port != 0) {
        m_leader = answer.leader;
    }
    if (answer.limits && *answer.limits != m_limits) {
        m_limits = *answer.limits;
        if (onLimits) {
            onLimits(m_limits);
        }
    }
}

asio::awaitable<leader_client::attempt> leader_client::tryOnce(const fleet_request &request,
                                                               steady_span timeout)
{
    const host_address contact = nextContact();
    const auto client = clientOf(contact);
    const call message{0, fleet_call{request}};
    auto answered = co_await client->invoke(message, timeout);
    if (failed(answered)) {
        const bool neverSent = failureOf(answered).reason == network_failure::kind::connectFailed;
        ++m_counted.at("mango_leader_calls_failed_total");
        if (m_leader == contact) {
            logEvent(log_part::entry, "leader-lost",
                     {{"leader", toText(contact)}, {"why", describe(failureOf(answered))}});
            m_leader = {};
        }
        attempt failedOne;
        failedOne.again = neverSent || changesNothing(request);
        failedOne.answer.outcome =
                failedOne.again ? fleet_outcome::unavailable : fleet_outcome::uncertain;
        co_return failedOne;
    }
    auto *answer = std::get_if<fleet_answer>(&valueOf(answered));
    if (answer == nullptr) {
        attempt refused;
        refused.again = true;
        co_return refused;
    }
    learn(*answer, contact);
    if (answer->outcome != fleet_outcome::unavailable) {
        m_inTouchAt = m_clock.now();
    }
    attempt made;
    made.again = answer->outcome == fleet_outcome::unavailable;
    made.answer = std::move(*answer);
    co_return made;
}

asio::awaitable<fleet_answer> leader_client::serve(fleet_request request, steady_span patience,
                                                   steady_span timeout)
{
    const steady_time begin = m_clock.now();
    while (true) {
        const steady_span left = begin + timeout - m_clock.now();
        const attempt made = co_await tryOnce(request, std::min<steady_span>(left, attemptLimit));
        if (!made.again || m_clock.now() + retryPause > begin + patience) {
            co_return made.answer;
        }
        co_await m_clock.sleepFor(retryPause);
    }
}

} // namespace mango
