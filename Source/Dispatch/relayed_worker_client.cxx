#include "Dispatch/relayed_worker_client.h"

#include <algorithm>

#include "Common/event_log.h"
#include "Common/log.h"

namespace mango {

namespace asio = boost::asio;

namespace {

// How long a relay that failed a call gets no further calls.
constexpr auto relayBackoff = std::chrono::milliseconds(500);
// The time that a relayed call takes at most in addition to the exchange with the worker.
constexpr auto relayHopTimeout = std::chrono::milliseconds(200);
// A call that took longer to reach the relay than the fastest one, by more than this, is not sent
// on.
constexpr auto transitLimit = std::chrono::milliseconds(600);

// FNV-1a.
constexpr std::uint64_t fnvBasis = 0xcbf29ce484222325U;

std::uint64_t addToHash(std::uint64_t hash, unsigned char byte)
{
    return (hash ^ byte) * 0x100000001b3U;
}

std::uint64_t addToHash(std::uint64_t hash, const std::string &text)
{
    for (const char letter : text) {
        hash = addToHash(hash, static_cast<unsigned char>(letter));
    }
    return hash;
}

// A 64-bit hash of a worker and a relay, with the finalizer of MurmurHash3 to spread similar keys.
std::uint64_t hashOf(std::uint64_t workerHash, const host_address &relay)
{
    std::uint64_t hash = addToHash(workerHash, relay.ip);
    hash = addToHash(hash, static_cast<unsigned char>(relay.port >> 8U));
    hash = addToHash(hash, static_cast<unsigned char>(relay.port));
    hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdU;
    hash = (hash ^ (hash >> 33U)) * 0xc4ceb9fe1a85ec53U;
    return hash ^ (hash >> 33U);
}

} // namespace

bool transit_monitor::isLate(std::uint64_t term, std::chrono::milliseconds sentAt,
                             steady_time receivedAt)
{
    const auto offset =
            std::chrono::duration_cast<std::chrono::milliseconds>(receivedAt.time_since_epoch())
            - sentAt;
    if (term != m_term) {
        m_term = term;
        m_shortest = offset;
    }
    m_shortest = std::min(m_shortest, offset);
    return offset - m_shortest > transitLimit;
}

worker_call_answer relayFailure(worker_call_result result)
{
    const worker_response response{result, std::nullopt, true};
    return {response};
}

const host_address &chooseRelay(const std::vector<host_address> &relays, const std::string &worker)
{
    const std::uint64_t workerHash = addToHash(fnvBasis, worker);
    return *std::max_element(relays.begin(), relays.end(),
                             [workerHash](const host_address &one, const host_address &other) {
                                 return hashOf(workerHash, one) < hashOf(workerHash, other);
                             });
}

relayed_worker_client::relayed_worker_client(asio::any_io_executor executor, clock_source &clock,
                                             network &links, causal_clock &stamps,
                                             metrics_registry &metricsRegistry,
                                             worker_client &direct,
                                             std::chrono::milliseconds responseTimeout,
                                             work_meter *work)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_links(links)
    , m_stamps(stamps)
    , m_direct(direct)
    , m_responseTimeout(responseTimeout)
    , m_work(work)
    , m_relayedCalls(metricsRegistry.at("mango_relayed_calls_total"))
    , m_failedCalls(metricsRegistry.at("mango_relayed_calls_failed_total"))
    , m_relayCount(metricsRegistry.at("mango_relays"))
{}

void relayed_worker_client::setRelays(std::vector<host_address> relays)
{
    bool changed = false;
    for (auto one = m_relays.begin(); one != m_relays.end();) {
        if (std::binary_search(relays.begin(), relays.end(), one->first)) {
            ++one;
            continue;
        }
        one->second.client->close();
        one = m_relays.erase(one);
        changed = true;
    }
    for (host_address &address : relays) {
        relay &one = m_relays[address];
        if (!one.client) {
            one.client = std::make_shared<rpc_client>(m_executor, m_clock, m_links, m_stamps,
                                                      address, m_work);
            changed = true;
        }
    }
    m_relayCount = m_relays.size();
    if (changed) {
        logEvent(log_part::scheduler, "relays", {{"count", m_relays.size()}});
    }
}

host_address relayed_worker_client::relayOf(const std::string &worker) const
{
    if (m_relays.empty()) {
        return {};
    }
    const steady_time now = m_clock.now();
    const std::uint64_t workerHash = addToHash(fnvBasis, worker);
    const host_address *chosen = nullptr;
    std::uint64_t highest = 0;
    for (const auto &[address, one] : m_relays) {
        if (now < one.suspendedUntil) {
            continue;
        }
        const std::uint64_t hash = hashOf(workerHash, address);
        if (chosen == nullptr || hash > highest) {
            chosen = &address;
            highest = hash;
        }
    }
    return chosen == nullptr ? host_address{} : *chosen;
}

void relayed_worker_client::suspend(const host_address &address)
{
    ++m_failedCalls;
    const auto found = m_relays.find(address);
    if (found == m_relays.end()) {
        return;
    }
    const steady_time now = m_clock.now();
    if (now >= found->second.suspendedUntil) {
        logEvent(log_part::scheduler, "relay-suspended", {{"relay", toText(address)}});
    }
    found->second.suspendedUntil = now + relayBackoff;
}

call relayed_worker_client::makeCall(worker_call_target target,
                                     decltype(worker_call::request) request)
{
    ++m_relayedCalls;
    const auto sentAt =
            std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now().time_since_epoch());
    return {0, worker_call{std::move(target), sentAt, std::move(request)}};
}

