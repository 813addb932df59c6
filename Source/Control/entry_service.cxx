#include "Control/entry_service.h"

#include <algorithm>
#include <functional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Control/worker_agent.h"
#include "State/queries.h"

namespace mango {

namespace {

// The leader waits this much longer than the lease that the entry was granted, since clocks run at
// different rates.
constexpr auto entryLeaseMargin = std::chrono::milliseconds(100);
// How long a new leader treats workers that it has not polled yet as serving.
constexpr auto presumedServingPeriod = std::chrono::milliseconds(1000);
constexpr double demandSmoothingFactor = 0.3;
// Added to the demand of every session, so that small changes of demand do not move credits between
// sessions.
constexpr double baseDemand = 4.0;

config_view currentConfig(const cluster_state &state)
{
    config_view view;
    view.version = state.configVersion;
    const auto routes = state.tables.find(table_kind::routes);
    const auto pools = state.tables.find(table_kind::pools);
    view.routesText = routes == state.tables.end() ? "" : routes->second.text;
    view.poolsText = pools == state.tables.end() ? "" : pools->second.text;
    for (const auto &[name, domain] : state.domains) {
        if (!domain.inService) {
            view.domainsOutOfService.push_back(name);
        }
    }
    return view;
}

void updateAllowedSessions(leader_state &leader)
{
    std::vector<std::uint64_t> sessions;
    for (const auto &[id, session] : leader.sessions) {
        sessions.push_back(id);
    }
    if (sessions == leader.allowedSessions.sessions && leader.allowedSessions.version != 0) {
        return;
    }
    leader.allowedSessions.sessions = std::move(sessions);
    leader.allowedSessions.version = std::max(leader.allowedSessions.version, leader.idBase) + 1;
    for (auto &[name, worker] : leader.workers) {
        worker->wake.notifyAll();
    }
}

void endSession(leader_state &leader, std::uint64_t id)
{
    const auto found = leader.sessions.find(id);
    if (found == leader.sessions.end()) {
        return;
    }
    leader.shared.events.record("entry session ended",
                                {"", "", found->second.name, std::to_string(id)});
    leader.sessions.erase(found);
    for (auto &[name, worker] : leader.workers) {
        fenceSession(worker->credits, id);
    }
    updateAllowedSessions(leader);
}

// Returns the session of a report, or a new one if the leader does not know the reported session.
entry_session &findOrCreateSession(leader_state &leader, const entry_report &report)
{
    const bool adopt = report.session != 0 && inEntryGracePeriod(leader);
    auto found = leader.sessions.find(report.session);
    if (found != leader.sessions.end() && found->second.incarnation == report.incarnation) {
        return found->second;
    }
    // The session of an earlier process of the entry is obsolete after a restart.
    for (const auto &[id, session] : leader.sessions) {
        if (session.name == report.name) {
            endSession(leader, id);
            break;
        }
    }
    entry_session session;
    session.id = adopt ? report.session : leader.idBase + leader.nextSession++;
    session.name = report.name;
    session.incarnation = report.incarnation;
    session.failureDomain = report.failureDomain;
    leader.shared.events.record("entry session started",
                                {"", "", report.name, std::to_string(session.id)});
    return leader.sessions[session.id] = session;
}

void applyHoldings(leader_state &leader, entry_session &session, const entry_report &report,
                   bool adopting)
{
    for (const credit_holding &holding : report.holdings) {
        worker_state &worker = findOrAddWorker(leader, holding.worker);
        if (adopting) {
            // A new leader may learn of the worker from this holding before the worker's next
            // announcement arrives.
            if (worker.announced.incarnation.empty()) {
                worker.announced.incarnation = holding.incarnation;
            }
            worker.credits.shares[session.id] = {holding.held, holding.held, true, false};
        } else if (holding.incarnation == worker.announced.incarnation) {
            updateHeldCredits(worker.credits, session.id, holding.held);
        }
        worker.windowMicroseconds += double(holding.responseMicroseconds) * holding.responses;
        worker.windowResponses += holding.responses;
        markStale(leader, holding.worker);
    }
    session.demands.clear();
    for (const pool_demand &demand : report.demands) {
        session.demands[demand.pool] = demand;
    }
}

// A new leader relies on what the entries report of a worker until the worker has answered its
// first poll, so that a change of leader does not interrupt service.
bool isPresumedServing(const leader_state &leader, const worker_state &worker)
{
    return !worker.runsReported && !worker.leaving
           && leader.shared.clock.now() < leader.leadershipStart + presumedServingPeriod
           && domainInService(leader.shared.machine.state(), worker.announced.failureDomain);
}

worker_view makeWorkerView(const leader_state &leader, const worker_state &worker,
                           std::uint64_t session)
{
    worker_view view;
    view.announced = worker.announced;
    // Only the leader uses the count of ended runs; without it the view changes less often.
    view.announced.endedRuns = 0;
    view.preferred = worker.servicesOnly && worker.runs.empty();
    view.serving = isServing(leader, worker) || isPresumedServing(leader, worker);
    const auto share = worker.credits.shares.find(session);
    if (share != worker.credits.shares.end() && !share->second.fenced) {
        view.credit = std::min(share->second.granted, share->second.target);
    }
    return view;
}

void addChangedWorkers(leader_state &leader, entry_session &session, entry_view &view)
{
    for (const auto &[name, worker] : leader.workers) {
        if (worker->announced.address.port == 0) {
            continue;
        }
        const worker_view current = makeWorkerView(leader, *worker, session.id);
        const auto lastSent = session.lastSent.find(name);
        if (lastSent == session.lastSent.end() || lastSent->second != current) {
            view.workers.push_back(current);
            session.lastSent[name] = current;
        }
    }
    if (!view.workers.empty() || view.workersComplete) {
        session.viewVersion = ++leader.viewVersion;
    }
    view.workersVersion = session.viewVersion;
}

bool poolIncludesWorker(const leader_state &leader, const std::string &pool,
                        const std::string &worker)
{
    const mango::pool *row = findPool(leader.shared.machine.state().parsedPools, pool);
    return row != nullptr && poolIncludes(*row, worker);
}

std::vector<session_demand> demandsForWorker(const leader_state &leader, const std::string &worker)
{
    std::vector<session_demand> demands;
    for (const auto &[id, session] : leader.sessions) {
        if (session.leaving) {
            continue;
        }
        double weight = baseDemand;
        for (const auto &[pool, demand] : session.smoothedDemand) {
            weight += poolIncludesWorker(leader, pool, worker) ? demand : 0;
        }
        demands.push_back({id, static_cast<std::uint32_t>(weight)});
    }
    return demands;
}

void smoothDemands(entry_session &session)
{
    for (const auto &[pool, demand] : session.demands) {
        double &smoothed = session.smoothedDemand[pool];
        smoothed += demandSmoothingFactor * (demand.inUse + demand.waiting - smoothed);
    }
}

} // namespace

std::optional<entry_view> processEntryReport(leader_state &leader, const entry_report &report)
{
    const bool sessionIsKnown = leader.sessions.contains(report.session);
    entry_view view;
    view.leaderTerm = leader.term;
    if (!sessionIsKnown && report.session != 0 && inEntryGracePeriod(leader) && !report.complete) {
        view.needsCompleteReport = true;
        return view;
    }
    entry_session &session = findOrCreateSession(leader, report);
    const bool adopting = !sessionIsKnown && session.id == report.session;
    applyHoldings(leader, session, report, adopting);
    session.configVersion = report.configVersion;
    session.leaving = report.leaving;
    if (report.leaving && report.holdings.empty() && report.complete) {
        endSession(leader, session.id);
        return view;
    }
    updateAllowedSessions(leader);
    const cluster_state &state = leader.shared.machine.state();
    if (report.configVersion != state.configVersion || state.configVersion == 0) {
        view.config = currentConfig(state);
    }
    if (report.workersVersion != session.viewVersion || report.workersVersion == 0) {
        view.workersComplete = true;
        session.lastSent.clear();
    }
    addChangedWorkers(leader, session, view);
    if (!isCurrentLeader(leader)) {
        return std::nullopt;
    }
    view.session = session.id;
    const auto lease = leader.shared.settings.timing.entryLease;
    view.leaseMs = static_cast<std::uint64_t>(lease.count());
    session.leaseEnd = leader.shared.clock.now() + lease + entryLeaseMargin;
    return view;
}

void processAnnouncement(const leader_handle &leader, const worker_announcement &announcement)
{
    worker_state &worker = findOrAddWorker(*leader, announcement.name);
    if (worker.announced == announcement && worker.agentRunning) {
        return;
    }
    if (worker.announced.incarnation != announcement.incarnation) {
        worker.formerLeaseEnd = std::max(worker.formerLeaseEnd, worker.leaseEnd);
        // The new process has none of the old one's runs. Their tasks stay placed until the lease
        // of the old process has expired.
        worker.credits = {};
        worker.runsReported = false;
        worker.confirmedListVersion = 0;
        worker.nonce.clear();
        worker.interference = {};
        worker.health = {};
        leader->shared.events.record("worker announced",
                                     {"", "", announcement.name, announcement.incarnation});
    }
    worker.announced = announcement;
    worker.leaving = announcement.leaving;
    markStale(*leader, announcement.name);
    worker.wake.notifyAll();
    if (!worker.agentRunning) {
        worker.agentRunning = true;
        boost::asio::co_spawn(leader->shared.executor, runWorkerAgent(leader, announcement.name),
                              boost::asio::detached);
    }
}

task_size largestRequestSize(const leader_state &leader, const std::string &worker)
{
    task_size size{0, 0, 0, 0};
    for (const pool &row : leader.shared.machine.state().parsedPools) {
        if (poolIncludes(row, worker)) {
            size.cores = std::max(size.cores, row.requestSize.cores);
            size.memoryBytes = std::max(size.memoryBytes, row.requestSize.memoryBytes);
            size.accelerators = std::max(size.accelerators, row.requestSize.accelerators);
            size.slots = std::max(size.slots, row.requestSize.slots);
        }
    }
    return size;
}

std::uint32_t requestCapacity(const leader_state &leader, const worker_state &worker)
{
    const task_size request = largestRequestSize(leader, worker.announced.name);
    if (!isServing(leader, worker) || request.slots == 0) {
        return 0;
    }
    const auto requestsThatFit = [](double total, double taken, double each) {
        const double rest = std::max(0.0, total - taken);
        return each <= 0 ? 1e6 : rest / each;
    };
    const worker_announcement &announced = worker.announced;
    const std::uint32_t batchSlots =
            std::max(worker.placed.slots + worker.tentative.slots, worker.requestedBatchSlots);
    double capacity = requestsThatFit(announced.slots, batchSlots, request.slots);
    capacity = std::min(capacity, requestsThatFit(announced.connections, batchSlots, 1));
    capacity = std::min(capacity, requestsThatFit(announced.cores,
                                                  worker.placed.cores + worker.tentative.cores,
                                                  request.cores));
    capacity = std::min(capacity, requestsThatFit(double(announced.memoryBytes),
                                                  double(worker.placed.memoryBytes)
                                                          + double(worker.tentative.memoryBytes),
                                                  double(request.memoryBytes)));
    capacity = std::min(capacity,
                        requestsThatFit(announced.accelerators,
                                        worker.placed.accelerators + worker.tentative.accelerators,
                                        request.accelerators));
    return static_cast<std::uint32_t>(capacity);
}

void balanceCredits(leader_state &leader)
{
    const steady_time now = leader.shared.clock.now();
    std::vector<std::uint64_t> expiredSessions;
    for (auto &[id, session] : leader.sessions) {
        smoothDemands(session);
        if (now > session.leaseEnd && !inEntryGracePeriod(leader)) {
            expiredSessions.push_back(id);
        }
    }
    for (const std::uint64_t id : expiredSessions) {
        endSession(leader, id);
    }
    if (inEntryGracePeriod(leader)) {
        return;
    }
    updateAllowedSessions(leader);
    for (auto &[name, worker] : leader.workers) {
        worker->credits.capacity = requestCapacity(leader, *worker);
        divideCredits(worker->credits, demandsForWorker(leader, name),
                      std::hash<std::string>{}(name));
        // Until the worker has confirmed a session list of this leader, it may still execute
        // requests of sessions that this leader does not know.
        if (worker->confirmedListVersion > leader.idBase) {
            raiseGrants(worker->credits);
        }
    }
}

} // namespace mango
