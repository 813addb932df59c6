#include "Load/load_run.h"

#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "Http/http_client.h"

namespace mango::load {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::steady_clock;

namespace {

constexpr std::uint32_t maximumKeyedAttempts = 8;
constexpr auto resendDelay = std::chrono::milliseconds(300);

// State that all requests of one load run share.
struct load_run_state
{
    load_options options;
    asio::any_io_executor executor;
    load_result result;
    std::map<host_address, std::vector<std::unique_ptr<http_client>>> idleClients;
    std::uint64_t nextNonce = 1;
    std::string noncePrefix;
    std::size_t requestsInProgress = 0;
    std::set<host_address> notReadyTargets;
    bool finished = false;
};

constexpr auto readinessInterval = std::chrono::milliseconds(100);

asio::awaitable<void> watchReadiness(std::shared_ptr<load_run_state> run, host_address target)
{
    asio::steady_timer timer(run->executor);
    const http_request request{"GET", "/mango/v1/health/ready", {}, "", {}};
    while (!run->finished) {
        const auto client = makeHttpClient(run->executor, {target, "", 1U << 16U});
        const auto response = co_await client->exchange(request, readinessInterval * 3);
        if (!failed(response) && valueOf(response).status == 200) {
            run->notReadyTargets.erase(target);
        } else {
            run->notReadyTargets.insert(target);
        }
        timer.expires_after(readinessInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

// The next ready target in round-robin order; the next target if none is ready.
host_address nextTarget(const load_run_state &run, std::uint64_t number)
{
    const auto &targets = run.options.targets;
    for (std::size_t step = 0; step < targets.size(); ++step) {
        const host_address &target = targets[(number + step) % targets.size()];
        if (!run.notReadyTargets.contains(target)) {
            return target;
        }
    }
    return targets[number % targets.size()];
}

bool echoesRequest(const http_response &response, const std::string &nonce, const std::string &body)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(response.body, error);
    const json::object *object = error ? nullptr : parsed.if_object();
    return object != nullptr && object->contains("nonce") && object->contains("echo")
           && object->at("nonce") == json::string(nonce)
           && object->at("echo") == json::string(body);
}

asio::awaitable<result<http_response, http_failure>>
sendOnce(load_run_state &run, const host_address &target, const http_request &request)
{
    auto &idleClients = run.idleClients[target];
    std::unique_ptr<http_client> client;
    if (!idleClients.empty()) {
        client = std::move(idleClients.back());
        idleClients.pop_back();
    } else {
        client = makeHttpClient(run.executor, {target, "", 16ULL << 20U});
    }
    auto response = co_await client->exchange(request, run.options.timeout);
    if (client->isOpen()) {
        run.idleClients[target].push_back(std::move(client));
    }
    co_return response;
}

// Adds the outcome of a request to the result. Returns false, without counting it, if a keyed
// request is to be sent again.
bool recordOutcome(load_run_state &run, const result<http_response, http_failure> &response,
                   const std::string &nonce, const std::string &body, bool lastAttempt)
{
    if (!failed(response) && valueOf(response).status == 200) {
        const bool valid = echoesRequest(valueOf(response), nonce, body);
        run.result.answered += valid ? 1 : 0;
        run.result.wrong += valid ? 0 : 1;
        return true;
    }
    if (run.options.keyed && !lastAttempt) {
        return false;
    }
    if (failed(response)) {
        ++run.result.failed;
        ++run.result.reasons[describe(failureOf(response))];
        return true;
    }
    ++run.result.reasons[headerValue(valueOf(response).headers, "Mango-Reason")];
    const std::string outcome = headerValue(valueOf(response).headers, "Mango-Outcome");
    ++(outcome == "not-run" ? run.result.notRun : run.result.unknown);
    return true;
}

asio::awaitable<void> sendRequest(std::shared_ptr<load_run_state> run, steady_clock::time_point due)
{
    ++run->requestsInProgress;
    const std::uint64_t number = run->nextNonce++;
    const std::string nonce = run->noncePrefix + "-" + std::to_string(number);
    http_request request{run->options.method, run->options.path, {{"X-Nonce", nonce}}, "", {}};
    request.body = std::string(run->options.bodyBytes, char('a' + number % 26));
    if (run->options.keyed) {
        request.headers.emplace_back("Idempotency-Key", nonce);
    }
    for (std::uint32_t attempt = 0; attempt < maximumKeyedAttempts; ++attempt) {
        const host_address target = nextTarget(*run, number + attempt);
        const auto response = co_await sendOnce(*run, target, request);
        if (recordOutcome(*run, response, nonce, request.body,
                          attempt + 1 == maximumKeyedAttempts)) {
            break;
        }
        asio::steady_timer timer(run->executor, resendDelay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    run->result.responseTimes.push_back(
            std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - due));
    --run->requestsInProgress;
}

asio::awaitable<void> runClosedLoopCaller(std::shared_ptr<load_run_state> run,
                                          steady_clock::time_point end)
{
    while (steady_clock::now() < end) {
        co_await sendRequest(run, steady_clock::now());
    }
}

} // namespace

asio::awaitable<load_result> runLoad(asio::any_io_executor executor, random_source &random,
                                     load_options options)
{
    const auto run = std::make_shared<load_run_state>();
    run->options = std::move(options);
    run->executor = executor;
    run->noncePrefix = randomIdentifier(random);
    const auto begin = steady_clock::now();
    const auto end = begin + run->options.duration;
    asio::steady_timer timer(executor);
    for (const host_address &target : run->options.targets) {
        if (run->options.skipNotReadyTargets) {
            asio::co_spawn(executor, watchReadiness(run, target), asio::detached);
        }
    }
    for (std::size_t caller = 0; caller < run->options.closedLoopCallers; ++caller) {
        asio::co_spawn(executor, runClosedLoopCaller(run, end), asio::detached);
    }
    auto due = begin;
    const auto interval = std::chrono::duration_cast<steady_clock::duration>(
            std::chrono::duration<double>(1.0 / run->options.requestsPerSecond));
    while (run->options.closedLoopCallers == 0 && due < end) {
        timer.expires_at(due);
        co_await timer.async_wait(asio::use_awaitable);
        while (due <= steady_clock::now() && due < end) {
            asio::co_spawn(executor, sendRequest(run, due), asio::detached);
            due += interval;
        }
    }
    timer.expires_at(end);
    co_await timer.async_wait(asio::use_awaitable);
    run->result.elapsed =
            std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - begin);
    run->finished = true;
    while (run->requestsInProgress > 0) {
        timer.expires_after(std::chrono::milliseconds(5));
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return std::move(run->result);
}

} // namespace mango::load
