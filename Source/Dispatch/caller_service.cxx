#include "Dispatch/caller_service.h"

#include "Common/event_log.h"
#include "Common/log.h"
#include "Dispatch/call_subject.h"
#include "Dispatch/crash_tracking.h"
#include "Jobs/job_memory.h"

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

// Returns the customer of a caller; nothing when the call needs a key that the caller lacks.
std::optional<customer_id> admit(const dispatch_state &state, const call_subject &subject,
                                 const fleet_call &origin)
{
    const auto customer =
            customerOf(state.context.machine.state().configuration, subject, origin.keyDigest);
    if (!customer) {
        ++state.context.metricsRegistry.at("mango_calls_unauthorized_total");
    }
    return customer;
}

// The response to a caller who may not access a job: another customer is not told that it exists.
fleet_response refuseAccess(const dispatch_state &state, customer_id customer)
{
    if (customer != 0) {
        return responseOf(fleet_outcome::unknownJob);
    }
    ++state.context.metricsRegistry.at("mango_calls_unauthorized_total");
    return responseOf(fleet_outcome::unauthorized);
}

// Counts a call for a known job that no route of the current configuration leads to.
void countJobOffRoute(const dispatch_state &state, const call_subject &subject)
{
    if (subject.phase && !subject.isJobOfRoute) {
        ++state.context.metricsRegistry.at("mango_calls_off_route_total");
    }
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

// Returns the response to a job that would hold more memory than open jobs may; nothing when there
// is room for it.
std::optional<fleet_response> refuseForMemory(dispatch_state &state, std::uint64_t job,
                                              std::uint64_t bytes)
{
    const open_job_account &account = state.context.machine.openJobs();
    const submission_verdict verdict = judgeSubmission(account, bytes);
    if (verdict == submission_verdict::admitted) {
        return std::nullopt;
    }
    const bool tooLarge = verdict == submission_verdict::tooLarge;
    fleet_response response =
            responseOf(tooLarge ? fleet_outcome::invalid : fleet_outcome::overloaded);
    response.text = "the job would hold " + std::to_string(bytes) + " bytes of memory; "
                    + (tooLarge ? "all open jobs may hold " + std::to_string(account.limits.bytes)
                                : std::string("open jobs leave less"));
    if (!tooLarge) {
        response.retryAfter = timeUntilRoom(account, bytes, state.context.clock.now());
    }
    const char *reason = tooLarge ? "too_large" : "no_room";
    ++state.context.metricsRegistry.at(std::string("mango_submissions_refused_total{reason=\"")
                                       + reason + "\"}");
    logEvent(log_part::scheduler, "submission-refused",
             {{"job", formatJobId(job)},
              {"reason", reason},
              {"bytes", bytes},
              {"held_bytes", account.heldBytes},
              {"proposed_bytes", account.proposedBytes},
              {"limit_bytes", account.limits.bytes},
              {"retry_after_ms", response.retryAfter.count()}});
    return response;
}

asio::awaitable<fleet_response> serve(dispatch_handle state, submit_call call,
                                      const fleet_call &origin)
{
    const fleet_state &current = state->context.machine.state();
    const call_subject subject = subjectOf(current, call.host, call.path);
    if (subject.route == nullptr && !subject.phase) {
        co_return responseOf(fleet_outcome::unknownQueue);
    }
    const auto customer = admit(*state, subject, origin);
    if (!customer) {
        co_return responseOf(fleet_outcome::unauthorized);
    }
    countJobOffRoute(*state, subject);
    if (subject.phase) {
        fleet_response response = responseOf(fleet_outcome::accepted);
        // The job stays one job whatever key a duplicate has.
        if (mayAccessJob(current.configuration, subject, *customer)) {
            response.phase = subject.phase;
        }
        co_return response;
    }
    if (!subject.isJobOfRoute) {
        fleet_response response = responseOf(fleet_outcome::invalid);
        response.text = "the path does not end with a job's name";
        co_return response;
    }
    const std::uint64_t job = *subject.job;
    const std::uint64_t receivedAfter = origin.receivedAfter;
    if (const auto failure = checkGraph(call.graph)) {
        fleet_response response = responseOf(fleet_outcome::invalid);
        response.text = describe(*failure);
        co_return response;
    }
    if (isCancelledEarly(current, job, receivedAfter)) {
        co_return refuseEarlyCancelled(*state, job);
    }
    const std::uint64_t bytes = jobMemory(call.graph).sum();
    if (auto refusal = refuseForMemory(*state, job, bytes)) {
        co_return std::move(*refusal);
    }
    const proposed_job_room proposed(state->context.machine.openJobs(), bytes);
    const std::string queue = subject.route->name;
    const std::size_t steps = call.graph.steps.size();
    fleet_command change = submit_job{job, termsOf(*subject.route, *customer),
                                      std::move(call.graph), receivedAfter};
    const steady_time receivedAt = state->context.clock.now();
    const auto committed = co_await commitCommand(state, std::move(change));
    if (committed == fleet_command_result::overtaken) {
        co_return refuseEarlyCancelled(*state, job);
    }
    logEvent(log_part::scheduler, "job-submitted",
             {{"job", formatJobId(job)},
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
    const fleet_state &current = state->context.machine.state();
    const call_subject subject = subjectOf(current, call.host, call.path);
    if (!subject.isQueue && !subject.job) {
        co_return responseOf(fleet_outcome::unknownQueue);
    }
    const auto customer = admit(*state, subject, origin);
    if (!customer) {
        co_return responseOf(fleet_outcome::unauthorized);
    }
    countJobOffRoute(*state, subject);
    fleet_response response = responseOf(fleet_outcome::accepted);
    const bool mayAccess = mayAccessJob(current.configuration, subject, *customer);
    if (subject.isQueue) {
        response.waiting = countQueuedJobs(current, *subject.route);
    } else if (!subject.phase) {
        co_return responseOf(fleet_outcome::unknownJob);
    } else if (!mayAccess) {
        co_return refuseAccess(*state, *customer);
    }
    // The path of a queue may be that of a job which is older than the queue.
    if (subject.phase && mayAccess) {
        response.phase = subject.phase;
        if (const job_failure_report *failure = failureOf(current, *subject.job)) {
            response.text = describe(*failure);
        }
    }
    co_return response;
}

// An answered cancel holds for the id, whether a route leads to the path or not: the job may have
// been accepted under an earlier configuration, or its submission may still be on its way.
asio::awaitable<fleet_response> serve(dispatch_handle state, cancel_call call,
                                      const fleet_call &origin)
{
    const fleet_state &current = state->context.machine.state();
    const call_subject subject = subjectOf(current, call.host, call.path);
    if (!subject.isQueue && !subject.job) {
        co_return responseOf(fleet_outcome::unknownQueue);
    }
    const auto customer = admit(*state, subject, origin);
    if (!customer) {
        co_return responseOf(fleet_outcome::unauthorized);
    }
    countJobOffRoute(*state, subject);
    if (!mayAccessJob(current.configuration, subject, *customer)) {
        co_return refuseAccess(*state, *customer);
    }
    if (!subject.job) {
        co_return responseOf(fleet_outcome::unknownJob);
    }
    const std::uint64_t job = *subject.job;
    const std::string route = subject.isJobOfRoute ? subject.route->name : "none";
    fleet_command change = cancel_job{job};
    const auto committed = co_await commitCommand(state, std::move(change));
    if (!committed) {
        co_return responseOf(fleet_outcome::uncertain);
    }
    const bool isKnown = *committed != fleet_command_result::unknownJob;
    logEvent(log_part::scheduler, "job-cancelled",
             {{"job", formatJobId(job)}, {"known", isKnown ? "yes" : "no"}, {"route", route}});
    co_return responseOf(isKnown ? fleet_outcome::accepted : fleet_outcome::unknownJob);
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

// Returns why an order for a failure domain is not carried out; empty when it is.
std::string describeDomainExcess(const dispatch_state &state, const domain_call &call)
{
    // More than any deployment has, with those of names that were misspelt.
    constexpr std::size_t maximumDomains = 1000;
    if (call.failureDomain.size() > maximumWorkerNameBytes) {
        return "the failure domain has " + std::to_string(call.failureDomain.size())
               + " bytes; at most " + std::to_string(maximumWorkerNameBytes) + " are allowed";
    }
    const std::size_t outOfService = state.context.machine.state().domainsOutOfService.size();
    if (call.outOfService && outOfService >= maximumDomains) {
        return std::to_string(outOfService) + " failure domains are out of service already";
    }
    return "";
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
    if (const std::string excess = describeDomainExcess(*state, call); !excess.empty()) {
        fleet_response response = responseOf(fleet_outcome::invalid);
        response.text = excess;
        co_return response;
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

// Returns the response to a heartbeat that is not recorded; nothing when it is to be recorded. A
// worker of a service that is not in use has been heard, as far as its sender is concerned, and is
// registered by the first heartbeat after the service is configured.
std::optional<fleet_response> refuseRegistration(const dispatch_state &state,
                                                 const worker_record &record)
{
    const dispatch_context &context = state.context;
    const std::uint64_t held = context.machine.workerBytes();
    const auto verdict =
            judgeRegistration(context.machine.state(), record, held, context.registrations);
    if (verdict == registration_verdict::admitted) {
        return std::nullopt;
    }
    const bool isUnknown = verdict == registration_verdict::unknownService;
    const std::string reason = isUnknown ? "unknown_service" : "no_room";
    ++context.metricsRegistry.at("mango_announcements_ignored_total{reason=\"" + reason + "\"}");
    logEvent(log_part::control, "announcement-ignored",
             {{"worker", record.incarnation.id},
              {"reason", reason},
              {"service", record.service},
              {"registered", context.machine.state().workers.size()},
              {"held_bytes", held},
              {"limit_bytes", context.registrations.bytes}});
    if (isUnknown) {
        return responseOf(fleet_outcome::accepted);
    }
    fleet_response response = unavailable();
    response.text = "no room for more workers";
    return response;
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
    if (const auto refusal = refuseRegistration(*state, record)) {
        co_return *refusal;
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
