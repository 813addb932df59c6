#include "Control/control_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Common/log.h"
#include "Control/admin_api.h"
#include "Control/entry_service.h"
#include "Control/task_scheduler.h"
#include "State/queries.h"

namespace mango {

namespace asio = boost::asio;

namespace {

constexpr auto leadershipCheckInterval = std::chrono::milliseconds(20);
constexpr auto forwardTimeout = std::chrono::milliseconds(2000);
constexpr auto adminDrainTime = std::chrono::seconds(3);

bool isForReplica(const call_message &message)
{
    return !std::holds_alternative<entry_report>(message)
           && !std::holds_alternative<propose_request>(message)
           && !std::holds_alternative<job_request>(message)
           && !std::holds_alternative<key_request>(message);
}

} // namespace

control_server::control_server(asio::any_io_executor executor, clock_source &clock,
                               random_source &random, network &links, disk &files, timeline &events,
                               metrics_registry &metricsRegistry, const control_settings &settings,
                               std::string token)
    : m_context{executor, clock, random, events, metricsRegistry, settings, m_replica, m_machine}
    , m_links(links)
    , m_replica(executor, clock, random, links, files, events, metricsRegistry, settings.replicas,
                m_machine)
    , m_token(std::move(token))
{
    m_admin = makeHttpServer(
            executor, clock, metricsRegistry, settings.admin, [this](http_request request) {
                return handleAdminRequest(m_context, m_leader, m_token, std::move(request));
            });
}

control_server::~control_server()
{
    endLeadership();
}

asio::awaitable<result<done, settings_failure>> control_server::start()
{
    const auto opened = co_await m_replica.open();
    if (failed(opened)) {
        co_return settings_failure{settings_failure::kind::badValue, "", "[control] data",
                                   describe(failureOf(opened))};
    }
    const auto listening =
            serveCalls(m_context.executor, m_links, m_context.events.stamps(),
                       m_context.settings.listen, [this](call message, host_address /*peer*/) {
                           return handleCall(std::move(message));
                       });
    if (failed(listening)) {
        co_return settings_failure{settings_failure::kind::badValue, "", "[control] listen",
                                   describe(failureOf(listening))};
    }
    const auto admin = m_admin->start();
    if (failed(admin)) {
        co_return failureOf(admin);
    }
    m_machine.setObserver([this](const command &change, const command_result & /*outcome*/) {
        if (m_leader) {
            onCommandApplied(*m_leader, change);
        }
    });
    m_replica.start();
    asio::co_spawn(m_context.executor, watchLeadership(), asio::detached);
    co_return done{};
}

asio::awaitable<void> control_server::stop()
{
    co_await m_admin->drain(adminDrainTime);
    co_await m_replica.stop();
    m_stopping = true;
    endLeadership();
}

asio::awaitable<void> control_server::watchLeadership()
{
    while (!m_stopping) {
        const bool current = m_leader && m_replica.isLeader() && m_replica.term() == m_leader->term;
        if (m_leader && !current) {
            endLeadership();
        }
        if (!m_leader && m_replica.hasLeaderLease()) {
            beginLeadership();
        }
        co_await m_context.clock.sleepFor(leadershipCheckInterval);
    }
}

void control_server::beginLeadership()
{
    m_leader = std::make_shared<leader_state>(m_context, m_replica.term(), ++m_leadershipCount);
    rebuildIndexes(*m_leader);
    m_context.events.record("leadership begins", {"", "", m_context.settings.name, ""});
    asio::co_spawn(m_context.executor, runScheduler(m_leader), asio::detached);
    asio::co_spawn(m_context.executor, runReporter(m_leader), asio::detached);
    asio::co_spawn(m_context.executor, runExpiry(m_leader), asio::detached);
}

void control_server::endLeadership()
{
    if (!m_leader) {
        return;
    }
    m_leader->active = false;
    m_leader->scheduleWake.notifyAll();
    m_leader->reportWake.notifyAll();
    for (auto &[name, worker] : m_leader->workers) {
        worker->wake.notifyAll();
    }
    m_leader.reset();
}

namespace {

key_response describeKey(const cluster_state &state, const key_request &request)
{
    key_response response;
    response.job = findJobByKey(state, request.key);
    response.routed = matchRoute(state.parsedRoutes, request.method, request.path) != nullptr;
    if (const auto claim = state.claims.find(request.key); claim != state.claims.end()) {
        response.claim = claim->second;
    }
    return response;
}

} // namespace

asio::awaitable<response_message> control_server::handleCall(call message)
{
    if (isForReplica(message.message)) {
        co_return co_await m_replica.handle(std::move(message.message));
    }
    const leader_handle leader = m_leader;
    if (leader && isCurrentLeader(*leader)) {
        co_return co_await handleAsLeader(leader, std::move(message.message));
    }
    co_return co_await forwardToLeader(std::move(message));
}

asio::awaitable<response_message> control_server::handleAsLeader(leader_handle leader,
                                                                 call_message message)
{
    if (const auto *report = std::get_if<entry_report>(&message)) {
        for (const worker_announcement &announcement : report->announcements) {
            processAnnouncement(leader, announcement);
        }
        for (const worker_announcement &announcement : report->knownWorkers) {
            // Second-hand information, used only until the worker announces itself.
            const auto known = leader->workers.find(announcement.name);
            if (known == leader->workers.end() || known->second->announced.address.port == 0) {
                processAnnouncement(leader, announcement);
            }
        }
        const auto view = processEntryReport(*leader, *report);
        if (!view) {
            co_return not_leader{};
        }
        co_return *view;
    }
    if (const auto *request = std::get_if<job_request>(&message)) {
        const std::string text = describeJob(m_machine.state(), request->job);
        co_return job_response{!text.empty(), text};
    }
    if (const auto *request = std::get_if<key_request>(&message)) {
        co_return describeKey(m_machine.state(), *request);
    }
    auto &proposal = std::get<propose_request>(message);
    if (auto *job = std::get_if<submit_job_command>(&proposal.change);
        job != nullptr && !findJobByKey(m_machine.state(), job->key)) {
        const std::string whyNeverRuns = whyJobNeverRuns(*leader, job->spec);
        if (!whyNeverRuns.empty()) {
            co_return command_result{
                    change_refused{command_refusal_reason::invalidJob, 0, whyNeverRuns}};
        }
    }
    const auto proposed = co_await proposeCommand(m_replica, std::move(proposal.change));
    if (!failed(proposed)) {
        co_return valueOf(proposed);
    }
    if (failureOf(proposed).reason == propose_failure::kind::notLeader) {
        co_return not_leader{failureOf(proposed).leader};
    }
    co_return uncertain_outcome{"the leader changed"};
}

// Forwards a call for an entry that cannot reach the leader itself. A forwarded call is not
// forwarded again.
asio::awaitable<response_message> control_server::forwardToLeader(call message)
{
    const host_address leader = m_replica.leaderAddress();
    if (message.forwardCount > 0 || leader.port == 0 || leader == m_context.settings.listen) {
        co_return not_leader{};
    }
    auto &client = m_leaderClients[leader];
    if (!client) {
        client = std::make_shared<rpc_client>(m_context.executor, m_context.clock, m_links,
                                              m_context.events.stamps(), leader);
    }
    message.forwardCount = 1;
    const bool proposal = std::holds_alternative<propose_request>(message.message);
    ++m_context.metricsRegistry.at("mango_relayed_calls_total");
    const auto response = co_await client->invoke(message, forwardTimeout);
    if (!failed(response)) {
        co_return valueOf(response);
    }
    const bool neverSent = failureOf(response).reason == network_failure::kind::connectFailed;
    if (proposal && !neverSent) {
        co_return uncertain_outcome{describe(failureOf(response))};
    }
    co_return not_leader{};
}

} // namespace mango
