#include "Entry/keyed_request.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Entry/admission.h"
#include "Entry/job_api.h"
#include "Entry/responses.h"
#include "Wire/frame_codec.h"

namespace mango {

namespace asio = boost::asio;

namespace {

constexpr std::uint32_t maximumAttempts = 4;
constexpr auto releaseTimeout = std::chrono::seconds(20);
constexpr auto storeTimeout = std::chrono::seconds(3);
constexpr auto queryTimeout = std::chrono::seconds(2);
constexpr std::size_t maximumStoredBody = 64U << 10U;

std::string fingerprintOf(const http_request &request)
{
    const std::string whole = request.method + "\n" + request.target + "\n" + request.body;
    return std::to_string(crc32Of(whole)) + "-" + std::to_string(whole.size());
}

http_response replayedResponse(const stored_response &stored)
{
    return {stored.status,
            {{"Content-Type", stored.contentType},
             {"Mango-Outcome", "answered"},
             {"Mango-Replayed", "yes"}},
            stored.body};
}

http_response keyReusedResponse()
{
    return entryResponse(422, "not-run", "the key was used for another request");
}

// Releases the claim of an attempt that never ran; keeps proposing it until committed or timed out.
asio::awaitable<void> releaseClaim(entry_state &entry, control_client &control, std::string key,
                                   std::string attempt)
{
    const release_claim_command change{std::move(key), std::move(attempt)};
    co_await control.propose(change, entry.clock.now() + releaseTimeout);
}

void releaseInBackground(entry_state &entry, control_client &control, const std::string &key,
                         const std::string &attempt)
{
    asio::co_spawn(entry.executor, releaseClaim(entry, control, key, attempt), asio::detached);
}

asio::awaitable<http_response> storeAndRespond(entry_state &entry, control_client &control,
                                               std::string key, std::string attempt,
                                               http_response response)
{
    stored_response stored;
    stored.status = response.status;
    stored.contentType = headerValue(response.headers, "Content-Type");
    if (response.body.size() <= maximumStoredBody) {
        stored.body = response.body;
    }
    const complete_claim_command change{std::move(key), std::move(attempt), std::move(stored)};
    const auto proposed = co_await control.propose(change, entry.clock.now() + storeTimeout);
    if (failed(proposed)) {
        // The response is still valid; a resend with the same key gets it from the worker.
        ++entry.metricsRegistry.at("mango_answers_not_stored_total");
    }
    co_return workerResponse(std::move(response));
}

http_response inProgressResponse(entry_state &entry)
{
    ++entry.metricsRegistry.at("mango_claim_conflicts_total");
    http_response response = entryResponse(
            409, "unknown", "a request with this key is in progress or its end unknown");
    response.headers.emplace_back("Retry-After", "1");
    return response;
}

// Handles a key that another attempt has claimed, by asking the worker of that attempt whether it
// ran. Returns the response for the caller, or nothing when the claim was released and the key can
// be claimed again.
asio::awaitable<std::optional<http_response>> resolveConflict(entry_state &entry,
                                                              control_client &control,
                                                              std::string key, claim_conflict held,
                                                              steady_time deadline)
{
    const auto worker = entry.workers.find(held.worker);
    const bool sameIncarnation =
            worker != entry.workers.end()
            && worker->second->view.announced.incarnation == held.workerIncarnation;
    if (!sameIncarnation) {
        co_return inProgressResponse(entry);
    }
    const auto resolved = co_await resolveAttempt(entry, worker->second, held.attempt, false);
    if (resolved.state == attempt_state::answered) {
        co_return co_await storeAndRespond(entry, control, key, held.attempt, resolved.response);
    }
    if (resolved.state != attempt_state::neverRan) {
        co_return inProgressResponse(entry);
    }
    // The worker has blocked that attempt and will never start it, so its claim can be released.
    const release_claim_command change{key, held.attempt};
    const auto released = co_await control.propose(change, deadline);
    if (failed(released)) {
        co_return refusalResponse(entry, refusal_reason::claimFailed, "");
    }
    co_return std::nullopt;
}

} // namespace

std::string recordKeyOf(const http_request &request)
{
    const std::string key = headerValue(request.headers, "Idempotency-Key");
    return key.empty() ? "" : request.method + " " + pathOf(request.target) + ":" + key;
}

routed_request routedRequestOf(const dispatched_request &request)
{
    return {request.request.method, pathOf(request.request.target), request.configVersion};
}

http_response routeRemovedResponse(entry_state &entry, const http_request &request,
                                   const std::string &pool)
{
    const bool isRouted =
            matchRoute(entry.routeTable, request.method, pathOf(request.target)) != nullptr;
    return refusalResponse(entry, isRouted ? refusal_reason::routeRemoved : refusal_reason::noRoute,
                           pool);
}

namespace {

// Returns the response to a request without a route of which nothing is recorded. It is certain not
// to run only if no entry has a route for it.
http_response unrecordedResponse(entry_state &entry, bool isRouted)
{
    if (isRouted) {
        return unknownOutcomeResponse(
                entry, "this entry does not know the route yet, and another one may run it");
    }
    return refusalResponse(entry, refusal_reason::noRoute, "");
}

} // namespace

asio::awaitable<http_response> serveWithoutRoute(entry_state &entry, control_client &control,
                                                 http_request request)
{
    const std::string key = recordKeyOf(request);
    if (key.empty()) {
        co_return refusalResponse(entry, refusal_reason::noRoute, "");
    }
    const steady_time deadline = entry.clock.now() + queryTimeout;
    key_request query{key, request.method, pathOf(request.target)};
    const auto queried = co_await control.queryKey(std::move(query), deadline);
    if (failed(queried)) {
        co_return unknownOutcomeResponse(
                entry, "no route matches, and a request with this key may have run before");
    }
    const key_response recorded = valueOf(queried);
    if (recorded.job) {
        co_return jobResponse(202, *recorded.job);
    }
    if (!recorded.claim) {
        co_return unrecordedResponse(entry, recorded.routed);
    }
    if (recorded.claim->fingerprint != fingerprintOf(request)) {
        co_return keyReusedResponse();
    }
    if (recorded.claim->completed) {
        co_return replayedResponse(recorded.claim->response);
    }
    const claim_conflict held{recorded.claim->attempt, recorded.claim->worker,
                              recorded.claim->workerIncarnation};
    auto response = co_await resolveConflict(entry, control, key, held, deadline);
    if (response) {
        co_return std::move(*response);
    }
    co_return unrecordedResponse(entry, recorded.routed);
}

asio::awaitable<http_response> serveKeyed(entry_state &entry, control_client &control,
                                          const route row, dispatched_request request)
{
    const std::string key = recordKeyOf(request.request);
    const std::string fingerprint = fingerprintOf(request.request);
    std::set<std::string> tried;
    bool claimed = false;
    for (std::uint32_t attempt = 1; attempt <= maximumAttempts; ++attempt) {
        // Each attempt has its own id, in the claim and at the worker, so that it can be resolved
        // later.
        const std::string attemptName = attemptId(request.id, attempt);
        auto held = co_await acquireCredit(entry, row.pool, row.priority, request.deadline, tried);
        if (failed(held)) {
            co_return refusalResponse(entry, failureOf(held), row.pool);
        }
        const worker_view worker = valueOf(held).worker->view;
        const auto wallTime = std::chrono::duration_cast<std::chrono::milliseconds>(
                entry.clock.wallTime().time_since_epoch());
        const claim_command change{key,
                                   fingerprint,
                                   attemptName,
                                   worker.announced.name,
                                   worker.announced.incarnation,
                                   static_cast<std::uint64_t>(wallTime.count()),
                                   routedRequestOf(request)};
        const auto proposed = co_await control.propose(change, request.deadline);
        claimed = !failed(proposed) && std::holds_alternative<change_accepted>(valueOf(proposed));
        const bool tooLate = entry.clock.now() >= request.deadline || !holdsLease(entry);
        if (!claimed || tooLate) {
            releaseCredit(entry, valueOf(held));
        }
        if (failed(proposed) || (claimed && tooLate)) {
            releaseInBackground(entry, control, key, attemptName);
            co_return refusalResponse(entry, refusal_reason::claimFailed, row.pool);
        }
        if (const auto *previous = std::get_if<already_answered>(&valueOf(proposed))) {
            co_return replayedResponse(previous->response);
        }
        if (const auto *refused = std::get_if<change_refused>(&valueOf(proposed))) {
            co_return refused->reason == command_refusal_reason::routeRemoved
                    ? routeRemovedResponse(entry, request.request, row.pool)
                    : keyReusedResponse();
        }
        if (const auto *other = std::get_if<claim_conflict>(&valueOf(proposed))) {
            auto response = co_await resolveConflict(entry, control, key, *other, request.deadline);
            if (response) {
                co_return std::move(*response);
            }
            continue;
        }
        tried.insert(worker.announced.name);
        auto outcome = co_await sendAttempt(entry, valueOf(held), request, attempt);
        if (outcome.result == attempt_result::answered) {
            co_return co_await storeAndRespond(entry, control, key, attemptName,
                                               std::move(outcome.response));
        }
        if (outcome.result == attempt_result::unknown) {
            co_return unknownOutcomeResponse(entry, outcome.reason);
        }
        const release_claim_command release{key, attemptName};
        const auto released = co_await control.propose(release, request.deadline);
        if (failed(released)) {
            releaseInBackground(entry, control, key, attemptName);
            break;
        }
    }
    co_return refusalResponse(entry, refusal_reason::noWorker, row.pool);
}

} // namespace mango
