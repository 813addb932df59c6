#include "Entry/keyed_request.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Entry/admission.h"
#include "Entry/answers.h"
#include "Wire/frame_codec.h"

namespace mango {

namespace asio = boost::asio;

namespace {

constexpr std::uint32_t maximumAttempts = 4;
constexpr auto releaseTime = std::chrono::seconds(20);
constexpr auto storeTime = std::chrono::seconds(3);
constexpr std::size_t maximumStoredBody = 64U << 10U;

std::string fingerprintOf(const http_request &request)
{
    const std::string whole = request.method + "\n" + request.target + "\n" + request.body;
    return std::to_string(checksumOf(whole)) + "-" + std::to_string(whole.size());
}

http_answer replayed(const stored_response &stored)
{
    return {stored.status,
            {{"Content-Type", stored.contentType},
             {"Mango-Outcome", "answered"},
             {"Mango-Replayed", "yes"}},
            stored.body};
}

// Gives a claim back whose attempt never ran, for as long as that may take to be agreed on.
asio::awaitable<void> releaseClaim(entry_state &entry, control_link &control, std::string key,
                                   std::string attempt)
{
    const release_claim_command change{std::move(key), std::move(attempt)};
    co_await control.propose(change, entry.clock.now() + releaseTime);
}

void releaseLater(entry_state &entry, control_link &control, const std::string &key,
                  const std::string &attempt)
{
    asio::co_spawn(entry.executor, releaseClaim(entry, control, key, attempt), asio::detached);
}

asio::awaitable<http_answer> storeAndAnswer(entry_state &entry, control_link &control,
                                            std::string key, std::string attempt,
                                            http_answer answer)
{
    stored_response stored;
    stored.status = answer.status;
    stored.contentType = headerValue(answer.headers, "Content-Type");
    if (answer.body.size() <= maximumStoredBody) {
        stored.body = answer.body;
    }
    const complete_claim_command change{std::move(key), std::move(attempt), std::move(stored)};
    const auto agreed = co_await control.propose(change, entry.clock.now() + storeTime);
    if (failed(agreed)) {
        // The answer is right all the same; a resend will ask the worker for it.
        ++entry.counted.at("mango_answers_not_stored_total");
    }
    co_return finishedAnswer(std::move(answer));
}

http_answer inProgress(entry_state &entry)
{
    ++entry.counted.at("mango_claim_conflicts_total");
    http_answer answer =
            ownAnswer(409, "unknown", "a request with this key is in progress or its end unknown");
    answer.headers.emplace_back("Retry-After", "1");
    return answer;
}

// Another attempt holds the key: its worker tells whether it ran. Gives the answer to the caller,
// or nothing when the claim was freed and may be taken.
asio::awaitable<std::optional<http_answer>> resolveHeld(entry_state &entry, control_link &control,
                                                        std::string key, claim_conflict held,
                                                        steady_time deadline)
{
    const auto worker = entry.workers.find(held.worker);
    const bool sameProcess =
            worker != entry.workers.end()
            && worker->second->view.announced.incarnation == held.workerIncarnation;
    if (!sameProcess) {
        co_return inProgress(entry);
    }
    const auto resolved = co_await resolveAttempt(entry, worker->second, held.attempt, false);
    if (resolved.state == attempt_state::answered) {
        co_return co_await storeAndAnswer(entry, control, key, held.attempt, resolved.answer);
    }
    if (resolved.state != attempt_state::neverRan) {
        co_return inProgress(entry);
    }
    // The worker will never start that attempt now, so the key is free again.
    const release_claim_command change{key, held.attempt};
    const auto released = co_await control.propose(change, deadline);
    if (failed(released)) {
        co_return refusedAnswer(entry, refusal_reason::claimFailed, "");
    }
    co_return std::nullopt;
}

} // namespace

asio::awaitable<http_answer> serveKeyed(entry_state &entry, control_link &control, const route row,
                                        dispatched_request request)
{
    const std::string key =
            row.name + ":" + headerValue(request.request.headers, "Idempotency-Key");
    const std::string fingerprint = fingerprintOf(request.request);
    std::set<std::string> tried;
    bool claimed = false;
    for (std::uint32_t attempt = 1; attempt <= maximumAttempts; ++attempt) {
        // Each try is an attempt of its own for the claim, the worker and whoever asks later.
        const std::string attemptName = attemptId(request.id, attempt);
        auto held = co_await acquireCredit(entry, row.pool, row.priority, request.deadline, tried);
        if (failed(held)) {
            co_return refusedAnswer(entry, failureOf(held), row.pool);
        }
        const worker_view worker = valueOf(held).worker->view;
        const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
                entry.clock.wallTime().time_since_epoch());
        const claim_command change{key,
                                   fingerprint,
                                   attemptName,
                                   worker.announced.name,
                                   worker.announced.incarnation,
                                   static_cast<std::uint64_t>(wall.count())};
        const auto agreed = co_await control.propose(change, request.deadline);
        claimed = !failed(agreed) && std::holds_alternative<change_accepted>(valueOf(agreed));
        const bool late = entry.clock.now() >= request.deadline || !holdsLease(entry);
        if (!claimed || late) {
            releaseCredit(entry, valueOf(held));
        }
        if (failed(agreed) || (claimed && late)) {
            releaseLater(entry, control, key, attemptName);
            co_return refusedAnswer(entry, refusal_reason::claimFailed, row.pool);
        }
        if (const auto *before = std::get_if<already_answered>(&valueOf(agreed))) {
            co_return replayed(before->answer);
        }
        if (std::holds_alternative<change_refused>(valueOf(agreed))) {
            co_return ownAnswer(422, "not-run", "the key was used for another request");
        }
        if (const auto *other = std::get_if<claim_conflict>(&valueOf(agreed))) {
            auto answer = co_await resolveHeld(entry, control, key, *other, request.deadline);
            if (answer) {
                co_return std::move(*answer);
            }
            continue;
        }
        tried.insert(worker.announced.name);
        auto outcome = co_await attemptOn(entry, valueOf(held), request, attempt);
        if (outcome.result == attempt_result::answered) {
            co_return co_await storeAndAnswer(entry, control, key, attemptName,
                                              std::move(outcome.answer));
        }
        if (outcome.result == attempt_result::unknown) {
            co_return unknownAnswer(entry, outcome.reason);
        }
        const release_claim_command release{key, attemptName};
        const auto released = co_await control.propose(release, request.deadline);
        if (failed(released)) {
            releaseLater(entry, control, key, attemptName);
            break;
        }
    }
    co_return refusedAnswer(entry, refusal_reason::noWorker, row.pool);
}

} // namespace mango
