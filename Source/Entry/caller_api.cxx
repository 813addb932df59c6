#include "Entry/caller_api.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include "Common/log.h"
#include "Control/worker_protocol.h"
#include "Entry/admission.h"
#include "Entry/responses.h"
#include "Entry/keyed_request.h"
#include "Entry/job_api.h"

namespace mango {

namespace asio = boost::asio;

namespace {

constexpr auto announcementTimeout = std::chrono::milliseconds(1500);
constexpr std::uint64_t retryBudgetLimit = 10'000;
constexpr std::uint64_t retryCost = 100;
constexpr std::uint32_t maximumAttempts = 4;
constexpr double hedgeResponseTimes = 3;
constexpr auto minimumHedgeDelay = std::chrono::milliseconds(5);

std::chrono::milliseconds deadlineOf(const http_request &request, const route &row)
{
    const auto requested = parseCount(headerValue(request.headers, "Mango-Deadline-Ms"));
    if (failed(requested) || valueOf(requested) == 0) {
        return row.deadline;
    }
    return std::min(row.deadline, std::chrono::milliseconds(valueOf(requested)));
}

bool takeRetry(entry_state &entry)
{
    if (entry.retryBudget < retryCost) {
        ++entry.metricsRegistry.at("mango_retries_denied_total");
        return false;
    }
    entry.retryBudget -= retryCost;
    ++entry.metricsRegistry.at("mango_retries_total");
    return true;
}

// State shared by the attempts of a hedged request.
struct hedged_attempts
{
    explicit hedged_attempts(clock_source &clock)
        : changed(clock)
    {}

