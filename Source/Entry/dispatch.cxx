#include "Entry/dispatch.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include "Entry/admission.h"

namespace mango {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr double responseTimeSmoothing = 0.1;
// A firewall or address translator may have dropped a connection that was idle for longer without
// closing it. A request that cannot be sent twice then gets a new connection.
constexpr auto provenConnectionAge = std::chrono::seconds(1);
constexpr auto maximumIdleAge = std::chrono::seconds(15);
// An idempotent request on a reused connection is retried when there is no response for this many
// times the worker's mean response time.
constexpr double silenceResponseTimes = 10;
constexpr auto minimumSilence = std::chrono::milliseconds(150);
constexpr auto initialBackoff = std::chrono::milliseconds(500);
constexpr std::uint32_t maximumBackoffDoublings = 4;
constexpr auto resolveTimeout = std::chrono::milliseconds(500);
constexpr auto reclaimInterval = std::chrono::milliseconds(100);
constexpr std::size_t maximumIdleConnections = 64;

std::unique_ptr<http_client> takeConnection(entry_state &entry, upstream_worker &worker,
                                            bool idempotent)
{
    const steady_time now = entry.clock.now();
    const steady_span oldest =
            idempotent ? steady_span(maximumIdleAge) : steady_span(provenConnectionAge);
    while (!worker.idle.empty()) {
        idle_connection connection = std::move(worker.idle.back());
        worker.idle.pop_back();
        if (now - connection.lastResponse < oldest) {
            return std::move(connection.client);
        }
    }
    return makeHttpClient(entry.executor, {worker.view.announced.address, "", 16ULL << 20U});
}

steady_span attemptTimeout(const entry_state &entry, const upstream_worker &worker,
                           const dispatched_request &request, bool reused)
{
    const steady_span left = std::max(request.deadline - entry.clock.now(), steady_span(0));
    if (!request.idempotent || !reused) {
        return left;
    }
    const auto silence = std::chrono::microseconds(
            static_cast<std::int64_t>(worker.responseMicroseconds * silenceResponseTimes));
    return std::min(left, std::max<steady_span>(minimumSilence, silence));
}

void recordResponse(upstream_worker &worker, double microseconds)
{
    worker.consecutiveFailures = 0;
    worker.backoffUntil = {};
    worker.windowMicroseconds += microseconds;
    ++worker.windowResponses;
    worker.responseMicroseconds =
            worker.responseMicroseconds == 0
                    ? microseconds
                    : (1 - responseTimeSmoothing) * worker.responseMicroseconds
                              + responseTimeSmoothing * microseconds;
}

// Backs off from the worker only when a new connection failed. A reused connection may itself have
// been dropped, and then the other idle ones probably were too, so all of them are closed.
void recordFailure(entry_state &entry, upstream_worker &worker, const http_failure &failure)
{
    worker.idle.clear();
    ++worker.windowFailures;
    if (failure.reused) {
        ++entry.metricsRegistry.at("mango_stale_connections_total");
        return;
    }
    const std::uint32_t doublings = std::min(worker.consecutiveFailures, maximumBackoffDoublings);
    worker.backoffUntil = entry.clock.now() + initialBackoff * (1U << doublings);
    ++worker.consecutiveFailures;
}

http_request makeForwardedRequest(const entry_state &entry, const dispatched_request &request,
                                  std::uint32_t attempt)
{
    http_request forwarded = request.request;
    std::erase_if(forwarded.headers, [](const auto &header) {
        return header.first.starts_with("Mango-") || header.first.starts_with("mango-");
    });
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline
                                                                            - entry.clock.now());
    forwarded.headers.emplace_back("Mango-Attempt", attemptId(request.id, attempt));
    forwarded.headers.emplace_back("Mango-Session", std::to_string(entry.session));
    forwarded.headers.emplace_back("Mango-Deadline-Ms",
                                   std::to_string(std::max<std::int64_t>(0, left.count())));
    return forwarded;
}

