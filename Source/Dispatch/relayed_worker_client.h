#pragma once

#include <map>
#include <memory>
#include <vector>

#include "Common/metrics_registry.h"
#include "Wire/rpc.h"

namespace mango {

// Returns the relay that carries the calls to a worker, by rendezvous hashing: when a relay joins
// or leaves, only its own share of the workers changes. The relays must not be empty.
const host_address &chooseRelay(const std::vector<host_address> &relays, const std::string &worker);

// Sends the leader's calls to workers through other replicas, so that the connections to workers
// and the processor time of the exchanges are spread over the group. Without relays the calls are
// sent directly. The relays keep no state: a worker's calls can go through another relay at any
// time.
//
// A call whose relay fails yields `neverSent` or `unanswered` with `relayFailed` set, and the relay
// gets no calls for a moment.
class relayed_worker_client final : public worker_client
{
public:
    // `responseTimeout` is the time that a relay waits for the response of a worker. The references
    // must outlive the client.
    relayed_worker_client(boost::asio::any_io_executor executor, clock_source &clock,
                          network &links, causal_clock &stamps, metrics_registry &metricsRegistry,
                          worker_client &direct, std::chrono::milliseconds responseTimeout,
                          work_meter *work = nullptr);

    // Replaces the relays, in ascending order. The calls in progress of those that left fail at
    // once.
    void setRelays(std::vector<host_address> relays);
    // Returns the relay that the next call to the worker uses; port 0 for a direct call.
    [[nodiscard]] host_address relayOf(const std::string &worker) const;

    boost::asio::awaitable<worker_response> start(worker_call_target target,
                                                  start_run_request request) override;
    boost::asio::awaitable<worker_response> stop(worker_call_target target, run_key key) override;
    boost::asio::awaitable<worker_response> throttle(worker_call_target target, run_key key,
                                                     std::uint32_t percent) override;
    boost::asio::awaitable<std::variant<worker_report, worker_response>>
    renewLease(worker_call_target target, renew_lease_request request) override;
    void closeConnections(const worker_incarnation &incarnation) override;

private:
    struct relay
    {
        std::shared_ptr<rpc_client> client;
        // It gets no calls until then.
        steady_time suspendedUntil{};
    };

    // The call that asks a relay to send a request to the worker.
    call makeCall(worker_call_target target, decltype(worker_call::request) request);
    boost::asio::awaitable<worker_response> sendOrder(host_address address, call message);
    boost::asio::awaitable<std::variant<worker_report, worker_response>>
    sendRenewal(host_address address, call message, steady_span timeout);
    // The answer of a relay; a relay that failed is suspended.
    worker_call_answer takeAnswer(const host_address &address, call_outcome outcome);
    void suspend(const host_address &address);

    boost::asio::any_io_executor m_executor;
    clock_source &m_clock;
    network &m_links;
    causal_clock &m_stamps;
    worker_client &m_direct;
    std::chrono::milliseconds m_responseTimeout;
    work_meter *m_work;
    std::uint64_t &m_relayedCalls;
    std::uint64_t &m_failedCalls;
    std::uint64_t &m_relayCount;
    std::map<host_address, relay> m_relays;
};

// Tells a relay which calls were held up on their way from the leader, for example while one of the
// two hosts was suspended. The clocks of the two are not related; the call that took the shortest
// time so far shows the difference between them.
class transit_monitor
{
public:
    // Returns true when the call took much longer than the fastest one of the term.
    bool isLate(std::uint64_t term, std::chrono::milliseconds sentAt, steady_time receivedAt);

private:
    std::uint64_t m_term = 0;
    std::chrono::milliseconds m_shortest{0};
};

// The answer to a call that failed because of its relay.
worker_call_answer relayFailure(worker_call_result result);

// Carries out a relayed call over the direct client.
boost::asio::awaitable<worker_call_answer> executeWorkerCall(worker_client &direct,
                                                             worker_call request);

} // namespace mango
