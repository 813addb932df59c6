#include "Entry/entry_state.h"

#include <algorithm>

#include "Entry/admission.h"

namespace mango {

namespace {

// Discards the credits of the previous session of the entry or incarnation of the worker, which are
// no longer valid.
void startGeneration(entry_state &entry, upstream_worker &worker)
{
    worker.generation = ++entry.lastGeneration;
    worker.inUse = 0;
    worker.reported = {};
}

void applyConfig(entry_state &entry, const config_view &config)
{
    auto routeTable = parseRoutes(config.routesText);
    auto poolTable = parsePools(config.poolsText);
    if (failed(routeTable) || failed(poolTable)) {
        return;
    }
    entry.configVersion = config.version;
    entry.routeTable = std::move(valueOf(routeTable));
    entry.poolTable = std::move(valueOf(poolTable));
    entry.domainsOutOfService = {config.domainsOutOfService.begin(),
                                 config.domainsOutOfService.end()};
    entry.events.record("configuration in force",
                        {"", "", entry.settings.name, "version " + std::to_string(config.version)});
}

void applyWorkerView(entry_state &entry, const worker_view &view)
{
    worker_handle &worker = entry.workers[view.announced.name];
    if (!worker) {
        worker = std::make_shared<upstream_worker>();
        startGeneration(entry, *worker);
    } else if (worker->view.announced.incarnation != view.announced.incarnation) {
        startGeneration(entry, *worker);
        worker->idle.clear();
        worker->responseMicroseconds = 0;
        worker->backoffUntil = {};
    }
    if (worker->view.announced.address != view.announced.address) {
        worker->idle.clear();
    }
    worker->view = view;
}

void rebuildPools(entry_state &entry)
{
    for (auto &[name, state] : entry.poolStates) {
        state.workers.clear();
    }
    for (const pool &row : entry.poolTable) {
        pool_state &state = entry.poolStates[row.name];
        for (const auto &[name, worker] : entry.workers) {
            if (poolIncludes(row, name)) {
                state.workers.push_back(worker);
            }
        }
    }
}

credit_holding holdingOf(const upstream_worker &worker)
{
    credit_holding holding;
    holding.worker = worker.view.announced.name;
    holding.incarnation = worker.view.announced.incarnation;
    holding.held = std::max(worker.view.credit, worker.inUse);
    holding.inUse = worker.inUse;
    holding.responses = worker.windowResponses;
    holding.failures = worker.windowFailures;
    if (worker.windowResponses > 0) {
        holding.responseMicroseconds =
                static_cast<std::uint32_t>(worker.windowMicroseconds / worker.windowResponses);
    }
    return holding;
}

} // namespace

bool holdsLease(const entry_state &entry)
{
    return entry.session != 0 && entry.clock.now() < entry.leaseEnd;
}

void applyView(entry_state &entry, const entry_view &view, steady_time sentAt)
{
    entry.leaderTerm = view.leaderTerm;
    if (view.session != entry.session) {
        entry.session = view.session;
        for (auto &[name, worker] : entry.workers) {
            startGeneration(entry, *worker);
            worker->view.credit = 0;
        }
    }
    if (view.workersComplete) {
        for (auto &[name, worker] : entry.workers) {
            worker->view.credit = 0;
            worker->view.serving = false;
        }
    }
    if (view.config) {
        applyConfig(entry, *view.config);
    }
    for (const worker_view &worker : view.workers) {
        applyWorkerView(entry, worker);
    }
    entry.workersVersion = view.workersVersion;
    entry.leaseEnd = sentAt + std::chrono::milliseconds(view.leaseMs);
    if (view.config || !view.workers.empty()) {
        rebuildPools(entry);
    }
    grantFreeCredits(entry);
}

entry_report buildReport(const entry_state &entry, bool complete)
{
    entry_report report;
    report.name = entry.settings.name;
    report.incarnation = entry.incarnation;
    report.failureDomain = entry.settings.failureDomain;
    report.session = entry.session;
    report.configVersion = entry.configVersion;
    report.workersVersion = entry.workersVersion;
    report.complete = complete;
    for (const auto &[name, announcement] : entry.announcements) {
        report.announcements.push_back(announcement);
    }
    for (const auto &[name, worker] : entry.workers) {
        const credit_holding holding = holdingOf(*worker);
        const bool changed = holding.held != worker->reported.held
                             || holding.incarnation != worker->reported.incarnation
                             || holding.responses > 0 || holding.failures > 0;
        if (complete && worker->view.announced.address.port != 0) {
            report.knownWorkers.push_back(worker->view.announced);
        }
        if (changed || (complete && holding.held > 0)) {
            report.holdings.push_back(holding);
        }
    }
    for (const auto &[name, state] : entry.poolStates) {
        if (state.inUse > 0 || !state.waiting.empty()) {
            report.demands.push_back(
                    {name, state.inUse, static_cast<std::uint32_t>(state.waiting.size())});
        }
    }
    return report;
}

void acknowledgeReport(entry_state &entry, const entry_report &report)
{
    for (const worker_announcement &announcement : report.announcements) {
        const auto found = entry.announcements.find(announcement.name);
        if (found != entry.announcements.end() && found->second == announcement) {
            entry.announcements.erase(found);
        }
    }
    for (const credit_holding &holding : report.holdings) {
        const auto found = entry.workers.find(holding.worker);
        if (found == entry.workers.end()) {
            continue;
        }
        upstream_worker &worker = *found->second;
        worker.reported = holding;
        worker.windowMicroseconds =
                std::max(0.0, worker.windowMicroseconds
                                      - double(holding.responseMicroseconds) * holding.responses);
        worker.windowResponses -= std::min(worker.windowResponses, holding.responses);
        worker.windowFailures -= std::min(worker.windowFailures, holding.failures);
    }
    ++entry.reportsAcknowledged;
    entry.reportAcknowledged.notifyAll();
}

} // namespace mango
