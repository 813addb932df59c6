#pragma once

#include <set>

#include "Common/counters.h"
#include "Common/random_source.h"
#include "Http/http_server.h"
#include "StandInWorker/task_runs.h"

namespace mango::stand_in {

// How a stand-in worker behaves; changed while it runs by POST /stand-in.
struct worker_behaviour
{
    double serviceMs = 1;
    // Answer times grow by this factor for each share of the cores that batch tasks use.
    double noiseFactor = 0;
    bool silent = false;
    bool cutAnswers = false;
    bool refuseAll = false;
    bool leaving = false;
    task_behaviour tasks;
};

struct worker_options
{
    worker_announcement announced;
    // Where it listens; the announced address may be a relay before it.
    host_address listen;
    std::vector<host_address> entries;
    std::chrono::milliseconds announceInterval{1000};
};

// A small worker for demos and tests: announces itself, runs requests and tasks under the system's
// interface, and writes what truly happened to the ledger.
class worker
{
public:
    worker(boost::asio::any_io_executor executor, clock_source &clock, random_source &random,
           counters &metricsRegistry, ledger &events, worker_options options,
           worker_behaviour behaviour);

    result<done, settings_failure> start();
    boost::asio::awaitable<void> stop(std::chrono::milliseconds limit);

private:
    // What the worker remembers of one attempt, so that it starts each at most once.
    struct attempt
    {
        std::string state = "running";
        bool cancelled = false;
        http_response answer;
    };

    boost::asio::awaitable<http_response> serve(http_request request);
    boost::asio::awaitable<http_response> serveRequest(http_request request);
    http_response serveAgent(const http_request &request);
    http_response serveAttempt(const http_request &request);
    http_response changeBehaviour(const http_request &request);
    boost::asio::awaitable<void> runAnnouncements();
    boost::asio::awaitable<void> runTasks();
    void checkLimits();
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
    std::map<std::uint64_t, std::uint32_t> m_running;
    std::uint32_t m_requests = 0;
    session_list m_sessions;
    std::uint64_t m_term = 0;
    // The nonces issued lately, with when and up to which change they were issued.
    std::map<std::string, std::pair<steady_time, std::uint64_t>> m_nonces;
    std::map<std::string, std::uint64_t> m_runsByKey;
    bool m_stopping = false;
};

} // namespace mango::stand_in
