#include "StandInWorker/stand_in_worker.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include "Http/http_client.h"

namespace mango::stand_in {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto updateInterval = std::chrono::milliseconds(20);
constexpr auto announceTimeout = std::chrono::milliseconds(2000);
constexpr std::size_t maximumNonces = 16;
constexpr std::size_t maximumAttempts = 100'000;

http_response refusalResponse(const std::string &reason)
{
    return {503, {{"Mango-Outcome", "not-run"}, {"Content-Type", "text/plain"}}, reason + "\n"};
}

} // namespace

worker::worker(asio::any_io_executor executor, clock_source &clock, random_source &random,
               metrics_registry &metricsRegistry, ledger &events, worker_options options,
               worker_behaviour behaviour)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_random(random)
    , m_events(events)
    , m_options(std::move(options))
    , m_behaviour(std::move(behaviour))
    , m_tasks(m_options.announcement.name, clock, events, m_behaviour.tasks)
{
    http_server_options server;
    server.listen = m_options.listen;
    server.label = m_options.announcement.name;
    m_server = makeHttpServer(m_executor, clock, metricsRegistry, server,
                              [this](http_request request) {
                                  return handle(std::move(request));
                              });
}

result<done, settings_failure> worker::start()
{
    auto started = m_server->start();
    if (!failed(started)) {
        asio::co_spawn(m_executor, runAnnouncements(), asio::detached);
        asio::co_spawn(m_executor, runTasks(), asio::detached);
    }
    return started;
}

asio::awaitable<void> worker::stop(std::chrono::milliseconds limit)
{
    m_behaviour.leaving = true;
    co_await m_clock.sleepFor(limit);
    m_stopping = true;
    co_await m_server->drain(limit);
    m_tasks.failAll();
}

asio::awaitable<void> worker::runTasks()
{
    while (!m_stopping) {
        m_tasks.advance();
        co_await m_clock.sleepFor(updateInterval);
    }
}

asio::awaitable<void> worker::runAnnouncements()
{
    std::size_t nextEntry = m_random.below(std::max<std::size_t>(1, m_options.entries.size()));
    bool leavingReported = false;
    while (!m_stopping && !m_options.entries.empty()) {
        worker_announcement announcement = m_options.announcement;
        announcement.leaving = m_behaviour.leaving;
        announcement.endedRuns = m_tasks.endedRuns();
        const auto client =
                makeHttpClient(m_executor, {m_options.entries[nextEntry % m_options.entries.size()],
                                            "", 1U << 16U});
        http_request request{
                "POST", "/mango/v1/announce", {}, encodeAnnouncement(announcement), {}};
        bool accepted = false;
        if (!m_behaviour.silent) {
            const auto response = co_await client->exchange(request, announceTimeout);
            accepted = !failed(response) && valueOf(response).status == 200;
        }
        nextEntry += accepted ? 0 : 1;
        const auto delay = accepted ? m_options.announceInterval : std::chrono::milliseconds(100);
        const steady_time nextAnnouncement = m_clock.now() + delay;
        while (m_clock.now() < nextAnnouncement && announcement.leaving == m_behaviour.leaving
               && announcement.endedRuns == m_tasks.endedRuns() && !m_stopping) {
            co_await m_clock.sleepFor(updateInterval);
        }
        if (accepted && announcement.leaving && !leavingReported) {
            leavingReported = true;
            m_events.write(announcement.name, "leaving told", "", 0, m_clock.wallTime());
        }
    }
}

std::string worker::issueNonce()
{
    std::string nonce = randomIdentifier(m_random);
    m_nonces[nonce] = {m_clock.now(), m_tasks.lastChange()};
    if (m_nonces.size() > maximumNonces) {
        const auto oldest = std::min_element(m_nonces.begin(), m_nonces.end(),
                                             [](const auto &left, const auto &right) {
                                                 return left.second < right.second;
                                             });
        m_nonces.erase(oldest);
    }
    return nonce;
}

