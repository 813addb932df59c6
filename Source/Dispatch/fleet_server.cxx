#include "Dispatch/fleet_server.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Common/event_log.h"
#include "Common/log.h"

namespace mango {

namespace asio = boost::asio;

namespace {

constexpr auto leadershipCheckInterval = std::chrono::milliseconds(20);
// How long to wait for the leader's response to a forwarded call.
constexpr auto forwardTimeout = std::chrono::milliseconds(1500);
// A wake-up that is later than this is logged, at most once in each report interval.
constexpr auto reportedLag = std::chrono::milliseconds(50);
constexpr auto lagReportInterval = std::chrono::seconds(1);
constexpr auto workReportInterval = std::chrono::seconds(1);
// A replica that has confirmed no append request for longer is not used as a relay.
constexpr auto relaySilenceLimit = std::chrono::milliseconds(700);
// A replica that responds again is used as a relay after this time.
constexpr auto relaySteadyTime = std::chrono::milliseconds(2000);

// The outcome to report for a forwarded call that got no response: a call that the leader may have
// carried out is uncertain.
fleet_outcome outcomeWithoutResponse(const fleet_request &request, bool neverSent)
{
    const bool changesNothing = std::holds_alternative<query_call>(request)
                                || std::holds_alternative<read_configuration_call>(request)
                                || std::holds_alternative<group_call>(request)
                                || std::holds_alternative<heartbeat_call>(request);
    return neverSent || changesNothing ? fleet_outcome::unavailable : fleet_outcome::uncertain;
}

fleet_response responseOf(fleet_outcome outcome)
{
    fleet_response response;
    response.outcome = outcome;
    return response;
}

// What an operator's call asks for; empty for the calls of others.
std::string describeOrder(const fleet_request &request)
{
    if (std::holds_alternative<read_configuration_call>(request)) {
        return "read";
    }
    if (const auto *configure = std::get_if<configure_call>(&request)) {
        return "configuration:" + std::to_string(configure->configuration.version);
    }
    if (const auto *change = std::get_if<domain_call>(&request)) {
        return (change->outOfService ? "out-of-service:" : "into-service:") + change->failureDomain;
    }
    return "";
}

const char *describeOutcome(fleet_outcome outcome)
{
    switch (outcome) {
    case fleet_outcome::accepted:
        return "answered";
    case fleet_outcome::invalid:
        return "refused";
    case fleet_outcome::uncertain:
        return "uncertain";
    default:
        return "unavailable";
    }
}

link_totals linkTotalsOf(metrics_registry &metrics)
{
    return {metrics.at("mango_link_frames_total{direction=\"in\"}"),
            metrics.at("mango_link_reads_total"),
            metrics.at("mango_link_frames_total{direction=\"out\"}"),
            metrics.at("mango_link_writes_total")};
}

std::int64_t toMilliseconds(steady_span span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace

fleet_server::fleet_server(asio::any_io_executor executor, clock_source &clock,
                           random_source &random, network &links, disk &files, timeline &events,
                           metrics_registry &metricsRegistry, const fleet_settings &settings,
                           worker_client &workers)
    : m_settings(settings)
    , m_links(links)
    , m_events(events)
    , m_work(clock, metricsRegistry)
    , m_machine(clock)
    , m_replica(executor, clock, random, links, files, events, metricsRegistry, settings.replicas,
                m_machine, &m_work)
    , m_directWorkers(workers)
    , m_relayedWorkers(executor, clock, links, events.stamps(), metricsRegistry, workers,
                       settings.timing.responseTimeout, &m_work)
    , m_receipts(leadershipCheckInterval)
    , m_context{executor,        clock,     metricsRegistry,
                m_replica,       m_machine, m_relayedWorkers,
                settings.timing, m_work,    settings.registrations}
{
    m_machine.openJobs().limits = settings.openJobs;
}

fleet_server::~fleet_server()
{
    endLeadership();
}

asio::awaitable<result<done, settings_failure>> fleet_server::start()
{
    const auto opened = co_await m_replica.open();
    if (failed(opened)) {
        co_return settings_failure{settings_failure::kind::badValue, "", "[fleet] data",
                                   describe(failureOf(opened))};
    }
    const auto listening = serveCalls(
            m_context.executor, m_links, m_events.stamps(), m_settings.listen,
            [this](call message, host_address /*peer*/) {
                return handleCall(std::move(message));
            },
            &m_work);
    if (failed(listening)) {
        co_return settings_failure{settings_failure::kind::badValue, "", "[fleet] listen",
                                   describe(failureOf(listening))};
    }
    m_machine.observe([this](const fleet_command &change, fleet_command_result /*outcome*/) {
        if (m_leadership) {
            onCommandApplied(m_leadership, change);
        }
    });
    m_replica.start();
    asio::co_spawn(m_context.executor, watchLeadership(), asio::detached);
    co_return done{};
}

asio::awaitable<void> fleet_server::stop()
{
    co_await m_replica.stop();
    m_stopping = true;
    endLeadership();
}

asio::awaitable<void> fleet_server::watchLeadership()
{
    steady_time wakeDue = m_context.clock.now();
    while (!m_stopping) {
        recordLag(m_context.clock.now() - wakeDue);
        m_receipts.report(m_machine.state().commandsApplied, wakeDue, m_context.clock.now());
        recordLease();
        recordWork();
        const bool current =
                m_leadership && m_replica.isLeader() && m_replica.term() == m_leadership->term;
        if (m_leadership && !current) {
            endLeadership();
        }
        if (!m_leadership && m_replica.hasLeaderLease()) {
            beginLeadership();
        }
        updateRelays();
        wakeDue = m_context.clock.now() + leadershipCheckInterval;
        co_await m_context.clock.sleepFor(leadershipCheckInterval);
    }
}

bool fleet_server::usesRelays() const
{
    return m_machine.state().workers.size() > m_settings.directWorkers;
}

// The replicas that are fit to be relays of the leader. At the begin of a leadership all that
// respond are; later a replica must have responded for a while, so that one that is overloaded does
// not come and go.
std::vector<host_address> fleet_server::steadyReplicas()
{
    const steady_time now = m_context.clock.now();
    const std::vector<host_address> responding = m_replica.respondingMembers(relaySilenceLimit);
    std::erase_if(m_respondingSince, [&responding](const auto &item) {
        return !std::binary_search(responding.begin(), responding.end(), item.first);
    });
    std::vector<host_address> steady;
    for (const host_address &address : responding) {
        const steady_time since = m_respondingSince.try_emplace(address, now).first->second;
        const bool fromTheBegin = since <= m_leadership->leaderSince + relaySteadyTime / 2;
        if (fromTheBegin || now - since >= relaySteadyTime) {
            steady.push_back(address);
        }
    }
    return steady;
}

void fleet_server::updateRelays()
{
    if (!m_replica.isLeader()) {
        m_respondingSince.clear();
    }
    std::vector<host_address> relays;
    if (m_leadership) {
        relays = steadyReplicas();
    }
    if (!usesRelays()) {
        relays.clear();
    }
    m_relayedWorkers.setRelays(std::move(relays));
}

host_address fleet_server::heartbeatAddress(const std::string &worker) const
{
    if (!usesRelays()) {
        return m_replica.leaderAddress();
    }
    return m_leadership ? m_relayedWorkers.relayOf(worker) : m_settings.listen;
}

void fleet_server::recordLag(steady_span lag)
{
    const steady_time now = m_context.clock.now();
    m_longestLag = std::max(m_longestLag, lag);
    m_context.metricsRegistry.histogram("mango_wake_up_lag_seconds").observe(lag);
    if (now - m_lagReportedAt < lagReportInterval) {
        return;
    }
    if (m_longestLag > reportedLag) {
        logEvent(log_part::control, "wake-up-lag", {{"longest_ms", toMilliseconds(m_longestLag)}});
    }
    m_lagReportedAt = now;
    m_longestLag = steady_span(0);
}

// Exports how much time each kind of work takes, and logs it for a leader.
void fleet_server::recordWork()
{
    const steady_time now = m_context.clock.now();
    if (now - m_workReportedAt < workReportInterval) {
        return;
    }
    m_work.exportTotals();
    m_context.metricsRegistry.at("mango_registered_workers") = m_machine.state().workers.size();
    m_context.metricsRegistry.at("mango_memory_bytes{part=\"workers\"}") = m_machine.workerBytes();
    m_context.metricsRegistry.at("mango_memory_bytes{part=\"open_jobs\"}") =
            m_machine.openJobs().heldBytes;
    const work_totals totals = m_work.totals();
    const steady_span processor = m_context.clock.processorTime();
    const link_totals links = linkTotalsOf(m_context.metricsRegistry);
    if (m_leadership) {
        const auto counted = [&](work_kind kind) {
            const auto index = static_cast<std::size_t>(kind);
            const work_total &before = m_reportedWork[index];
            return std::to_string(totals[index].count - before.count) + "/"
                   + std::to_string(toMilliseconds(totals[index].time - before.time));
        };
        logEvent(log_part::control, "leader-work",
                 {{"for_ms", toMilliseconds(now - m_workReportedAt)},
                  {"processor_ms", toMilliseconds(processor - m_reportedProcessorTime)},
                  {"rounds", counted(work_kind::rounds)},
                  {"reports", counted(work_kind::reports)},
                  {"sends", counted(work_kind::sends)},
                  {"answers", counted(work_kind::answers)},
                  {"appends", counted(work_kind::appends)},
                  {"applies", counted(work_kind::applies)},
                  {"served", counted(work_kind::served)},
                  {"snapshots", counted(work_kind::snapshots)},
                  {"frames_in", links.framesIn - m_reportedLinks.framesIn},
                  {"reads", links.reads - m_reportedLinks.reads},
                  {"frames_out", links.framesOut - m_reportedLinks.framesOut},
                  {"writes", links.writes - m_reportedLinks.writes}});
    }
    m_workReportedAt = now;
    m_reportedWork = totals;
    m_reportedProcessorTime = processor;
    m_reportedLinks = links;
}

// Logs when a leader loses or regains the lease that lets it answer.
void fleet_server::recordLease()
{
    const bool held = m_leadership && m_replica.hasLeaderLease();
    if (!m_leadership || held == m_leaseHeld) {
        return;
    }
    const steady_time now = m_context.clock.now();
    logEvent(log_part::control, "leader-lease",
             {{"term", m_leadership->term},
              {"held", held ? "yes" : "no"},
              {"after_ms", toMilliseconds(now - m_leaseChangedAt)}});
    m_leaseHeld = held;
    m_leaseChangedAt = now;
}

void fleet_server::beginLeadership()
{
    m_leadership = std::make_shared<dispatch_state>(m_context, m_replica.term());
    m_leaseHeld = true;
    m_leaseChangedAt = m_context.clock.now();
    // Before the first calls, which would open connections to all workers at once.
    updateRelays();
    buildIndexes(m_leadership);
    logEvent(log_part::control, "leadership-begins",
             {{"term", m_leadership->term},
              {"configuration", m_machine.state().configuration.version},
              {"jobs", m_leadership->jobs.size()},
              {"workers", m_leadership->workers.size()}});
    asio::co_spawn(m_context.executor, runScheduler(m_leadership), asio::detached);
}

void fleet_server::endLeadership()
{
    if (!m_leadership) {
        return;
    }
    logEvent(log_part::control, "leadership-ends", {{"term", m_leadership->term}});
    m_leadership->active = false;
    m_leadership->wake.notifyAll();
    for (auto &[incarnation, worker] : m_leadership->workers) {
        worker->wake.notifyAll();
    }
    m_leadership.reset();
}

asio::awaitable<response_message> fleet_server::handleCall(call message)
{
    if (auto *forLeader = std::get_if<fleet_call>(&message.message)) {
        fleet_call request = std::move(*forLeader);
        if (message.forwardCount > 0) {
            co_return co_await serveLocally(std::move(request));
        }
        co_return co_await serve(std::move(request));
    }
    if (auto *forWorker = std::get_if<worker_call>(&message.message)) {
        co_return co_await relayWorkerCall(std::move(*forWorker));
    }
    co_return co_await m_replica.handle(std::move(message.message));
}

asio::awaitable<response_message> fleet_server::relayWorkerCall(worker_call request)
{
    if (m_stopping) {
        co_return relayFailure(worker_call_result::neverSent);
    }
    if (request.worker.term < m_replica.term()) {
        worker_call_answer refusal;
        refusal.answer = worker_response{worker_call_result::staleFencingToken, std::nullopt};
        co_return refusal;
    }
    if (m_transits.isLate(request.worker.term, request.sentAt, m_context.clock.now())) {
        ++m_context.metricsRegistry.at("mango_relay_late_calls_total");
        co_return relayFailure(worker_call_result::neverSent);
    }
    co_return co_await executeWorkerCall(m_directWorkers, std::move(request));
}

// True when the replicated state of this process, which may be out of date, contains the worker as
// announced. The heartbeat then changes nothing that the leader decides by.
bool fleet_server::isUnchanged(const worker_heartbeat &heartbeat) const
{
    const auto &workers = m_machine.state().workers;
    const auto known = workers.find(heartbeat.record.incarnation.id);
    return known != workers.end() && known->second == heartbeat.record;
}

void fleet_server::describeGroup(fleet_response &response) const
{
    response.leader = m_replica.leaderAddress();
    for (const member &one : m_replica.group()) {
        response.group.push_back(one.address);
    }
}

asio::awaitable<fleet_response> fleet_server::serveLocally(fleet_call call)
{
    const dispatch_handle leader = m_leadership;
    const bool asksForGroup = std::holds_alternative<group_call>(call.request);
    fleet_response response;
    if (leader && !m_stopping) {
        response = co_await serveFleetCall(leader, std::move(call));
    }
    response.commandsApplied = m_machine.state().commandsApplied;
    if (asksForGroup || response.outcome == fleet_outcome::unavailable) {
        describeGroup(response);
    }
    co_return response;
}

namespace {

asio::awaitable<fleet_response> acceptUnchanged()
{
    co_return responseOf(fleet_outcome::accepted);
}

asio::awaitable<fleet_response> refuseExcess(metrics_registry &metricsRegistry, std::string excess)
{
    ++metricsRegistry.at("mango_announcements_ignored_total{reason=\"too_large\"}");
    fleet_response response = responseOf(fleet_outcome::invalid);
    response.text = std::move(excess);
    co_return response;
}

} // namespace

asio::awaitable<fleet_response> fleet_server::serve(fleet_request request,
                                                    std::uint64_t receivedAfter)
{
    return serve(fleet_call{std::move(request), receivedAfter});
}

asio::awaitable<fleet_response> fleet_server::serve(fleet_call call)
{
    if (!describeOrder(call.request).empty()) {
        return serveOperator(std::move(call));
    }
    if (const auto *announced = std::get_if<heartbeat_call>(&call.request)) {
        if (!m_leadership && isUnchanged(announced->heartbeat)) {
            return acceptUnchanged();
        }
        if (std::string excess = describeExcess(announced->heartbeat.record); !excess.empty()) {
            return refuseExcess(m_context.metricsRegistry, std::move(excess));
        }
    }
    return serveOrForward(std::move(call));
}

asio::awaitable<fleet_response> fleet_server::serveOrForward(fleet_call call)
{
    if (m_leadership || m_stopping) {
        return serveLocally(std::move(call));
    }
    return forwardToLeader(std::move(call));
}

// True when this replica has applied a configuration that is as new as the one in the call. Applied
// commands are committed, so the order is acknowledged without the leader.
bool fleet_server::isInForce(const fleet_request &request) const
{
    const auto *order = std::get_if<configure_call>(&request);
    return order != nullptr
           && order->configuration.version <= m_machine.state().configuration.version;
}

asio::awaitable<fleet_response> fleet_server::serveOperator(fleet_call call)
{
    const steady_time begin = m_context.clock.now();
    const bool leads = m_leadership != nullptr;
    const bool leaseHeld = leads && m_replica.hasLeaderLease();
    const host_address leader = m_replica.leaderAddress();
    const bool isRead = std::holds_alternative<read_configuration_call>(call.request);
    const std::string order = describeOrder(call.request);
    fleet_response response = responseOf(fleet_outcome::accepted);
    if (m_stopping || !isInForce(call.request)) {
        response = co_await serveOrForward(std::move(call));
    }
    logEvent(log_part::control, isRead ? "configuration-read" : "order",
             {{"order", order},
              {"outcome", describeOutcome(response.outcome)},
              {"role", leads ? "leader" : "follower"},
              {"lease", leaseHeld ? "held" : "not-held"},
              {"leader", leader.port == 0 ? "unknown" : toText(leader)},
              {"took_ms", toMilliseconds(m_context.clock.now() - begin)}});
    co_return response;
}

asio::awaitable<fleet_response> fleet_server::forwardToLeader(fleet_call forwarded)
{
    const host_address leader = m_replica.leaderAddress();
    if (leader.port == 0 || leader == m_settings.listen) {
        fleet_response response;
        describeGroup(response);
        co_return response;
    }
    auto &known = m_clients[leader];
    if (!known) {
        known = std::make_shared<rpc_client>(m_context.executor, m_context.clock, m_links,
                                             m_events.stamps(), leader);
    }
    const std::shared_ptr<rpc_client> client = known;
    const call message{1, forwarded};
    auto answered = co_await client->invoke(message, forwardTimeout);
    if (failed(answered)) {
        const bool neverSent = failureOf(answered).reason == network_failure::kind::connectFailed;
        co_return responseOf(outcomeWithoutResponse(forwarded.request, neverSent));
    }
    if (auto *response = std::get_if<fleet_response>(&valueOf(answered))) {
        co_return std::move(*response);
    }
    co_return responseOf(outcomeWithoutResponse(forwarded.request, false));
}

} // namespace mango
