#include "Dispatch/caller_service.h"

#include "Common/event_log.h"
#include "Common/log.h"
#include "Dispatch/crash_tracking.h"

namespace mango {

namespace asio = boost::asio;

namespace {

// When to retry while there is no leader; an election takes about that long.
constexpr auto leaderRetryDelay = std::chrono::milliseconds(1000);
// When to retry a call that may have been held up. An entry learns within this time which commands
// have been applied.
constexpr auto overtakenRetryDelay = std::chrono::milliseconds(1000);

fleet_response responseOf(fleet_outcome outcome)
{
    fleet_response response;
    response.outcome = outcome;
    return response;
}

fleet_response unavailable()
{
    fleet_response response = responseOf(fleet_outcome::unavailable);
    response.retryAfter = leaderRetryDelay;
    return response;
}

// The queue and job that a path names; without a job when the path is that of the queue or the
// job's name cannot be read.
struct resolved_path
{
    const queue_route *route = nullptr;
    std::optional<std::uint64_t> job;
    bool isQueue = false;
};

resolved_path resolvePath(const dispatch_state &state, const std::string &host,
                          const std::string &path)
{
    resolved_path resolved;
    resolved.route = findRoute(state.context.machine.state().configuration, host, path);
    if (resolved.route != nullptr) {
        const std::string rest = path.substr(resolved.route->pathPrefix.size());
        resolved.isQueue = rest.empty();
        resolved.job = parseJobId(rest);
    }
    return resolved;
}

bool isConfigured(const dispatch_state &state)
{
    return state.context.machine.state().configuration.version > 0;
}

queue_parameters termsOf(const queue_route &route, customer_id customer)
{
    return {route.host,
            route.pathPrefix,
            route.service,
            route.priority,
            route.maximumFailures,
            route.stretch,
            route.targetLatency,
            customer};
}

// Returns the customer of a caller; nothing when the queue needs a key that the caller lacks.
std::optional<customer_id> customerOf(const dispatch_state &state, const queue_route &route,
                                      const fleet_call &origin)
{
    const auto customer =
            authenticate(state.context.machine.state().configuration, route, origin.keyDigest);
    if (!customer) {
        ++state.context.metricsRegistry.at("mango_calls_unauthorized_total");
    }
    return customer;
}

// True when the job is one of another customer, who alone learns of it.
bool isHiddenFrom(const dispatch_state &state, std::uint64_t job, customer_id customer)
{
    const customer_id owner = ownerOf(state.context.machine.state(), job);
    return owner != 0 && customer != 0 && owner != customer;
}

// Calls of callers take the call that they came with, for its mark and its key.

// Refuses a submission of a job that was cancelled before it was known. Only when the cancel is not
// kept any more may a caller that has sent the submission after it repeat it.
fleet_response refuseEarlyCancelled(const dispatch_state &state, std::uint64_t job)
{
    const bool kept = hasKey(state.context.machine.state().earlyCancels, job);
    ++state.context.metricsRegistry.at("mango_submissions_overtaken_total");
    logEvent(log_part::scheduler, "submission-overtaken",
             {{"job", formatJobId(job)}, {"cancel_kept", kept ? "yes" : "no"}});
    fleet_response response = responseOf(fleet_outcome::refused);
    response.text = "the job has been cancelled";
    if (!kept) {
        response.retryAfter = overtakenRetryDelay;
        response.text = "the job may have been cancelled after the submission was sent";
    }
    return response;
}

asio::awaitable<fleet_response> serve(dispatch_handle state, submit_call call,
                                      const fleet_call &origin)
{
    const resolved_path resolved = resolvePath(*state, call.host, call.path);
    if (resolved.route == nullptr) {
        co_return responseOf(fleet_outcome::unknownQueue);
    }
    const auto customer = customerOf(*state, *resolved.route, origin);
    if (!customer) {
        co_return responseOf(fleet_outcome::unauthorized);
    }
    const std::uint64_t receivedAfter = origin.receivedAfter;
    if (!resolved.job) {
        fleet_response response = responseOf(fleet_outcome::invalid);
        response.text = "the path does not end with a job's name";
        co_return response;
    }
    const auto known = phaseOf(state->context.machine.state(), *resolved.job);
    if (known) {
        fleet_response response = responseOf(fleet_outcome::accepted);
        // The job stays one job whatever key a duplicate has.
        if (!isHiddenFrom(*state, *resolved.job, *customer)) {
            response.phase = known;
        }
        co_return response;
    }
    if (const auto failure = checkGraph(call.graph)) {
        fleet_response response = responseOf(fleet_outcome::invalid);
        response.text = describe(*failure);
        co_return response;
    }
    if (isCancelledEarly(state->context.machine.state(), *resolved.job, receivedAfter)) {
        co_return refuseEarlyCancelled(*state, *resolved.job);
    }
    const std::string queue = resolved.route->name;
    const std::size_t steps = call.graph.steps.size();
    fleet_command change = submit_job{*resolved.job, termsOf(*resolved.route, *customer),
                                      std::move(call.graph), receivedAfter};
    const steady_time receivedAt = state->context.clock.now();
    const auto committed = co_await commitCommand(state, std::move(change));
    if (committed == fleet_command_result::overtaken) {
        co_return refuseEarlyCancelled(*state, *resolved.job);
    }
    logEvent(log_part::scheduler, "job-submitted",
             {{"job", formatJobId(*resolved.job)},
              {"queue", queue},
              {"steps", steps},
              {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                                  state->context.clock.now() - receivedAt)
                                  .count()},
              {"outcome", committed ? "accepted" : "uncertain"}});
    co_return responseOf(committed ? fleet_outcome::accepted : fleet_outcome::uncertain);
}

asio::awaitable<fleet_response> serve(dispatch_handle state, query_call call,
                                      const fleet_call &origin)
{
    const fleet_state &committed = state->context.machine.state();
    const resolved_path resolved = resolvePath(*state, call.host, call.path);
    if (resolved.route == nullptr) {
        co_return responseOf(fleet_outcome::unknownQueue);
    }
    const auto customer = customerOf(*state, *resolved.route, origin);
    if (!customer) {
        co_return responseOf(fleet_outcome::unauthorized);
    }
    fleet_response response = responseOf(fleet_outcome::accepted);
    if (resolved.isQueue) {
        response.waiting = countQueuedJobs(committed, *resolved.route);
        co_return response;
    }
    response.phase = resolved.job ? phaseOf(committed, *resolved.job) : std::nullopt;
    if (!response.phase || isHiddenFrom(*state, *resolved.job, *customer)) {
        response.phase.reset();
        response.outcome = fleet_outcome::unknownJob;
        co_return response;
    }
    if (const job_failure_report *failure = failureOf(committed, *resolved.job)) {
        response.text = describe(*failure);
    }
    co_return response;
}

asio::awaitable<fleet_response> serve(dispatch_handle state, cancel_call call,
                                      const fleet_call &origin)
{
    const resolved_path resolved = resolvePath(*state, call.host, call.path);
    if (resolved.route == nullptr) {
        co_return responseOf(fleet_outcome::unknownQueue);
    }
    const auto customer = customerOf(*state, *resolved.route, origin);
    if (!customer) {
        co_return responseOf(fleet_outcome::unauthorized);
    }
    if (!resolved.job || isHiddenFrom(*state, *resolved.job, *customer)) {
        co_return responseOf(fleet_outcome::unknownJob);
    }
    fleet_command change = cancel_job{*resolved.job};
    const auto committed = co_await commitCommand(state, std::move(change));
    if (!committed) {
        co_return responseOf(fleet_outcome::uncertain);
    }
    logEvent(log_part::scheduler, "job-cancelled",
             {{"job", formatJobId(*resolved.job)},
              {"known", *committed == fleet_command_result::unknownJob ? "no" : "yes"}});
    co_return responseOf(*committed == fleet_command_result::unknownJob ? fleet_outcome::unknownJob
                                                                        : fleet_outcome::accepted);
}

asio::awaitable<fleet_response> serve(dispatch_handle state, configure_call call)
{
    const std::uint64_t version = call.configuration.version;
    if (version <= state->context.machine.state().configuration.version) {
        co_return responseOf(fleet_outcome::accepted);
    }
    fleet_command change = adopt_configuration{std::move(call.configuration)};
    const auto committed = co_await commitCommand(state, std::move(change));
    logEvent(log_part::control, "configuration",
             {{"version", version}, {"outcome", committed ? "in-force" : "uncertain"}});
    co_return responseOf(committed ? fleet_outcome::accepted : fleet_outcome::uncertain);
}

asio::awaitable<fleet_response> serve(dispatch_handle state, read_configuration_call /*call*/)
{
    if (!isConfigured(*state)) {
        co_return responseOf(fleet_outcome::notConfigured);
    }
    fleet_response response = responseOf(fleet_outcome::accepted);
    response.text = state->context.machine.state().configuration.source;
    co_return response;
}

asio::awaitable<fleet_response> serve(dispatch_handle state, domain_call call,
                                      const fleet_call &origin)
{
    const std::uint64_t receivedAfter = origin.receivedAfter;
    const bool out =
            state->context.machine.state().domainsOutOfService.contains(call.failureDomain);
    if (out == call.outOfService) {
        co_return responseOf(fleet_outcome::accepted);
    }
    fleet_command change =
            set_domain_availability{call.failureDomain, call.outOfService, receivedAfter};
    std::optional<fleet_command_result> committed = fleet_command_result::overtaken;
    if (!isDomainOrderOvertaken(state->context.machine.state(), call.failureDomain,
                                receivedAfter)) {
        committed = co_await commitCommand(state, std::move(change));
    }
    const bool isOvertaken = committed == fleet_command_result::overtaken;
    const char *inForce = committed ? "in-force" : "uncertain";
    logEvent(log_part::control, "failure-domain",
             {{"domain", call.failureDomain},
              {"out", call.outOfService ? "yes" : "no"},
              {"outcome", isOvertaken ? "overtaken" : inForce}});
    if (isOvertaken) {
        // An operator who has sent the order after the latest change repeats it.
        co_return unavailable();
    }
    co_return responseOf(committed ? fleet_outcome::accepted : fleet_outcome::uncertain);
}

asio::awaitable<fleet_response> serve(dispatch_handle state, heartbeat_call call)
{
    const worker_record &record = call.heartbeat.record;
    const auto &committed = state->context.machine.state().workers;
    const auto known = committed.find(record.incarnation.id);
    if (known != committed.end()
        && known->second.incarnation.startTime > record.incarnation.startTime) {
        // Sent by an earlier incarnation of the worker.
        ++state->context.metricsRegistry.at(
                "mango_announcements_ignored_total{reason=\"older_life\"}");
        co_return responseOf(fleet_outcome::accepted);
    }
    // A worker that drains does so until it ends.
    const bool endsDrain = known != committed.end()
                           && known->second.incarnation == record.incarnation
                           && known->second.draining && !record.draining;
    if (endsDrain
        || isOvertaken(state->context.machine.state(), record.incarnation,
                       call.heartbeat.sequence)) {
        ++state->context.metricsRegistry.at("mango_announcements_ignored_total{reason=\"late\"}");
        co_return responseOf(fleet_outcome::accepted);
    }
    if (const tracked_worker_handle worker = findWorker(*state, record.incarnation)) {
        if (call.heartbeat.sequence <= worker->lastSequence) {
            ++state->context.metricsRegistry.at(
                    "mango_announcements_ignored_total{reason=\"late\"}");
            co_return responseOf(fleet_outcome::accepted);
        }
    }
    if (known != committed.end() && known->second == record) {
        if (const tracked_worker_handle worker = findWorker(*state, record.incarnation)) {
            worker->lastSequence = call.heartbeat.sequence;
        }
        co_return responseOf(fleet_outcome::accepted);
    }
    logEvent(log_part::scheduler, "worker-announced",
             {{"worker", record.incarnation.id},
              {"born", record.incarnation.startTime.count()},
              {"address", toText(record.address)},
              {"state", record.draining ? "draining" : "ready"},
              {"milli_cores", record.capacity.milliCores},
              {"memory_mb", record.capacity.memoryMb},
              {"sequence", call.heartbeat.sequence}});
    fleet_command change = register_worker{record, call.heartbeat.sequence};
    const auto noted = co_await commitCommand(state, std::move(change));
    if (noted) {
        if (const tracked_worker_handle worker = findWorker(*state, record.incarnation)) {
            worker->lastSequence = std::max(worker->lastSequence, call.heartbeat.sequence);
        }
    }
    co_return responseOf(noted ? fleet_outcome::accepted : fleet_outcome::unavailable);
}

asio::awaitable<fleet_response> serve(dispatch_handle state, worker_exit_call call)
{
    const auto &committed = state->context.machine.state().workers;
    const auto known = committed.find(call.worker);
    // The call may be of an earlier incarnation: it ends only a worker that has announced to drain.
    if (known == committed.end() || !known->second.draining) {
        co_return responseOf(fleet_outcome::accepted);
    }
    if (const tracked_worker_handle worker = findWorker(*state, known->second.incarnation)) {
        co_await handleDeparture(state, worker);
    }
    co_return responseOf(fleet_outcome::accepted);
}

asio::awaitable<fleet_response> serve(dispatch_handle state, group_call /*call*/)
{
    fleet_response response = responseOf(fleet_outcome::accepted);
    if (isConfigured(*state)) {
        response.limits = state->context.machine.state().configuration.limits;
    }
    co_return response;
}

} // namespace

asio::awaitable<fleet_response> serveFleetCall(dispatch_handle state, fleet_call call)
{
    if (!holdsLeadership(*state)) {
        co_return unavailable();
    }
    const bool forJobs = std::holds_alternative<submit_call>(call.request)
                         || std::holds_alternative<query_call>(call.request)
                         || std::holds_alternative<cancel_call>(call.request);
    if (forJobs && !isConfigured(*state)) {
        fleet_response response = responseOf(fleet_outcome::notConfigured);
        response.retryAfter = leaderRetryDelay;
        co_return response;
    }
    // Keeps the request alive until the coroutine has finished.
    fleet_call owned = std::move(call);
    co_return co_await std::visit(
            [&](auto &typed) {
                if constexpr (requires { serve(state, std::move(typed), owned); }) {
                    return serve(state, std::move(typed), owned);
                } else {
                    return serve(state, std::move(typed));
                }
            },
            owned.request);
}

} // namespace mango
