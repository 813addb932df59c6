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

constexpr auto taskTick = std::chrono::milliseconds(20);
constexpr auto announceTimeout = std::chrono::milliseconds(2000);
constexpr std::size_t rememberedNonces = 16;
constexpr std::size_t rememberedAttempts = 100'000;

http_response refusedAnswer(const std::string &why)
{
    return {503, {{"Mango-Outcome", "not-run"}, {"Content-Type", "text/plain"}}, why + "\n"};
}

} // namespace

worker::worker(asio::any_io_executor executor, clock_source &clock, random_source &random,
               counters &metricsRegistry, ledger &events, worker_options options,
               worker_behaviour behaviour)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_random(random)
    , m_events(events)
    , m_options(std::move(options))
    , m_behaviour(std::move(behaviour))
    , m_tasks(m_options.announced.name, clock, events, m_behaviour.tasks)
{
    http_server_options server;
    server.listen = m_options.listen;
    server.label = m_options.announced.name;
    m_server = makeHttpServer(m_executor, clock, metricsRegistry, server,
                              [this](http_request request) {
                                  return serve(std::move(request));
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
    m_tasks.dropAll();
}

asio::awaitable<void> worker::runTasks()
{
    while (!m_stopping) {
        m_tasks.advance();
        co_await m_clock.sleepFor(taskTick);
    }
}

asio::awaitable<void> worker::runAnnouncements()
{
    std::size_t next = m_random.below(std::max<std::size_t>(1, m_options.entries.size()));
    bool toldLeaving = false;
    while (!m_stopping && !m_options.entries.empty()) {
        worker_announcement announced = m_options.announced;
        announced.leaving = m_behaviour.leaving;
        announced.endedRuns = m_tasks.endedRuns();
        const auto client = makeHttpClient(
                m_executor, {m_options.entries[next % m_options.entries.size()], "", 1U << 16U});
        http_request request{"POST", "/mango/v1/announce", {}, encodeAnnouncement(announced), {}};
        bool taken = false;
        if (!m_behaviour.silent) {
            const auto answered = co_await client->exchange(request, announceTimeout);
            taken = !failed(answered) && valueOf(answered).status == 200;
        }
        next += taken ? 0 : 1;
        const auto pause = taken ? m_options.announceInterval : std::chrono::milliseconds(100);
        const steady_time until = m_clock.now() + pause;
        while (m_clock.now() < until && announced.leaving == m_behaviour.leaving
               && announced.endedRuns == m_tasks.endedRuns() && !m_stopping) {
            co_await m_clock.sleepFor(taskTick);
        }
        if (taken && announced.leaving && !toldLeaving) {
            toldLeaving = true;
            m_events.write(announced.name, "leaving told", "", 0, m_clock.wallTime());
        }
    }
}

std::string worker::issueNonce()
{
    std::string nonce = randomIdentifier(m_random);
    m_nonces[nonce] = {m_clock.now(), m_tasks.mark()};
    if (m_nonces.size() > rememberedNonces) {
        const auto oldest = std::min_element(m_nonces.begin(), m_nonces.end(),
                                             [](const auto &one, const auto &other) {
                                                 return one.second < other.second;
                                             });
        m_nonces.erase(oldest);
    }
    return nonce;
}

http_response worker::serveAgent(const http_request &request)
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
    std::uint64_t known = 0;
    const bool fresh =
            nonce != m_nonces.end()
            && m_clock.now() < nonce->second.first + std::chrono::milliseconds(poll.validForMs);
    if (nonce != m_nonces.end()) {
        known = nonce->second.second;
        m_tasks.extendLease(nonce->second.first + std::chrono::milliseconds(poll.leaseMs));
    }
    if (poll.sessions && poll.sessions->version >= m_sessions.version) {
        m_sessions = *poll.sessions;
    }
    for (const run_request &order : poll.requests) {
        if (order.kind != run_request_kind::start || fresh) {
            m_tasks.carryOut(order);
        }
    }
    checkLimits();
    agent_reply reply;
    reply.incarnation = m_options.announced.incarnation;
    reply.leaving = m_behaviour.leaving;
    reply.complete = poll.complete;
    reply.sessions = m_sessions;
    reply.requests = m_running;
    reply.runs = m_tasks.statuses(poll.complete ? 0 : known);
    reply.nonce = issueNonce();
    return {200, {{"Content-Type", "application/json"}}, encodeReply(reply)};
}

http_response worker::serveAttempt(const http_request &request)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(request.body, error);
    if (error || !parsed.is_object() || !parsed.as_object().contains("attempt")) {
        return {400, {}, ""};
    }
    const std::string id(parsed.as_object().at("attempt").as_string());
    const auto [place, added] = m_attempts.try_emplace(id);
    attempt &one = place->second;
    if (added) {
        one.state = "never_ran";
    }
    json::object answer{{"state", one.state}};
    if (one.state == "answered") {
        answer["status"] = one.answer.status;
        answer["body"] = one.answer.body;
        answer["content_type"] = headerValue(one.answer.headers, "Content-Type");
    }
    return {200, {{"Content-Type", "application/json"}}, json::serialize(answer)};
}

