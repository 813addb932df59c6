#include "Dispatch/caller_service.h"

#include "Common/event_log.h"
#include "Common/log.h"

namespace mango {

namespace asio = boost::asio;

namespace {

// When a caller that met no leader should come back: elections take about that long.
constexpr auto leaderRetry = std::chrono::milliseconds(1000);

fleet_answer answerOf(fleet_outcome outcome)
{
    fleet_answer answer;
    answer.outcome = outcome;
    return answer;
}

fleet_answer unavailable()
{
    fleet_answer answer = answerOf(fleet_outcome::unavailable);
    answer.retryAfter = leaderRetry;
    return answer;
}

// The queue and job that a path names; the job is nothing when the path is the queue's own.
struct named_job
{
    const queue_route *route = nullptr;
    std::optional<std::uint64_t> job;
    bool namesQueue = false;
};

named_job findNamed(const dispatch_state &state, const std::string &host, const std::string &path)
{
    named_job named;
    named.route = findRoute(state.shared.machine.state().configuration, host, path);
    if (named.route != nullptr) {
        const std::string rest = path.substr(named.route->pathPrefix.size());
        named.namesQueue = rest.empty();
        named.job = parseJobId(rest);
    }
    return named;
}

bool isConfigured(const dispatch_state &state)
{
    return state.shared.machine.state().configuration.version > 0;
}

queue_parameters termsOf(const queue_route &route)
{
    return {route.host,    route.pathPrefix,   route.service, route.priority, route.maximumFailures,
            route.stretch, route.targetLatency};
}

asio::awaitable<fleet_answer> serve(dispatch_handle state, submit_call call)
{
    const named_job named = findNamed(*state, call.host, call.path);
    if (named.route == nullptr) {
        co_return answerOf(fleet_outcome::unknownQueue);
    }
    if (!named.job) {
        fleet_answer answer = answerOf(fleet_outcome::invalid);
        answer.text = "the path does not end with a job's name";
        co_return answer;
    }
    const auto known = phaseOf(state->shared.machine.state(), *named.job);
    if (known) {
        fleet_answer answer = answerOf(fleet_outcome::accepted);
        answer.phase = known;
        co_return answer;
    }
    if (const auto failure = checkGraph(call.graph)) {
        fleet_answer answer = answerOf(fleet_outcome::invalid);
        answer.text = describe(*failure);
        co_return answer;
    }
    const std::string queue = named.route->name;
    const std::size_t steps = call.graph.steps.size();
    fleet_command change = submit_job{*named.job, termsOf(*named.route), std::move(call.graph)};
    const auto agreed = co_await agree(state, std::move(change));
    logEvent(log_part::scheduler, "job-submitted",
             {{"job", formatJobId(*named.job)},
              {"queue", queue},
              {"steps", steps},
              {"outcome", agreed ? "accepted" : "uncertain"}});
    co_return answerOf(agreed ? fleet_outcome::accepted : fleet_outcome::uncertain);
}

asio::awaitable<fleet_answer> serve(dispatch_handle state, query_call call)
{
    const fleet_state &agreed = state->shared.machine.state();
    const named_job named = findNamed(*state, call.host, call.path);
    if (named.route == nullptr) {
        co_return answerOf(fleet_outcome::unknownQueue);
    }
    fleet_answer answer = answerOf(fleet_outcome::accepted);
    if (named.namesQueue) {
        answer.waiting = countQueuedJobs(agreed, *named.route);
        co_return answer;
    }
    answer.phase = named.job ? phaseOf(agreed, *named.job) : std::nullopt;
    if (!answer.phase) {
        answer.outcome = fleet_outcome::unknownJob;
    }
    co_return answer;
}

asio::awaitable<fleet_answer> serve(dispatch_handle state, cancel_call call)
{
    const named_job named = findNamed(*state, call.host, call.path);
    if (named.route == nullptr) {
        co_return answerOf(fleet_outcome::unknownQueue);
    }
    if (!named.job || !phaseOf(state->shared.machine.state(), *named.job)) {
        co_return answerOf(fleet_outcome::unknownJob);
    }
    fleet_command change = cancel_job{*named.job};
    const auto agreed = co_await agree(state, std::move(change));
    if (!agreed) {
        co_return answerOf(fleet_outcome::uncertain);
    }
    logEvent(log_part::scheduler, "job-cancelled", {{"job", formatJobId(*named.job)}});
    co_return answerOf(*agreed == fleet_command_result::unknownJob ? fleet_outcome::unknownJob
                                                                   : fleet_outcome::accepted);
}

asio::awaitable<fleet_answer> serve(dispatch_handle state, configure_call call)
{
    const std::uint64_t version = call.configuration.version;
    if (version <= state->shared.machine.state().configuration.version) {
        co_return answerOf(fleet_outcome::accepted);
    }
    fleet_command change = adopt_configuration{std::move(call.configuration)};
    const auto agreed = co_await agree(state, std::move(change));
    logEvent(log_part::control, "configuration",
             {{"version", version}, {"outcome", agreed ? "in-force" : "uncertain"}});
    co_return answerOf(agreed ? fleet_outcome::accepted : fleet_outcome::uncertain);
}

asio::awaitable<fleet_answer> serve(dispatch_handle state, read_configuration_call /*call*/)
{
    if (!isConfigured(*state)) {
        co_return answerOf(fleet_outcome::notConfigured);
    }
    fleet_answer answer = answerOf(fleet_outcome::accepted);
    answer.text = state->shared.machine.state().configuration.source;
    co_return answer;
}

asio::awaitable<fleet_answer> serve(dispatch_handle state, domain_call call)
{
    const bool out = state->shared.machine.state().domainsOutOfService.contains(call.failureDomain);
    if (out == call.outOfService) {
        co_return answerOf(fleet_outcome::accepted);
    }
    fleet_command change = set_domain_availability{call.failureDomain, call.outOfService};
    const auto agreed = co_await agree(state, std::move(change));
    logEvent(log_part::control, "failure-domain",
             {{"domain", call.failureDomain},
              {"out", call.outOfService ? "yes" : "no"},
              {"outcome", agreed ? "in-force" : "uncertain"}});
    co_return answerOf(agreed ? fleet_outcome::accepted : fleet_outcome::uncertain);
}

asio::awaitable<fleet_answer> serve(dispatch_handle state, beat_call call)
{
    const worker_record &record = call.heartbeat.record;
    const auto &agreed = state->shared.machine.state().workers;
    const auto known = agreed.find(record.incarnation.id);
    if (known != agreed.end()
        && known->second.incarnation.startTime > record.incarnation.startTime) {
        // Sent before the worker's process began again.
        ++state->shared.counted.at("mango_announcements_ignored_total{reason=\"older_life\"}");
        co_return answerOf(fleet_outcome::accepted);
    }
    if (const live_worker_handle worker = findWorker(*state, record.incarnation)) {
        if (call.heartbeat.sequence <= worker->lastSequence) {
            ++state->shared.counted.at("mango_announcements_ignored_total{reason=\"late\"}");
            co_return answerOf(fleet_outcome::accepted);
        }
        worker->lastSequence = call.heartbeat.sequence;
    }
    if (known != agreed.end() && known->second == record) {
        co_return answerOf(fleet_outcome::accepted);
    }
    logEvent(log_part::scheduler, "worker-announced",
             {{"worker", record.incarnation.id},
              {"born", record.incarnation.startTime.count()},
              {"address", toText(record.address)},
              {"state", record.draining ? "draining" : "ready"}});
    fleet_command change = register_worker{record};
    const auto noted = co_await agree(state, std::move(change));
    if (noted) {
        if (const live_worker_handle worker = findWorker(*state, record.incarnation)) {
            worker->lastSequence = std::max(worker->lastSequence, call.heartbeat.sequence);
        }
    }
    co_return answerOf(noted ? fleet_outcome::accepted : fleet_outcome::unavailable);
}

asio::awaitable<fleet_answer> serve(dispatch_handle state, farewell_call call)
{
    const auto &agreed = state->shared.machine.state().workers;
    const auto known = agreed.find(call.worker);
    // Only a life that has said it would end ends by this: the call may be one of an earlier life.
    if (known != agreed.end() && known->second.draining) {
        if (const live_worker_handle worker = findWorker(*state, known->second.incarnation)) {
            noteGone(state, worker);
        }
    }
    co_return answerOf(fleet_outcome::accepted);
}

asio::awaitable<fleet_answer> serve(dispatch_handle state, group_call /*call*/)
{
    fleet_answer answer = answerOf(fleet_outcome::accepted);
    if (isConfigured(*state)) {
        answer.limits = state->shared.machine.state().configuration.limits;
    }
    co_return answer;
}

} // namespace

asio::awaitable<fleet_answer> serveFleetCall(dispatch_handle state, fleet_request request)
{
    if (!mayAct(*state)) {
        co_return unavailable();
    }
    const bool forJobs = std::holds_alternative<submit_call>(request)
                         || std::holds_alternative<query_call>(request)
                         || std::holds_alternative<cancel_call>(request);
    if (forJobs && !isConfigured(*state)) {
        fleet_answer answer = answerOf(fleet_outcome::notConfigured);
        answer.retryAfter = leaderRetry;
        co_return answer;
    }
    // A separate name keeps the request alive for the whole call.
    fleet_request taken = std::move(request);
    co_return co_await std::visit(
            [&](auto &typed) {
                return serve(state, std::move(typed));
            },
            taken);
}

} // namespace mango
