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

constexpr std::uint32_t keyedAttempts = 8;
constexpr auto resendPause = std::chrono::milliseconds(300);

// What the requests of one run share.
struct shared_run
{
    load_options options;
    asio::any_io_executor executor;
    load_result result;
    std::map<host_address, std::vector<std::unique_ptr<http_client>>> idle;
    std::uint64_t nextNonce = 1;
    std::string prefix;
    std::size_t running = 0;
    std::set<host_address> notReady;
    bool ended = false;
};

constexpr auto readinessInterval = std::chrono::milliseconds(100);

asio::awaitable<void> watchReadiness(std::shared_ptr<shared_run> run, host_address target)
{
    asio::steady_timer pause(run->executor);
    const http_request request{"GET", "/mango/v1/health/ready", {}, "", {}};
    while (!run->ended) {
        const auto client = makeHttpClient(run->executor, {target, "", 1U << 16U});
        const auto answered = co_await client->exchange(request, readinessInterval * 3);
        if (!failed(answered) && valueOf(answered).status == 200) {
            run->notReady.erase(target);
        } else {
            run->notReady.insert(target);
        }
        pause.expires_after(readinessInterval);
        co_await pause.async_wait(asio::use_awaitable);
    }
}

// The next target in turn that is ready, or just the next when none is.
host_address nextTarget(const shared_run &run, std::uint64_t number)
{
    const auto &targets = run.options.targets;
    for (std::size_t step = 0; step < targets.size(); ++step) {
        const host_address &target = targets[(number + step) % targets.size()];
        if (!run.notReady.contains(target)) {
            return target;
        }
    }
    return targets[number % targets.size()];
}

bool matches(const http_response &answer, const std::string &nonce, const std::string &body)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(answer.body, error);
    const json::object *object = error ? nullptr : parsed.if_object();
    return object != nullptr && object->contains("nonce") && object->contains("echo")
           && object->at("nonce") == json::string(nonce)
           && object->at("echo") == json::string(body);
}

asio::awaitable<result<http_response, http_failure>>
sendOnce(shared_run &run, const host_address &target, const http_request &request)
{
    auto &idle = run.idle[target];
    std::unique_ptr<http_client> client;
    if (!idle.empty()) {
        client = std::move(idle.back());
        idle.pop_back();
    } else {
        client = makeHttpClient(run.executor, {target, "", 16ULL << 20U});
    }
    auto answered = co_await client->exchange(request, run.options.timeout);
    if (client->isOpen()) {
        run.idle[target].push_back(std::move(client));
    }
    co_return answered;
}

// Counts one final end of a request; false when a keyed request is to be sent again.
bool countEnd(shared_run &run, const result<http_response, http_failure> &answered,
              const std::string &nonce, const std::string &body, bool last)
{
    if (!failed(answered) && valueOf(answered).status == 200) {
        const bool right = matches(valueOf(answered), nonce, body);
        run.result.answered += right ? 1 : 0;
        run.result.wrong += right ? 0 : 1;
        return true;
    }
    if (run.options.keyed && !last) {
        return false;
    }
    if (failed(answered)) {
        ++run.result.failed;
        ++run.result.reasons[describe(failureOf(answered))];
        return true;
    }
    ++run.result.reasons[headerValue(valueOf(answered).headers, "Mango-Reason")];
    const std::string outcome = headerValue(valueOf(answered).headers, "Mango-Outcome");
    ++(outcome == "not-run" ? run.result.notRun : run.result.unknown);
    return true;
}

asio::awaitable<void> sendRequest(std::shared_ptr<shared_run> run, steady_clock::time_point due)
{
    ++run->running;
    const std::uint64_t number = run->nextNonce++;
    const std::string nonce = run->prefix + "-" + std::to_string(number);
    http_request request{run->options.method, run->options.path, {{"X-Nonce", nonce}}, "", {}};
    request.body = std::string(run->options.bodyBytes, char('a' + number % 26));
    if (run->options.keyed) {
        request.headers.emplace_back("Idempotency-Key", nonce);
    }
    for (std::uint32_t attempt = 0; attempt < keyedAttempts; ++attempt) {
        const host_address target = nextTarget(*run, number + attempt);
        const auto answered = co_await sendOnce(*run, target, request);
        if (countEnd(*run, answered, nonce, request.body, attempt + 1 == keyedAttempts)) {
            break;
        }
        asio::steady_timer pause(run->executor, resendPause);
        co_await pause.async_wait(asio::use_awaitable);
    }
    run->result.times.push_back(
            std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - due));
    --run->running;
}

asio::awaitable<void> runCaller(std::shared_ptr<shared_run> run, steady_clock::time_point end)
{
    while (steady_clock::now() < end) {
        co_await sendRequest(run, steady_clock::now());
    }
}

} // namespace

asio::awaitable<load_result> runLoad(asio::any_io_executor executor, random_source &random,
                                     load_options options)
{
    const auto run = std::make_shared<shared_run>();
    run->options = std::move(options);
    run->executor = executor;
    run->prefix = randomIdentifier(random);
    const auto begin = steady_clock::now();
    const auto end = begin + run->options.duration;
    asio::steady_timer timer(executor);
    for (const host_address &target : run->options.targets) {
        if (run->options.balanced) {
            asio::co_spawn(executor, watchReadiness(run, target), asio::detached);
        }
    }
    for (std::size_t caller = 0; caller < run->options.closedLoop; ++caller) {
        asio::co_spawn(executor, runCaller(run, end), asio::detached);
    }
    auto due = begin;
    const auto gap = std::chrono::duration_cast<steady_clock::duration>(
            std::chrono::duration<double>(1.0 / run->options.requestsPerSecond));
    while (run->options.closedLoop == 0 && due < end) {
        timer.expires_at(due);
        co_await timer.async_wait(asio::use_awaitable);
        while (due <= steady_clock::now() && due < end) {
            asio::co_spawn(executor, sendRequest(run, due), asio::detached);
            due += gap;
        }
    }
    timer.expires_at(end);
    co_await timer.async_wait(asio::use_awaitable);
    run->result.elapsed =
            std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - begin);
    run->ended = true;
    while (run->running > 0) {
        timer.expires_after(std::chrono::milliseconds(5));
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return std::move(run->result);
}

} // namespace mango::load
