#include "Entry/job_api.h"

#include <algorithm>

#include <boost/json.hpp>

#include "Entry/keyed_request.h"
#include "Entry/responses.h"

namespace mango {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr const char *jobsPath = "/mango/v1/jobs/";
constexpr auto jobTimeout = std::chrono::seconds(2);
constexpr std::size_t maximumPayload = 16U << 10U;
constexpr std::uint64_t maximumTasks = 10'000;

std::uint64_t countField(const json::object &body, const char *name, std::uint64_t fallback)
{
    const json::value *value = body.if_contains(name);
    boost::system::error_code error;
    const std::uint64_t read = value == nullptr ? fallback : value->to_number<std::uint64_t>(error);
    return error ? 0 : read;
}

// Reads the job in a request body; fields that it leaves out come from the route. Returns nothing
// when the body is invalid.
std::optional<job_spec> readSpec(const route &row, const std::string &body)
{
    boost::system::error_code error;
    const json::value parsed =
            body.empty() ? json::value(json::object()) : json::parse(body, error);
    if (error || !parsed.is_object()) {
        return std::nullopt;
    }
    const json::object &object = parsed.as_object();
    job_spec spec;
    spec.route = row.name;
    spec.pool = row.pool;
    spec.team = row.team;
    spec.priority = row.priority;
    spec.size = row.size;
    spec.evictionBudget = row.evictionBudget;
    const std::uint64_t tasks = countField(object, "tasks", row.taskCount);
    spec.runTimeMs = countField(object, "run_time_ms", spec.runTimeMs);
    if (const json::value *cores = object.if_contains("cores"); cores != nullptr) {
        spec.size.cores = cores->to_number<double>(error);
    }
    spec.size.memoryBytes = countField(object, "memory_bytes", spec.size.memoryBytes);
    if (const json::value *payload = object.if_contains("payload");
        payload != nullptr && payload->is_string()) {
        spec.payload = std::string(payload->as_string());
    }
    const bool valid = !error && tasks > 0 && tasks <= maximumTasks && spec.runTimeMs > 0
                       && spec.size.cores > 0 && spec.payload.size() <= maximumPayload;
    if (!valid) {
        return std::nullopt;
    }
    spec.taskCount = static_cast<std::uint32_t>(tasks);
    return spec;
}

} // namespace

http_response jobResponse(unsigned status, std::uint64_t job)
{
    http_response response{status,
                           {{"Content-Type", "application/json"}, {"Mango-Outcome", "answered"}},
                           json::serialize(json::object{{"job", job}}) + "\n"};
    response.headers.emplace_back("Location", jobsPath + std::to_string(job));
    return response;
}

asio::awaitable<http_response> submitJob(entry_state &entry, control_client &control,
                                         const route row, dispatched_request request)
{
    const auto spec = readSpec(row, request.request.body);
    if (!spec) {
        co_return entryResponse(400, "not-run", "the body is not a job");
    }
    const auto wallTime = std::chrono::duration_cast<std::chrono::milliseconds>(
            entry.clock.wallTime().time_since_epoch());
    // The command may be proposed more than once. Without an idempotency key of the caller, the id
    // of the request prevents a second job.
    std::string key = recordKeyOf(request.request);
    if (key.empty()) {
        key = "request " + request.id;
    }
    const submit_job_command change{*spec, key, static_cast<std::uint64_t>(wallTime.count()),
                                    routedRequestOf(request)};
    const auto proposed = co_await control.propose(change, request.deadline);
    if (failed(proposed)) {
        co_return failureOf(proposed) == control_failure::notCommitted
                ? refusalResponse(entry, refusal_reason::noLease, row.pool)
                : unknownOutcomeResponse(entry, "the job may have been taken");
    }
    if (const auto *accepted = std::get_if<change_accepted>(&valueOf(proposed))) {
        co_return jobResponse(202, accepted->version);
    }
    const auto *refused = std::get_if<change_refused>(&valueOf(proposed));
    if (refused != nullptr && refused->reason == command_refusal_reason::routeRemoved) {
        co_return routeRemovedResponse(entry, request.request, row.pool);
    }
    co_return entryResponse(422, "not-run", refused == nullptr ? "refused" : refused->detail);
}

asio::awaitable<http_response> serveJobRequest(entry_state &entry, control_client &control,
                                               http_request request)
{
    const auto job = parseCount(pathOf(request.target).substr(std::string(jobsPath).size()));
    if (failed(job)) {
        co_return entryResponse(404, "not-run", "no such job");
    }
    const steady_time deadline = entry.clock.now() + jobTimeout;
    if (request.method == "DELETE") {
        const auto wallTime = std::chrono::duration_cast<std::chrono::milliseconds>(
                entry.clock.wallTime().time_since_epoch());
        const cancel_job_command change{valueOf(job), static_cast<std::uint64_t>(wallTime.count())};
        const auto proposed = co_await control.propose(change, deadline);
        if (failed(proposed)) {
            co_return unknownOutcomeResponse(entry, "the cancellation may not have been taken");
        }
        co_return std::holds_alternative<change_accepted>(valueOf(proposed))
                ? jobResponse(202, valueOf(job))
                : entryResponse(404, "not-run", "no such job");
    }
    if (request.method != "GET") {
        co_return entryResponse(405, "not-run", "use GET or DELETE");
    }
    const auto queried = co_await control.queryJob(valueOf(job), deadline);
    if (failed(queried)) {
        co_return refusalResponse(entry, refusal_reason::noLease, "");
    }
    if (!valueOf(queried)) {
        co_return entryResponse(404, "not-run", "no such job");
    }
    co_return http_response{200,
                            {{"Content-Type", "application/json"}, {"Mango-Outcome", "answered"}},
                            *valueOf(queried)};
}

} // namespace mango