// Holds a credit until the worker has confirmed that the attempt has ended or will never start, so
// that the worker never has more requests in progress than credits were given for.
asio::awaitable<void> reclaimCredit(entry_state &entry, credit held, std::string attempt)
{
    ++entry.metricsRegistry.at("mango_reclaims_total");
    while (held.worker->generation == held.generation) {
        const auto resolved = co_await resolveAttempt(entry, held.worker, attempt, true);
        if (resolved.state != attempt_state::running
            && resolved.state != attempt_state::unreachable) {
            break;
        }
        co_await entry.clock.sleepFor(reclaimInterval);
    }
    releaseCredit(entry, held);
}

} // namespace

std::string attemptId(const std::string &request, std::uint32_t attempt)
{
    return request + "." + std::to_string(attempt);
}

asio::awaitable<resolved_attempt> resolveAttempt(entry_state &entry, worker_handle worker,
                                                 std::string attempt, bool cancel)
{
    const auto client =
            makeHttpClient(entry.executor, {worker->view.announced.address, "", 16ULL << 20U});
    http_request request{
            "POST", "/mango/v1/attempts", {{"Content-Type", "application/json"}}, "", {}};
    request.body = json::serialize(json::object{{"attempt", attempt}, {"cancel", cancel}});
    const auto answered = co_await client->exchange(request, resolveTimeout);
    resolved_attempt resolved;
    if (failed(answered) || valueOf(answered).status != 200) {
        co_return resolved;
    }
    boost::system::error_code error;
    const json::value parsed = json::parse(valueOf(answered).body, error);
    const json::object *object = error ? nullptr : parsed.if_object();
    const json::value *state = object == nullptr ? nullptr : object->if_contains("state");
    if (state == nullptr || !state->is_string()) {
        co_return resolved;
    }
    const std::string name(state->as_string());
    static const std::map<std::string, attempt_state> states = {
            {"never_ran", attempt_state::neverRan},
            {"running", attempt_state::running},
            {"ended", attempt_state::ended},
            {"answered", attempt_state::answered}};
    const auto found = states.find(name);
    if (found == states.end()) {
        co_return resolved;
    }
    resolved.state = found->second;
    const json::value *body = object->if_contains("body");
    const json::value *status = object->if_contains("status");
    if (resolved.state == attempt_state::answered && body != nullptr && body->is_string()
        && status != nullptr) {
        resolved.response.body = std::string(body->as_string());
        resolved.response.status = status->to_number<unsigned>(error);
        if (const json::value *type = object->if_contains("content_type");
            type != nullptr && type->is_string()) {
            resolved.response.headers.emplace_back("Content-Type", std::string(type->as_string()));
        }
    }
    co_return resolved;
}

asio::awaitable<attempt_outcome> sendAttempt(entry_state &entry, credit held,
                                             dispatched_request request, std::uint32_t attempt)
{
    upstream_worker &worker = *held.worker;
    auto client = takeConnection(entry, worker, request.idempotent);
    const bool reused = client->isOpen();
    const steady_time startedAt = entry.clock.now();
    const http_request forwarded = makeForwardedRequest(entry, request, attempt);
    const steady_span timeout = attemptTimeout(entry, worker, request, reused);
    auto answered = co_await client->exchange(forwarded, timeout);
    attempt_outcome outcome;
    if (!failed(answered)) {
        outcome.response = std::move(valueOf(answered));
        if (client->isOpen() && worker.idle.size() < maximumIdleConnections) {
            worker.idle.push_back({std::move(client), entry.clock.now()});
        }
        const bool refused = outcome.response.status == 503
                             && headerValue(outcome.response.headers, "Mango-Outcome") == "not-run";
        outcome.result = refused ? attempt_result::notRun : attempt_result::answered;
        outcome.reason = refused ? "the worker refused" : "";
        if (!refused) {
            recordResponse(worker,
                           std::chrono::duration<double, std::micro>(entry.clock.now() - startedAt)
                                   .count());
        }
        releaseCredit(entry, held);
        co_return outcome;
    }
    const http_failure &failure = failureOf(answered);
    recordFailure(entry, worker, failure);
    outcome.reason = describe(failure);
    if (!failure.sent) {
        outcome.result = attempt_result::notRun;
        releaseCredit(entry, held);
        co_return outcome;
    }
    outcome.result = attempt_result::unknown;
    asio::co_spawn(entry.executor, reclaimCredit(entry, held, attemptId(request.id, attempt)),
                   asio::detached);
    co_return outcome;
}

} // namespace mango