worker_call_answer relayed_worker_client::takeAnswer(const host_address &address,
                                                     call_outcome outcome)
{
    if (failed(outcome)) {
        suspend(address);
        const bool neverSent = failureOf(outcome).reason == network_failure::kind::connectFailed;
        return relayFailure(neverSent ? worker_call_result::neverSent
                                      : worker_call_result::unanswered);
    }
    auto *received = std::get_if<worker_call_answer>(&valueOf(outcome));
    if (received == nullptr) {
        suspend(address);
        return relayFailure(worker_call_result::unanswered);
    }
    const auto *response = std::get_if<worker_response>(&received->answer);
    if (response != nullptr && response->relayFailed) {
        suspend(address);
    }
    return std::move(*received);
}

asio::awaitable<worker_response> relayed_worker_client::sendOrder(host_address address,
                                                                  call message)
{
    const std::shared_ptr<rpc_client> client = m_relays.at(address).client;
    // The relay may first wait for a free connection to the worker.
    auto outcome = co_await client->invoke(message, m_responseTimeout * 2 + relayHopTimeout);
    const worker_call_answer received = takeAnswer(address, std::move(outcome));
    const auto *response = std::get_if<worker_response>(&received.answer);
    co_return response == nullptr ? worker_response{} : *response;
}

asio::awaitable<std::variant<worker_report, worker_response>>
relayed_worker_client::sendRenewal(host_address address, call message, steady_span timeout)
{
    const std::shared_ptr<rpc_client> client = m_relays.at(address).client;
    auto outcome = co_await client->invoke(message, timeout);
    worker_call_answer received = takeAnswer(address, std::move(outcome));
    if (auto *report = std::get_if<worker_report>(&received.answer)) {
        co_return std::move(*report);
    }
    co_return std::get<worker_response>(received.answer);
}

asio::awaitable<worker_response> relayed_worker_client::start(worker_call_target target,
                                                              start_run_request request)
{
    host_address address = relayOf(target.incarnation.id);
    if (address.port == 0) {
        return m_direct.start(std::move(target), std::move(request));
    }
    return sendOrder(std::move(address), makeCall(std::move(target), std::move(request)));
}

asio::awaitable<worker_response> relayed_worker_client::stop(worker_call_target target, run_key key)
{
    host_address address = relayOf(target.incarnation.id);
    if (address.port == 0) {
        return m_direct.stop(std::move(target), key);
    }
    return sendOrder(std::move(address), makeCall(std::move(target), stop_run_request{key}));
}

asio::awaitable<worker_response> relayed_worker_client::throttle(worker_call_target target,
                                                                 run_key key, std::uint32_t percent)
{
    host_address address = relayOf(target.incarnation.id);
    if (address.port == 0) {
        return m_direct.throttle(std::move(target), key, percent);
    }
    return sendOrder(std::move(address),
                     makeCall(std::move(target), throttle_run_request{key, percent}));
}

asio::awaitable<std::variant<worker_report, worker_response>>
relayed_worker_client::renewLease(worker_call_target target, renew_lease_request request)
{
    host_address address = relayOf(target.incarnation.id);
    if (address.port == 0) {
        return m_direct.renewLease(std::move(target), request);
    }
    // The relay sends a renewal again when the worker has closed the connection.
    const steady_span timeout = request.wait + m_responseTimeout * 2 + relayHopTimeout;
    return sendRenewal(std::move(address), makeCall(std::move(target), request), timeout);
}

void relayed_worker_client::closeConnections(const worker_incarnation &incarnation)
{
    m_direct.closeConnections(incarnation);
}

namespace {

asio::awaitable<worker_call_answer> execute(worker_client &direct, worker_call_target target,
                                            start_run_request request)
{
    worker_call_answer result;
    result.answer = co_await direct.start(std::move(target), std::move(request));
    co_return result;
}

asio::awaitable<worker_call_answer> execute(worker_client &direct, worker_call_target target,
                                            stop_run_request request)
{
    worker_call_answer result;
    result.answer = co_await direct.stop(std::move(target), request.key);
    co_return result;
}

asio::awaitable<worker_call_answer> execute(worker_client &direct, worker_call_target target,
                                            throttle_run_request request)
{
    worker_call_answer result;
    result.answer = co_await direct.throttle(std::move(target), request.key, request.percent);
    co_return result;
}

asio::awaitable<worker_call_answer> execute(worker_client &direct, worker_call_target target,
                                            renew_lease_request request)
{
    worker_call_answer result;
    auto renewed = co_await direct.renewLease(std::move(target), request);
    if (auto *report = std::get_if<worker_report>(&renewed)) {
        result.answer = std::move(*report);
    } else {
        result.answer = std::get<worker_response>(renewed);
    }
    co_return result;
}

} // namespace

asio::awaitable<worker_call_answer> executeWorkerCall(worker_client &direct, worker_call request)
{
    return std::visit(
            [&](auto &typed) {
                return execute(direct, std::move(request.worker), std::move(typed));
            },
            request.request);
}

} // namespace mango
