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

constexpr double smoothing = 0.1;
// A connection idle for longer may have been forgotten by something on the way, so a request that
// cannot be sent twice takes a fresh one.
constexpr auto provenConnectionAge = std::chrono::seconds(1);
constexpr auto longestIdleAge = std::chrono::seconds(15);
// An idempotent request on a connection that stays silent is tried again after that many of the
// usual answer times.
constexpr double silentAnswerTimes = 10;
constexpr auto shortestSilence = std::chrono::milliseconds(150);
constexpr auto firstAvoidance = std::chrono::milliseconds(500);
constexpr std::uint32_t longestAvoidanceDoublings = 4;
constexpr auto resolveTimeout = std::chrono::milliseconds(500);
constexpr auto reclaimPause = std::chrono::milliseconds(100);
constexpr std::size_t maximumIdleConnections = 64;

std::unique_ptr<http_client> takeConnection(entry_state &entry, worker_link &worker,
                                            bool idempotent)
{
    const steady_time now = entry.clock.now();
    const steady_span oldest =
            idempotent ? steady_span(longestIdleAge) : steady_span(provenConnectionAge);
    while (!worker.idle.empty()) {
        idle_connection connection = std::move(worker.idle.back());
        worker.idle.pop_back();
        if (now - connection.lastAnswer < oldest) {
            return std::move(connection.client);
        }
    }
    return makeHttpClient(entry.executor, {worker.view.announced.address, "", 16ULL << 20U});
}

steady_span attemptTimeout(const entry_state &entry, const worker_link &worker,
                           const dispatched_request &request, bool reused)
{
    const steady_span left = std::max(request.deadline - entry.clock.now(), steady_span(0));
    if (!request.idempotent || !reused) {
        return left;
    }
    const auto silence = std::chrono::microseconds(
            static_cast<std::int64_t>(worker.responseMicroseconds * silentAnswerTimes));
    return std::min(left, std::max<steady_span>(shortestSilence, silence));
}

void countAnswer(worker_link &worker, double microseconds)
{
    worker.consecutiveFailures = 0;
    worker.avoidUntil = {};
    worker.windowMicroseconds += microseconds;
    ++worker.windowAnswers;
    worker.responseMicroseconds =
            worker.responseMicroseconds == 0
                    ? microseconds
                    : (1 - smoothing) * worker.responseMicroseconds + smoothing * microseconds;
}

// Blames the worker only when a fresh connection failed; an old one may itself be the cause, and
// then its neighbours are no better.
void countFailure(entry_state &entry, worker_link &worker, const http_failure &failure)
{
    worker.idle.clear();
    ++worker.windowFailures;
    if (failure.reused) {
        ++entry.counted.at("mango_stale_connections_total");
        return;
    }
    const std::uint32_t doublings = std::min(worker.consecutiveFailures, longestAvoidanceDoublings);
    worker.avoidUntil = entry.clock.now() + firstAvoidance * (1U << doublings);
    ++worker.consecutiveFailures;
}

http_request forwarded(const entry_state &entry, const dispatched_request &request,
                       std::uint32_t attempt)
{
    http_request sent = request.request;
    std::erase_if(sent.headers, [](const auto &header) {
        return header.first.starts_with("Mango-") || header.first.starts_with("mango-");
    });
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline
                                                                            - entry.clock.now());
    sent.headers.emplace_back("Mango-Attempt", attemptId(request.id, attempt));
    sent.headers.emplace_back("Mango-Session", std::to_string(entry.session));
    sent.headers.emplace_back("Mango-Deadline-Ms",
                              std::to_string(std::max<std::int64_t>(0, left.count())));
    return sent;
}

// Holds a credit until the worker has confirmed that the attempt is over for good.
asio::awaitable<void> reclaimCredit(entry_state &entry, credit held, std::string attempt)
{
    ++entry.counted.at("mango_reclaims_total");
    while (held.worker->generation == held.generation) {
        const auto resolved = co_await resolveAttempt(entry, held.worker, attempt, true);
        if (resolved.state != attempt_state::running
            && resolved.state != attempt_state::unreachable) {
            break;
        }
        co_await entry.clock.sleepFor(reclaimPause);
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
        resolved.answer.body = std::string(body->as_string());
        resolved.answer.status = status->to_number<unsigned>(error);
        if (const json::value *type = object->if_contains("content_type");
            type != nullptr && type->is_string()) {
            resolved.answer.headers.emplace_back("Content-Type", std::string(type->as_string()));
        }
    }
    co_return resolved;
}

asio::awaitable<attempt_outcome> attemptOn(entry_state &entry, credit held,
                                           dispatched_request request, std::uint32_t attempt)
{
    worker_link &worker = *held.worker;
    auto client = takeConnection(entry, worker, request.idempotent);
    const bool reused = client->isOpen();
    const steady_time startedAt = entry.clock.now();
    const http_request sent = forwarded(entry, request, attempt);
    const steady_span timeout = attemptTimeout(entry, worker, request, reused);
    auto answered = co_await client->exchange(sent, timeout);
    attempt_outcome outcome;
    if (!failed(answered)) {
        outcome.answer = std::move(valueOf(answered));
        if (client->isOpen() && worker.idle.size() < maximumIdleConnections) {
            worker.idle.push_back({std::move(client), entry.clock.now()});
        }
        const bool refused = outcome.answer.status == 503
                             && headerValue(outcome.answer.headers, "Mango-Outcome") == "not-run";
        outcome.result = refused ? attempt_result::notRun : attempt_result::answered;
        outcome.reason = refused ? "the worker refused" : "";
        if (!refused) {
            countAnswer(worker,
                        std::chrono::duration<double, std::micro>(entry.clock.now() - startedAt)
                                .count());
        }
        releaseCredit(entry, held);
        co_return outcome;
    }
    const http_failure &failure = failureOf(answered);
    countFailure(entry, worker, failure);
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