http_response worker::handleAgentPoll(const http_request &request)
{
    const auto decoded = decodePoll(request.body);
    if (failed(decoded)) {
        return {400, {}, failureOf(decoded).field};
    }
    const agent_poll &poll = valueOf(decoded);
    if (poll.term < m_term) {
        return {409, {}, "a later leader has called"};
    }
    m_term = poll.term;
    m_tasks.advance();
    const auto nonce = m_nonces.find(poll.nonce);
    std::uint64_t reportedChange = 0;
    const bool nonceValid =
            nonce != m_nonces.end()
            && m_clock.now() < nonce->second.first + std::chrono::milliseconds(poll.validForMs);
    if (nonce != m_nonces.end()) {
        // The lease counts from the issue of the nonce, which precedes the sending of the poll, so
        // it ends on the worker no later than the leader expects.
        reportedChange = nonce->second.second;
        m_tasks.extendLease(nonce->second.first + std::chrono::milliseconds(poll.leaseMs));
    }
    if (poll.sessions && poll.sessions->version >= m_sessions.version) {
        m_sessions = *poll.sessions;
    }
    for (const run_request &runRequest : poll.requests) {
        // A start request is ignored if the poll may have been delayed for too long.
        if (runRequest.kind != run_request_kind::start || nonceValid) {
            m_tasks.execute(runRequest);
        }
    }
    checkAnnouncedLimits();
    agent_reply reply;
    reply.incarnation = m_options.announcement.incarnation;
    reply.leaving = m_behaviour.leaving;
    reply.complete = poll.complete;
    reply.sessions = m_sessions;
    reply.requests = m_requestsBySession;
    reply.runs = m_tasks.statuses(poll.complete ? 0 : reportedChange);
    reply.nonce = issueNonce();
    return {200, {{"Content-Type", "application/json"}}, encodeReply(reply)};
}

http_response worker::handleAttemptQuery(const http_request &request)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(request.body, error);
    if (error || !parsed.is_object() || !parsed.as_object().contains("attempt")) {
        return {400, {}, ""};
    }
    const std::string id(parsed.as_object().at("attempt").as_string());
    const auto [position, inserted] = m_attempts.try_emplace(id);
    attempt &record = position->second;
    if (inserted) {
        // The record makes the worker refuse this attempt if its request arrives later.
        record.state = "never_ran";
    }
    json::object response{{"state", record.state}};
    if (record.state == "answered") {
        response["status"] = record.response.status;
        response["body"] = record.response.body;
        response["content_type"] = headerValue(record.response.headers, "Content-Type");
    }
    return {200, {{"Content-Type", "application/json"}}, json::serialize(response)};
}

// Writes an "excess" event to the ledger if the requests and tasks in progress need more than the
// worker announced, that is, if the scheduler has overcommitted it.
void worker::checkAnnouncedLimits()
{
    const worker_announcement &announcement = m_options.announcement;
    const bool excess = m_requestsInProgress + m_tasks.slotsInUse() > announcement.slots
                        || m_requestsInProgress + m_tasks.slotsInUse() > announcement.connections
                        || m_tasks.coresInUse() > announcement.cores + 1e-6
                        || m_tasks.memoryInUse() > announcement.memoryBytes;
    if (excess) {
        m_events.write(announcement.name, "excess", "", m_requestsInProgress + m_tasks.slotsInUse(),
                       m_clock.wallTime());
    }
}