    std::optional<attempt_outcome> best;
    std::uint32_t running = 0;
    wake_event changed;
};

asio::awaitable<void> runHedgedAttempt(entry_state &entry, credit held, dispatched_request request,
                                       std::uint32_t attempt,
                                       std::shared_ptr<hedged_attempts> shared)
{
    auto outcome = co_await sendAttempt(entry, std::move(held), std::move(request), attempt);
    --shared->running;
    if (!shared->best || shared->best->result != attempt_result::answered) {
        shared->best = std::move(outcome);
    }
    shared->changed.notifyAll();
}

// Runs the request, and a second time on another worker when the first takes several times the
// usual response time. The first response is returned.
asio::awaitable<attempt_outcome> attemptHedged(entry_state &entry, const route &row, credit held,
                                               dispatched_request request, std::uint32_t attempt)
{
    const auto shared = std::make_shared<hedged_attempts>(entry.clock);
    const std::string firstWorker = held.worker->view.announced.name;
    const auto hedgeDelay = std::chrono::microseconds(
            static_cast<std::int64_t>(held.worker->responseMicroseconds * hedgeResponseTimes));
    const steady_time hedgeAt =
            entry.clock.now() + std::max<steady_span>(hedgeDelay, minimumHedgeDelay);
    shared->running = 1;
    asio::co_spawn(entry.executor, runHedgedAttempt(entry, held, request, attempt, shared),
                   asio::detached);
    while (!shared->best && entry.clock.now() < hedgeAt) {
        co_await shared->changed.waitFor(hedgeAt - entry.clock.now());
    }
    if (!shared->best && takeRetry(entry)) {
        const std::set<std::string> tried{firstWorker};
        auto second = co_await acquireCredit(entry, row.pool, row.priority, hedgeAt, tried);
        if (!failed(second)) {
            ++entry.metricsRegistry.at("mango_hedges_total");
            ++shared->running;
            asio::co_spawn(entry.executor,
                           runHedgedAttempt(entry, valueOf(second), request,
                                            attempt + maximumAttempts, shared),
                           asio::detached);
        }
    }
    while (shared->running > 0
           && !(shared->best && shared->best->result == attempt_result::answered)) {
        co_await shared->changed.waitFor(request.deadline - entry.clock.now());
    }
    co_return *shared->best;
}

// Retries on other workers until one responds, the attempts or the retry budget are used up, or the
// deadline passes.
asio::awaitable<http_response> serveIdempotent(entry_state &entry, const route row,
                                               dispatched_request request)
{
    std::set<std::string> tried;
    attempt_outcome last;
    for (std::uint32_t attempt = 1; attempt <= maximumAttempts; ++attempt) {
        auto held = co_await acquireCredit(entry, row.pool, row.priority, request.deadline, tried);
        if (failed(held)) {
            // An earlier attempt may have run, so the outcome is not reported as not-run.
            const bool mayHaveRun = last.result == attempt_result::unknown && attempt > 1;
            co_return mayHaveRun ? unknownOutcomeResponse(entry, last.reason)
                                 : refusalResponse(entry, failureOf(held), row.pool);
        }
        tried.insert(valueOf(held).worker->view.announced.name);
        attempt_outcome outcome;
        if (row.hedged) {
            outcome = co_await attemptHedged(entry, row, valueOf(held), request, attempt);
        } else {
            outcome = co_await sendAttempt(entry, valueOf(held), request, attempt);
        }
        if (outcome.result == attempt_result::answered) {
            co_return workerResponse(std::move(outcome.response));
        }
        const bool earlierUnknown = attempt > 1 && last.result == attempt_result::unknown;
        last = std::move(outcome);
        if (earlierUnknown) {
            last.result = attempt_result::unknown;
        }
        if (entry.clock.now() >= request.deadline || !holdsLease(entry) || !takeRetry(entry)) {
            break;
        }
    }
    co_return last.result == attempt_result::unknown
            ? unknownOutcomeResponse(entry, last.reason)
            : refusalResponse(entry, refusal_reason::noWorker, row.pool);
}

// Runs a request without an idempotency key at most once: it is retried only after an attempt that
// certainly did not run.
asio::awaitable<http_response> serveOnce(entry_state &entry, const route row,
                                         dispatched_request request)
{
    std::set<std::string> tried;
    for (std::uint32_t attempt = 1; attempt <= maximumAttempts; ++attempt) {
        auto held = co_await acquireCredit(entry, row.pool, row.priority, request.deadline, tried);
        if (failed(held)) {
            co_return refusalResponse(entry, failureOf(held), row.pool);
        }
        tried.insert(valueOf(held).worker->view.announced.name);
        auto outcome = co_await sendAttempt(entry, valueOf(held), request, attempt);
        if (outcome.result == attempt_result::answered) {
            co_return workerResponse(std::move(outcome.response));
        }
        if (outcome.result == attempt_result::unknown) {
            co_return unknownOutcomeResponse(entry, outcome.reason);
        }
        if (!holdsLease(entry) || !takeRetry(entry)) {
            break;
        }
    }
    co_return refusalResponse(entry, refusal_reason::noWorker, row.pool);
}

// A new entry is ready once it holds credits, so that the balancer does not send it requests that
// it could only queue. Without any workers it is ready too and refuses requests itself.
bool isReady(const entry_state &entry)
{
    const bool holdsCredit =
            std::any_of(entry.workers.begin(), entry.workers.end(), [](const auto &item) {
                return item.second->view.credit > 0;
            });
    return holdsLease(entry) && !entry.draining && (holdsCredit || entry.workers.empty());
}

http_response healthResponse(bool healthy)
{
    return {healthy ? 200U : 503U,
            {{"Content-Type", "text/plain"}},
            healthy ? "ok\n" : "not ready\n"};
}

// Counts a request among those in service of its pool while it exists. The leader divides credits
// among entries by these counts.
class served_request
{
public:
    served_request(entry_state &entry, const std::string &pool)
        : m_entry(entry)
        , m_pool(pool)
    {
        ++m_entry.poolStates[m_pool].inUse;
    }
    served_request(const served_request &) = delete;
    served_request &operator=(const served_request &) = delete;
    ~served_request()
    {
        --m_entry.poolStates[m_pool].inUse;
    }

private:
    entry_state &m_entry;
    std::string m_pool;
};

} // namespace

asio::awaitable<http_response> serveCaller(entry_state &entry, control_client &control,
                                           http_request request)
{
    const std::string path = pathOf(request.target);
    if (path == "/mango/v1/health/live") {
        co_return healthResponse(true);
    }
    if (path == "/mango/v1/health/ready") {
        co_return healthResponse(isReady(entry));
    }
    if (!holdsLease(entry)) {
        co_return refusalResponse(entry, refusal_reason::noLease, "");
    }
    if (path.starts_with("/mango/v1/jobs/")) {
        co_return co_await serveJobRequest(entry, control, std::move(request));
    }
    const route *found = matchRoute(entry.routeTable, request.method, path);
    if (found == nullptr) {
        co_return co_await serveWithoutRoute(entry, control, std::move(request));
    }
    const route row = *found;
    entry.retryBudget = std::min(retryBudgetLimit, entry.retryBudget + entry.settings.retryPercent);
    dispatched_request dispatched;
    dispatched.id = entry.incarnation + "-" + std::to_string(entry.nextRequest++);
    dispatched.configVersion = entry.configVersion;
    dispatched.idempotent = row.idempotent;
    dispatched.deadline = entry.clock.now() + deadlineOf(request, row);
    dispatched.request = std::move(request);
    if (row.kind == route_kind::batch) {
        co_return co_await submitJob(entry, control, row, std::move(dispatched));
    }
    const served_request counting(entry, row.pool);
    if (row.idempotent) {
        co_return co_await serveIdempotent(entry, row, std::move(dispatched));
    }
    if (!headerValue(dispatched.request.headers, "Idempotency-Key").empty()) {
        co_return co_await serveKeyed(entry, control, row, std::move(dispatched));
    }
    co_return co_await serveOnce(entry, row, std::move(dispatched));
}

asio::awaitable<http_response> serveWorkerRequest(entry_state &entry, http_request request)
{
    const std::string path = pathOf(request.target);
    if (path == "/metrics" && request.method == "GET") {
        co_return http_response{
                200, {{"Content-Type", "text/plain; version=0.0.4"}}, entry.metricsRegistry.text()};
    }
    if (path != "/mango/v1/announce" || request.method != "POST") {
        co_return http_response{404, {}, ""};
    }
    const auto announcement = decodeAnnouncement(request.body);
    if (failed(announcement)) {
        ++entry.metricsRegistry.at("mango_bad_announcements_total");
        co_return http_response{400,
                                {{"Content-Type", "text/plain"}},
                                "bad field: " + failureOf(announcement).field + "\n"};
    }
    // The response waits until the leader has the announcement: if this entry crashes before, the
    // worker sees a failure and announces itself again.
    const std::uint64_t before = entry.reportsAcknowledged;
    const std::string name = valueOf(announcement).name;
    entry.announcements[name] = valueOf(announcement);
    entry.reportWake.notifyAll();
    const steady_time limit = entry.clock.now() + announcementTimeout;
    while (entry.announcements.contains(name) && entry.clock.now() < limit) {
        co_await entry.reportAcknowledged.waitFor(limit - entry.clock.now());
    }
    const bool delivered =
            entry.reportsAcknowledged > before && !entry.announcements.contains(name);
    co_return http_response{
            delivered ? 200U : 503U, {{"Content-Type", "application/json"}}, "{}\n"};
}

} // namespace mango
