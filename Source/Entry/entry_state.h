#pragma once

#include <list>
#include <map>
#include <memory>
#include <set>

#include "Common/counters.h"
#include "Common/timeline.h"
#include "Common/wake_event.h"
#include "Entry/entry_settings.h"
#include "Entry/selection.h"
#include "Http/http_client.h"
#include "State/tables.h"
#include "Wire/messages.h"

namespace mango {

// A connection to a worker that no request uses now.
struct idle_connection
{
    std::unique_ptr<http_client> client;
    steady_time lastAnswer;
};

// A worker as an entry sees it.
struct worker_link
{
    worker_view view;
    // Requests in progress here under the present session, orphans included.
    std::uint32_t inUse = 0;
    // Changes with the session and the worker's process; credits of an earlier one do not count.
    std::uint64_t generation = 0;
    std::vector<idle_connection> idle;
    double responseMicroseconds = 0;
    // Since the last report.
    double windowMicroseconds = 0;
    std::uint32_t windowAnswers = 0;
    std::uint32_t windowFailures = 0;
    std::uint32_t consecutiveFailures = 0;
    steady_time avoidUntil{};
    credit_holding reported;
};

using worker_handle = std::shared_ptr<worker_link>;

// The right to have one request in progress on a worker.
struct credit
{
    worker_handle worker;
    std::uint64_t generation = 0;
};

// Why an entry did not dispatch a request.
enum class refusal_reason : std::uint8_t {
    noLease,
    noRoute,
    noWorker,
    deadlinePassed,
    overloaded,
    claimFailed
};

// A request that waits for a credit. Lives in the coroutine that waits.
struct waiting_request
{
    priority_class priority = priority_class::normal;
    steady_time deadline;
    std::unique_ptr<wait_timer> timer;
    std::optional<credit> granted;
    bool shed = false;
};

// The requests of one pool.
struct pool_state
{
    std::vector<worker_handle> workers;
    std::list<waiting_request *> waiting;
    // Requests that are being served, those that wait included.
    std::uint32_t inUse = 0;
};

// Everything an entry process knows; soft, and rebuilt from the control leader.
struct entry_state
{
    entry_state(boost::asio::any_io_executor givenExecutor, clock_source &givenClock,
                random_source &givenRandom, timeline &givenEvents, counters &givenCounters,
                const entry_settings &givenSettings)
        : executor(std::move(givenExecutor))
        , clock(givenClock)
        , random(givenRandom)
        , events(givenEvents)
        , counted(givenCounters)
        , settings(givenSettings)
        , reportWake(givenClock)
        , reportAnswered(givenClock)
    {}

    boost::asio::any_io_executor executor;
    clock_source &clock;
    random_source &random;
    timeline &events;
    counters &counted;
    const entry_settings &settings;

    std::string incarnation;
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
    std::map<std::string, worker_announcement> announcements;
    bool draining = false;
    std::uint64_t nextRequest = 1;
    std::uint64_t generations = 0;
    // Retries that may be made now, in hundredths.
    std::uint64_t retryCredit = 1000;
    wake_event reportWake;
    wake_event reportAnswered;
    std::uint64_t reportsAnswered = 0;
};

// True while the entry may act on its view.
bool holdsLease(const entry_state &entry);

// Takes in the answer to a report that was sent at the time given.
void takeView(entry_state &entry, const entry_view &view, steady_time sentAt);

// The next report to the leader; `complete` lists every holding.
entry_report nextReport(const entry_state &entry, bool complete);

// Marks a report as answered, so that the next one leaves out what did not change.
void confirmReport(entry_state &entry, const entry_report &report);

} // namespace mango
