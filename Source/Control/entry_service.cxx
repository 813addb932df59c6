#include "Control/entry_service.h"

#include <algorithm>
#include <functional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Control/worker_agent.h"
#include "State/queries.h"

namespace mango {

namespace {

// Added to the lease that an entry counts, for clocks that run at different rates.
constexpr auto leaseMargin = std::chrono::milliseconds(100);
constexpr auto presumedServingTime = std::chrono::milliseconds(1000);
constexpr double demandWeight = 0.3;
// Demand below this does not move credits, so that small changes do not shift them about.
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

void renewAllowed(leader_state &leader)
{
    std::vector<std::uint64_t> sessions;
    for (const auto &[id, session] : leader.sessions) {
        sessions.push_back(id);
    }
    if (sessions == leader.allowed.sessions && leader.allowed.version != 0) {
        return;
    }
    leader.allowed.sessions = std::move(sessions);
    leader.allowed.version = std::max(leader.allowed.version, leader.firstNumber) + 1;
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
    renewAllowed(leader);
}

// The session a report belongs to; a new one when it brought none that is still known.
entry_session &sessionOf(leader_state &leader, const entry_report &report)
{
    const bool adopt = report.session != 0 && inEntryGrace(leader);
    auto found = leader.sessions.find(report.session);
    if (found != leader.sessions.end() && found->second.incarnation == report.incarnation) {
        return found->second;
    }
    // An entry process that started again makes its earlier session useless.
    for (const auto &[id, session] : leader.sessions) {
        if (session.name == report.name) {
            endSession(leader, id);
            break;
        }
    }
    entry_session session;
    session.id = adopt ? report.session : leader.firstNumber + leader.nextSession++;
    session.name = report.name;
    session.incarnation = report.incarnation;
    session.failureDomain = report.failureDomain;
    leader.shared.events.record("entry session started",
                                {"", "", report.name, std::to_string(session.id)});
    return leader.sessions[session.id] = session;
}

void takeHoldings(leader_state &leader, entry_session &session, const entry_report &report,
                  bool adopting)
{
    for (const credit_holding &holding : report.holdings) {
        worker_state &worker = workerNamed(leader, holding.worker);
        if (adopting) {
            // The worker may be known by this holding before it announces itself again.
            if (worker.announced.incarnation.empty()) {
                worker.announced.incarnation = holding.incarnation;
            }
            worker.credits.shares[session.id] = {holding.held, holding.held, true, false};
        } else if (holding.incarnation == worker.announced.incarnation) {
            updateHeldCredits(worker.credits, session.id, holding.held);
        }
        worker.windowMicroseconds += double(holding.responseMicroseconds) * holding.answers;
        worker.windowAnswers += holding.answers;
        markStale(leader, holding.worker);
    }
    session.demands.clear();
    for (const pool_demand &demand : report.demands) {
        session.demands[demand.pool] = demand;
    }
}

// A new leader takes the word of the entries for a worker until its own first call is answered.
bool isPresumedServing(const leader_state &leader, const worker_state &worker)
{
    return !worker.known && !worker.leaving
           && leader.shared.clock.now() < leader.since + presumedServingTime
           && domainInService(leader.shared.machine.state(), worker.announced.failureDomain);
}

worker_view viewOf(const leader_state &leader, const worker_state &worker, std::uint64_t session)
{
    worker_view view;
    view.announced = worker.announced;
    // The count of ended runs concerns the leader only.
    view.announced.endedRuns = 0;
    view.preferred = worker.servicesOnly && worker.runs.empty();
    view.serving = isServing(leader, worker) || isPresumedServing(leader, worker);
    const auto share = worker.credits.shares.find(session);
    if (share != worker.credits.shares.end() && !share->second.fenced) {
        view.credit = std::min(share->second.granted, share->second.target);
    }
    return view;
}

void addWorkers(leader_state &leader, entry_session &session, entry_view &view)
{
    for (const auto &[name, worker] : leader.workers) {
        if (worker->announced.address.port == 0) {
            continue;
        }
        const worker_view current = viewOf(leader, *worker, session.id);
        const auto sent = session.sent.find(name);
        if (sent == session.sent.end() || sent->second != current) {
            view.workers.push_back(current);
            session.sent[name] = current;
        }
    }
    if (!view.workers.empty() || view.workersComplete) {
        session.viewVersion = ++leader.viewVersion;
    }
    view.workersVersion = session.viewVersion;
}

bool sharesPool(const leader_state &leader, const std::string &pool, const std::string &worker)
{
    const mango::pool *row = findPool(leader.shared.machine.state().parsedPools, pool);
    return row != nullptr && poolIncludes(*row, worker);
}

std::vector<session_demand> demandsOn(const leader_state &leader, const std::string &worker)
{
    std::vector<session_demand> demands;
    for (const auto &[id, session] : leader.sessions) {
        if (session.leaving) {
            continue;
        }
        double weight = baseDemand;
        for (const auto &[pool, demand] : session.smoothedDemand) {
            weight += sharesPool(leader, pool, worker) ? demand : 0;
        }
        demands.push_back({id, static_cast<std::uint32_t>(weight)});
    }
    return demands;
}

void smoothDemands(entry_session &session)
{
    for (const auto &[pool, demand] : session.demands) {
        double &smoothed = session.smoothedDemand[pool];
        smoothed += demandWeight * (demand.inUse + demand.waiting - smoothed);
    }
}

} // namespace

std::optional<entry_view> answerEntry(leader_state &leader, const entry_report &report)
{
    const bool knownSession = leader.sessions.contains(report.session);
    entry_view view;
    view.leaderTerm = leader.term;
    if (!knownSession && report.session != 0 && inEntryGrace(leader) && !report.complete) {
        view.reportAgain = true;
        return view;
    }
    entry_session &session = sessionOf(leader, report);
    const bool adopting = !knownSession && session.id == report.session;
    takeHoldings(leader, session, report, adopting);
    session.configVersion = report.configVersion;
    session.leaving = report.leaving;
    if (report.leaving && report.holdings.empty() && report.complete) {
        endSession(leader, session.id);
        return view;
    }
    renewAllowed(leader);
    const cluster_state &state = leader.shared.machine.state();
    if (report.configVersion != state.configVersion || state.configVersion == 0) {
        view.config = currentConfig(state);
    }
    if (report.workersVersion != session.viewVersion || report.workersVersion == 0) {
        view.workersComplete = true;
        session.sent.clear();
    }
    addWorkers(leader, session, view);
    if (!stillLeads(leader)) {
        return std::nullopt;
    }
    view.session = session.id;
    const auto lease = leader.shared.settings.timing.entryLease;
    view.leaseMs = static_cast<std::uint64_t>(lease.count());
    session.leaseEnd = leader.shared.clock.now() + lease + leaseMargin;
    return view;
}

void takeAnnouncement(const leader_handle &leader, const worker_announcement &announcement)
{
    worker_state &worker = workerNamed(*leader, announcement.name);
    if (worker.announced == announcement && worker.agentRunning) {
        return;
    }
    if (worker.announced.incarnation != announcement.incarnation) {
        worker.formerLeaseEnd = std::max(worker.formerLeaseEnd, worker.leaseEnd);
        // The new process runs nothing of the old one; its tasks wait for their lease to end.
        worker.credits = {};
        worker.known = false;
        worker.confirmedList = 0;
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

task_size requestSizeOn(const leader_state &leader, const std::string &worker)
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
    const task_size one = requestSizeOn(leader, worker.announced.name);
    if (!isServing(leader, worker) || one.slots == 0) {
        return 0;
    }
    const auto whole = [](double total, double taken, double each) {
        const double rest = std::max(0.0, total - taken);
        return each <= 0 ? 1e6 : rest / each;
    };
    const worker_announcement &has = worker.announced;
    const std::uint32_t batchSlots =
            std::max(worker.placed.slots + worker.tentative.slots, worker.wantedBatchSlots);
    double capacity = whole(has.slots, batchSlots, one.slots);
    capacity = std::min(capacity, whole(has.connections, batchSlots, 1));
    capacity = std::min(capacity,
                        whole(has.cores, worker.placed.cores + worker.tentative.cores, one.cores));
    capacity = std::min(capacity, whole(double(has.memoryBytes),
                                        double(worker.placed.memoryBytes)
                                                + double(worker.tentative.memoryBytes),
                                        double(one.memoryBytes)));
    capacity = std::min(capacity, whole(has.accelerators,
                                        worker.placed.accelerators + worker.tentative.accelerators,
                                        one.accelerators));
    return static_cast<std::uint32_t>(capacity);
}

void balanceCredits(leader_state &leader)
{
    const steady_time now = leader.shared.clock.now();
    std::vector<std::uint64_t> lapsed;
    for (auto &[id, session] : leader.sessions) {
        smoothDemands(session);
        if (now > session.leaseEnd && !inEntryGrace(leader)) {
            lapsed.push_back(id);
        }
    }
    for (const std::uint64_t id : lapsed) {
        endSession(leader, id);
    }
    if (inEntryGrace(leader)) {
        return;
    }
    renewAllowed(leader);
    for (auto &[name, worker] : leader.workers) {
        worker->credits.capacity = requestCapacity(leader, *worker);
        divideCredits(worker->credits, demandsOn(leader, name), std::hash<std::string>{}(name));
        // Before the worker has taken this leader's list, requests of sessions that this leader
        // does not know may still run there.
        if (worker->confirmedList > leader.firstNumber) {
            raiseGrants(worker->credits);
        }
    }
}

} // namespace mango