// Counts what runs against what the worker announced; an excess is an event of the ledger.
void worker::checkLimits()
{
    const worker_announcement &has = m_options.announced;
    const bool excess = m_requests + m_tasks.slotsInUse() > has.slots
                        || m_requests + m_tasks.slotsInUse() > has.connections
                        || m_tasks.coresInUse() > has.cores + 1e-6
                        || m_tasks.memoryInUse() > has.memoryBytes;
    if (excess) {
        m_events.write(has.name, "excess", "", m_requests + m_tasks.slotsInUse(),
                       m_clock.wallTime());
    }
}

asio::awaitable<http_response> worker::serveRequest(http_request request)
{
    const std::string id = headerValue(request.headers, "Mango-Attempt");
    const auto session = parseCount(headerValue(request.headers, "Mango-Session"));
    const std::string key = headerValue(request.headers, "Idempotency-Key");
    const std::uint64_t number = failed(session) ? 0 : valueOf(session);
    const bool direct = id.empty();
    const bool listed = std::find(m_sessions.sessions.begin(), m_sessions.sessions.end(), number)
                        != m_sessions.sessions.end();
    if (m_behaviour.refuseAll || (!direct && !listed)) {
        co_return refusedAnswer("the session is not on the list");
    }
    if (!direct) {
        if (!m_attempts.try_emplace(id).second) {
            co_return refusedAnswer("the attempt is known already");
        }
        if (m_attempts.size() > rememberedAttempts) {
            m_attempts.erase(m_attempts.begin());
        }
    }
    ++m_requests;
    ++m_running[number];
    const std::uint64_t runs = key.empty() ? 1 : ++m_runsByKey[key];
    checkLimits();
    m_events.write(m_options.announced.name, "request run", key, runs, m_clock.wallTime());
    const double noise =
            m_options.announced.cores <= 0 ? 0 : m_tasks.noiseCores() / m_options.announced.cores;
    const double spread = 0.8 + 0.4 * double(m_random.below(1000)) / 1000.0;
    const double delayMs = m_behaviour.serviceMs * spread * (1 + m_behaviour.noiseFactor * noise);
    if (delayMs > 0) {
        co_await m_clock.sleepFor(std::chrono::microseconds(std::int64_t(delayMs * 1000)));
    }
    http_response answer{200, {{"Content-Type", "application/json"}}, ""};
    answer.body = json::serialize(json::object{{"worker", m_options.announced.name},
                                               {"echo", request.body},
                                               {"target", request.target},
                                               {"nonce", headerValue(request.headers, "X-Nonce")},
                                               {"runs", runs}})
                  + "\n";
    --m_requests;
    if (--m_running[number] == 0) {
        m_running.erase(number);
    }
    if (!direct) {
        m_attempts[id].state = "answered";
        m_attempts[id].answer = answer;
        if (key.empty()) {
            m_attempts[id].answer.body.clear();
        }
    }
    co_return answer;
}

http_response worker::changeBehaviour(const http_request &request)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(request.body, error);
    if (error || !parsed.is_object()) {
        return {400, {}, ""};
    }
    const json::object &object = parsed.as_object();
    const auto flag = [&](const char *name, bool &target) {
        if (const json::value *value = object.if_contains(name); value && value->is_bool()) {
            target = value->as_bool();
        }
    };
    const auto number = [&](const char *name, double &target) {
        if (const json::value *value = object.if_contains(name); value && value->is_number()) {
            target = value->to_number<double>();
        }
    };
    flag("silent", m_behaviour.silent);
    flag("cut_answers", m_behaviour.cutAnswers);
    flag("refuse_all", m_behaviour.refuseAll);
    flag("leaving", m_behaviour.leaving);
    flag("fail_tasks", m_behaviour.tasks.failTasks);
    flag("lose_checkpoints", m_behaviour.tasks.loseCheckpoints);
    number("service_ms", m_behaviour.serviceMs);
    number("noise_factor", m_behaviour.noiseFactor);
    number("cores_ratio", m_behaviour.tasks.coresRatio);
    return {200, {}, ""};
}

asio::awaitable<http_response> worker::serve(http_request request)
{
    const std::string path = pathOf(request.target);
    if (path == "/stand-in") {
        co_return changeBehaviour(request);
    }
    while (m_behaviour.silent && !m_stopping) {
        co_await m_clock.sleepFor(taskTick);
    }
    if (path == "/mango/v1/agent") {
        co_return serveAgent(request);
    }
    if (path == "/mango/v1/attempts") {
        co_return serveAttempt(request);
    }
    http_response answer = co_await serveRequest(std::move(request));
    if (m_behaviour.cutAnswers && answer.status == 200) {
        answer.truncateAfter = answer.body.size() / 2;
    }
    co_return answer;
}

} // namespace mango::stand_in
