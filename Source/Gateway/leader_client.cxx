#include "Gateway/leader_client.h"

#include <algorithm>

#include "Common/event_log.h"
#include "Common/log.h"

namespace mango {

namespace asio = boost::asio;

namespace {

// How often the leader is probed. Readiness follows a change within two intervals.
constexpr auto probeInterval = std::chrono::milliseconds(400);
constexpr auto probeTimeout = std::chrono::milliseconds(600);
// The process is not ready when the leader has not responded for this long.
constexpr auto leaderSilenceLimit = std::chrono::milliseconds(1500);
// The wait before another replica is tried.
constexpr auto retryInterval = std::chrono::milliseconds(60);
// How long to wait for the response of one replica, so that time is left to try others.
constexpr auto attemptTimeout = std::chrono::milliseconds(1200);

// How often the knowledge of this process is noted for receiptMark().
constexpr auto receiptInterval = std::chrono::milliseconds(100);

bool isReadOnly(const fleet_request &request)
{
    return std::holds_alternative<query_call>(request)
           || std::holds_alternative<group_call>(request);
}

} // namespace

struct leader_client::attempt
{
    fleet_response response;
    // The call had no effect, or is read-only, so that it may be sent again.
    bool mayRetry = false;
};

leader_client::leader_client(asio::any_io_executor executor, clock_source &clock, network &links,
                             causal_clock &stamps, metrics_registry &metricsRegistry,
                             std::vector<host_address> seeds)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_links(links)
    , m_stamps(stamps)
    , m_metricsRegistry(metricsRegistry)
    , m_seeds(std::move(seeds))
    , m_replicas(m_seeds)
    , m_receipts(receiptInterval)
{}

asio::awaitable<void> leader_client::run()
{
    while (true) {
        fleet_call probe;
        probe.request = group_call{};
        co_await serve(std::move(probe), steady_span(0), probeTimeout);
        co_await m_clock.sleepFor(isLeaderReachable() ? probeInterval : probeInterval / 4);
    }
}

asio::awaitable<void> leader_client::trackReceipts()
{
    while (true) {
        const steady_time due = m_clock.now() + receiptInterval;
        co_await m_clock.sleepFor(receiptInterval);
        m_receipts.report(m_commandsApplied, due, m_clock.now());
    }
}

void leader_client::setSeeds(std::vector<host_address> seeds)
{
    m_seeds = std::move(seeds);
    m_replicas.insert(m_replicas.end(), m_seeds.begin(), m_seeds.end());
}

bool leader_client::isLeaderReachable() const
{
    return m_clock.now() < m_lastLeaderResponse + leaderSilenceLimit;
}

std::shared_ptr<rpc_client> leader_client::clientOf(const host_address &address)
{
    auto &client = m_clients[address];
    if (!client) {
        client = std::make_shared<rpc_client>(m_executor, m_clock, m_links, m_stamps, address);
    }
    return client;
}

host_address leader_client::nextReplica()
{
    if (m_leader.port != 0) {
        return m_leader;
    }
    m_nextReplica = (m_nextReplica + 1) % m_replicas.size();
    return m_replicas[m_nextReplica];
}

void leader_client::updateFromResponse(const fleet_response &response, const host_address &from)
{
    if (!response.group.empty()) {
        m_replicas = response.group;
        for (const host_address &seed : m_seeds) {
            if (std::find(m_replicas.begin(), m_replicas.end(), seed) == m_replicas.end()) {
                m_replicas.push_back(seed);
            }
        }
    }
    m_commandsApplied = std::max(m_commandsApplied, response.commandsApplied);
    const bool served = response.outcome != fleet_outcome::unavailable;
    if (!served && m_leader != response.leader) {
        logEvent(log_part::entry, "leader-changed",
                 {{"from", toText(m_leader)}, {"to", toText(response.leader)}});
    }
    if (!served) {
        // A replica that cannot serve the call but names its own address as the leader's does not
        // know the leader.
        m_leader = response.leader == from ? host_address{} : response.leader;
    } else if (response.leader.port != 0) {
        m_leader = response.leader;
    }
    if (response.limits && *response.limits != m_limits) {
        m_limits = *response.limits;
        if (onLimits) {
            onLimits(m_limits);
        }
    }
}

asio::awaitable<leader_client::attempt> leader_client::tryOnce(const fleet_call &request,
                                                               steady_span timeout)
{
    const host_address address = nextReplica();
    const auto client = clientOf(address);
    const call message{0, request};
    auto answered = co_await client->invoke(message, timeout);
    if (failed(answered)) {
        const bool notSent = failureOf(answered).reason == network_failure::kind::connectFailed;
        ++m_metricsRegistry.at("mango_leader_calls_failed_total");
        if (m_leader == address) {
            logEvent(log_part::entry, "leader-lost",
                     {{"leader", toText(address)}, {"why", describe(failureOf(answered))}});
            m_leader = {};
        }
        attempt failure;
        failure.mayRetry = notSent || isReadOnly(request.request);
        failure.response.outcome =
                failure.mayRetry ? fleet_outcome::unavailable : fleet_outcome::uncertain;
        co_return failure;
    }
    auto *response = std::get_if<fleet_response>(&valueOf(answered));
    if (response == nullptr) {
        attempt refused;
        refused.mayRetry = true;
        co_return refused;
    }
    updateFromResponse(*response, address);
    if (response->outcome != fleet_outcome::unavailable) {
        m_lastLeaderResponse = m_clock.now();
    }
    attempt current;
    current.mayRetry = response->outcome == fleet_outcome::unavailable;
    current.response = std::move(*response);
    co_return current;
}

asio::awaitable<fleet_response> leader_client::serve(fleet_call request, steady_span leaderTimeout,
                                                     steady_span timeout)
{
    const steady_time begin = m_clock.now();
    while (true) {
        const steady_span left = begin + timeout - m_clock.now();
        const attempt current =
                co_await tryOnce(request, std::min<steady_span>(left, attemptTimeout));
        if (!current.mayRetry || m_clock.now() + retryInterval > begin + leaderTimeout) {
            co_return current.response;
        }
        co_await m_clock.sleepFor(retryInterval);
    }
}

} // namespace mango