asio::awaitable<http_response> worker::handleCallerRequest(http_request request)
{
    const std::string id = headerValue(request.headers, "Mango-Attempt");
    const auto session = parseCount(headerValue(request.headers, "Mango-Session"));
    const std::string key = headerValue(request.headers, "Idempotency-Key");
    const std::uint64_t sessionId = failed(session) ? 0 : valueOf(session);
    const bool direct = id.empty();
    const bool sessionAccepted =
            std::find(m_sessions.sessions.begin(), m_sessions.sessions.end(), sessionId)
            != m_sessions.sessions.end();
    if (m_behaviour.refuseAll || (!direct && !sessionAccepted)) {
        co_return refusalResponse("the session is not on the list");
    }
    if (!direct) {
        if (!m_attempts.try_emplace(id).second) {
            co_return refusalResponse("the attempt is known already");
        }
        if (m_attempts.size() > maximumAttempts) {
            m_attempts.erase(m_attempts.begin());
        }
    }
    ++m_requestsInProgress;
    ++m_requestsBySession[sessionId];
    const std::uint64_t executions = key.empty() ? 1 : ++m_executionsByKey[key];
    checkAnnouncedLimits();
    m_events.write(m_options.announcement.name, "request run", key, executions, m_clock.wallTime());
    const double noise = m_options.announcement.cores <= 0
                                 ? 0
                                 : m_tasks.noiseCores() / m_options.announcement.cores;
    const double spread = 0.8 + 0.4 * double(m_random.below(1000)) / 1000.0;
    const double delayMs = m_behaviour.serviceMs * spread * (1 + m_behaviour.noiseFactor * noise);
    if (delayMs > 0) {
        co_await m_clock.sleepFor(std::chrono::microseconds(std::int64_t(delayMs * 1000)));
    }
    http_response response{200, {{"Content-Type", "application/json"}}, ""};
    response.body = json::serialize(json::object{{"worker", m_options.announcement.name},
                                                 {"echo", request.body},
                                                 {"target", request.target},
                                                 {"nonce", headerValue(request.headers, "X-Nonce")},
                                                 {"runs", executions}})
                    + "\n";
    --m_requestsInProgress;
    if (--m_requestsBySession[sessionId] == 0) {
        m_requestsBySession.erase(sessionId);
    }
    if (!direct) {
        m_attempts[id].state = "answered";
        m_attempts[id].response = response;
        if (key.empty()) {
            m_attempts[id].response.body.clear();
        }
    }
    co_return response;
}

http_response worker::changeBehaviour(const http_request &request)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(request.body, error);
    if (error || !parsed.is_object()) {
        return {400, {}, ""};
    }
    const json::object &object = parsed.as_object();
    const auto readFlag = [&](const char *name, bool &target) {
        if (const json::value *value = object.if_contains(name); value && value->is_bool()) {
            target = value->as_bool();
        }
    };
    const auto readNumber = [&](const char *name, double &target) {
        if (const json::value *value = object.if_contains(name); value && value->is_number()) {
            target = value->to_number<double>();
        }
    };
    readFlag("silent", m_behaviour.silent);
    readFlag("cut_answers", m_behaviour.truncateResponses);
    readFlag("refuse_all", m_behaviour.refuseAll);
    readFlag("leaving", m_behaviour.leaving);
    readFlag("fail_tasks", m_behaviour.tasks.failTasks);
    readFlag("lose_checkpoints", m_behaviour.tasks.loseCheckpoints);
    readNumber("service_ms", m_behaviour.serviceMs);
    readNumber("noise_factor", m_behaviour.noiseFactor);
    readNumber("cores_ratio", m_behaviour.tasks.coresRatio);
    return {200, {}, ""};
}

asio::awaitable<http_response> worker::handle(http_request request)
{
    const std::string path = pathOf(request.target);
    if (path == "/stand-in") {
        co_return changeBehaviour(request);
    }
    while (m_behaviour.silent && !m_stopping) {
        co_await m_clock.sleepFor(updateInterval);
    }
    if (path == "/mango/v1/agent") {
        co_return handleAgentPoll(request);
    }
    if (path == "/mango/v1/attempts") {
        co_return handleAttemptQuery(request);
    }
    http_response response = co_await handleCallerRequest(std::move(request));
    if (m_behaviour.truncateResponses && response.status == 200) {
        response.truncateAfter = response.body.size() / 2;
    }
    co_return response;
}

} // namespace mango::stand_in
