#pragma once

#include <list>
#include <map>
#include <memory>
#include <set>

#include "Common/metrics_registry.h"
#include "Common/timeline.h"
#include "Common/wake_event.h"
#include "Entry/entry_settings.h"
#include "Entry/selection.h"
#include "Http/http_client.h"
#include "State/tables.h"
#include "Wire/messages.h"

namespace mango {

// A kept-alive connection to a worker that no request uses at present.
struct idle_connection
{
    std::unique_ptr<http_client> client;
    steady_time lastResponse;
};

// A worker that this entry sends requests to: the view of it that the control leader sent, the
// credits in use on it and what was measured of its responses.
struct upstream_worker
{
    worker_view view;
    // Credits in use in the current generation: requests in progress, and attempts without a
    // response that the worker has not yet confirmed to have ended.
    std::uint32_t inUse = 0;
    // A new number for each session of the entry and each incarnation of the worker. A credit taken
    // in an earlier generation is not given back to `inUse`.
    std::uint64_t generation = 0;
    std::vector<idle_connection> idle;
    // Exponentially smoothed response time; 0 before the first response.
    double responseMicroseconds = 0;
    // Sum of the response times, responses and failures since the last acknowledged report.
    double windowMicroseconds = 0;
    std::uint32_t windowResponses = 0;
    std::uint32_t windowFailures = 0;
    std::uint32_t consecutiveFailures = 0;
    // Until then the worker gets requests only when no other one can take them.
    steady_time backoffUntil{};
    // What the last acknowledged report said of this worker.
    credit_holding reported;
};

using worker_handle = std::shared_ptr<upstream_worker>;

// Permission to have one request in progress on a worker.
struct credit
{
    worker_handle worker;
    std::uint64_t generation = 0;
};

// Why an entry refused a request without running it.
enum class refusal_reason : std::uint8_t {
    noLease,
    noRoute,
    noWorker,
    deadlinePassed,
    overloaded,
    claimFailed,
    routeRemoved
};

// A queued request that waits for a credit. It is a local variable of the waiting coroutine.
struct waiting_request
{
    priority_class priority = priority_class::normal;
    steady_time deadline;
    std::unique_ptr<wait_timer> timer;
    std::optional<credit> granted;
    // Refused before its deadline because of overload or a lost lease.
    bool shed = false;
};

// The workers of one pool and the requests for it.
struct pool_state
{
    std::vector<worker_handle> workers;
    // By descending priority, and in order of arrival within one priority.
    std::list<waiting_request *> waiting;
    // Requests in service, including the waiting ones.
    std::uint32_t inUse = 0;
};

// The state of an entry process. Nothing of it is stored on disk: after a restart the entry gets it
// from the control leader again.
struct entry_state
{
    entry_state(boost::asio::any_io_executor givenExecutor, clock_source &givenClock,
                random_source &givenRandom, timeline &givenEvents,
                metrics_registry &givenMetricsRegistry, const entry_settings &givenSettings)
        : executor(std::move(givenExecutor))
        , clock(givenClock)
        , random(givenRandom)
        , events(givenEvents)
        , metricsRegistry(givenMetricsRegistry)
        , settings(givenSettings)
        , reportWake(givenClock)
        , reportAcknowledged(givenClock)
    {}

    boost::asio::any_io_executor executor;
    clock_source &clock;
    random_source &random;
    timeline &events;
    metrics_registry &metricsRegistry;
    const entry_settings &settings;

    std::string incarnation;
    // 0 until the leader has opened a session.
    std::uint64_t session = 0;
    steady_time leaseEnd{};
    std::uint64_t leaderTerm = 0;
    std::uint64_t configVersion = 0;
    std::uint64_t workersVersion = 0;
    routes routeTable;
    pools poolTable;
    std::set<std::string> domainsOutOfService;
    std::map<std::string, worker_handle> workers;
    std::map<std::string, pool_state> poolStates;
    // Announcements of workers that no acknowledged report has passed on yet, by worker.
    std::map<std::string, worker_announcement> announcements;
    bool draining = false;
    std::uint64_t nextRequest = 1;
    std::uint64_t lastGeneration = 0;
    // Retries that may be made now, in hundredths of a retry.
    std::uint64_t retryBudget = 1000;
    wake_event reportWake;
    wake_event reportAcknowledged;
    std::uint64_t reportsAcknowledged = 0;
};

// Whether the entry has a session and its lease has not expired, so that it may dispatch requests.
bool holdsLease(const entry_state &entry);

// Applies the leader's response to a report that was sent at `sentAt`. The lease is counted from
// that time.
void applyView(entry_state &entry, const entry_view &view, steady_time sentAt);

// Builds the next report to the leader. It holds what has changed since the last acknowledged
// report; if `complete` is set, also every worker and all credits that the entry holds.
entry_report buildReport(const entry_state &entry, bool complete);

// Records that the leader has processed the report, so that later ones hold only what changes
// after it.
void acknowledgeReport(entry_state &entry, const entry_report &report);

} // namespace mango
