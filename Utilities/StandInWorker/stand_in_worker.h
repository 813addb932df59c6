#pragma once

#include <set>

#include "Common/metrics_registry.h"
#include "Common/random_source.h"
#include "Http/http_server.h"
#include "StandInWorker/task_runs.h"

namespace mango::stand_in {

// Configurable behaviour and faults of a stand-in worker. POST /stand-in changes them at run time.
struct worker_behaviour
{
    // Mean response time without interference.
    double serviceMs = 1;
    // Response times are multiplied by 1 + noiseFactor * the share of the cores in use by batch
    // tasks.
    double noiseFactor = 0;
    // Sends no heartbeats, and holds all responses back until it is unset.
    bool silent = false;
    // Closes the connection in the middle of the body of each successful response to a caller.
    bool truncateResponses = false;
    // Refuses the requests of callers with status 503.
    bool refuseAll = false;
    // Announces that the worker is about to stop.
    bool leaving = false;
    task_behaviour tasks;
};

// Identity, resources and addresses of a stand-in worker.
struct worker_options
{
    worker_announcement announcement;
    // Address to listen on. The announced address differs if a relay forwards to the worker.
    host_address listen;
    // Entry processes that take the announcements.
    std::vector<host_address> entries;
    std::chrono::milliseconds announceInterval{1000};
};

// A simulated worker for demos, benchmarks and tests. It announces itself, serves requests, runs
// tasks through the worker protocol and records each event in the ledger.
class worker
{
public:
    worker(boost::asio::any_io_executor executor, clock_source &clock, random_source &random,
           metrics_registry &metricsRegistry, ledger &events, worker_options options,
           worker_behaviour behaviour);

    // Starts to listen and to announce. Fails if the address cannot be bound.
    result<done, settings_failure> start();

    // Announces that the worker leaves, waits for the limit, then drains the server within the
    // limit once more and fails the remaining runs.
    boost::asio::awaitable<void> stop(std::chrono::milliseconds limit);

private:
    // Record of an attempt, kept so that each attempt is executed at most once and its response can
    // be queried.
    struct attempt
    {
        std::string state = "running";
        bool cancelled = false;
        http_response response;
    };

    boost::asio::awaitable<http_response> handle(http_request request);
    boost::asio::awaitable<http_response> handleCallerRequest(http_request request);
    http_response handleAgentPoll(const http_request &request);
    http_response handleAttemptQuery(const http_request &request);
    http_response changeBehaviour(const http_request &request);
    boost::asio::awaitable<void> runAnnouncements();
    boost::asio::awaitable<void> runTasks();
    void checkAnnouncedLimits();
    std::string issueNonce();

    boost::asio::any_io_executor m_executor;
    clock_source &m_clock;
    random_source &m_random;
    ledger &m_events;
    worker_options m_options;
    worker_behaviour m_behaviour;
    task_runs m_tasks;
    std::unique_ptr<http_server> m_server;
    std::map<std::string, attempt> m_attempts;
    std::map<std::uint64_t, std::uint32_t> m_requestsBySession;
    std::uint32_t m_requestsInProgress = 0;
    session_list m_sessions;
    std::uint64_t m_term = 0;
    // Recently issued nonces, each with its time of issue and the number of the last change to a
    // run that the reply with the nonce reported.
    std::map<std::string, std::pair<steady_time, std::uint64_t>> m_nonces;
    std::map<std::string, std::uint64_t> m_executionsByKey;
    bool m_stopping = false;
};

} // namespace mango::stand_in
