#include "Control/admin_api.h"

#include <boost/json.hpp>
#include <openssl/crypto.h>

#include "State/queries.h"

namespace mango {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::uint32_t maximumTasksShown = 200;

http_response jsonResponse(unsigned status, const json::value &body,
                           const char *outcome = "answered")
{
    return {status,
            {{"Content-Type", "application/json"}, {"Mango-Outcome", outcome}},
            json::serialize(body) + "\n"};
}

http_response errorResponse(unsigned status, const std::string &reason,
                            const char *outcome = "not-run")
{
    http_response response = jsonResponse(status, json::object{{"error", reason}}, outcome);
    if (status == 503 || status == 504) {
        response.headers.emplace_back("Retry-After", "1");
    }
    return response;
}

bool tokenMatches(const http_request &request, const std::string &token)
{
    const std::string expected = "Bearer " + token;
    const std::string given = headerValue(request.headers, "Authorization");
    return given.size() == expected.size()
           && CRYPTO_memcmp(given.data(), expected.data(), given.size()) == 0;
}

json::object configurationStatus(const leader_state &leader)
{
    const cluster_state &state = leader.shared.machine.state();
    json::array waiting;
    for (const auto &[id, session] : leader.sessions) {
        if (session.configVersion < state.configVersion) {
            waiting.push_back(json::string(session.name));
        }
    }
    const bool inForce = waiting.empty() && !inEntryGracePeriod(leader);
    return {{"version", state.configVersion},
            {"in_force", inForce},
            {"waiting_for", std::move(waiting)}};
}

http_response commandResponse(const result<command_result, propose_failure> &proposed)
{
    if (failed(proposed)) {
        const bool notRun = failureOf(proposed).reason == propose_failure::kind::notLeader;
        return notRun ? errorResponse(503, "not the leader")
                      : errorResponse(504, "the outcome is unknown; send the same change id again",
                                      "unknown");
    }
    return std::visit(
            overloaded{[](const change_accepted &accepted) {
                           return jsonResponse(200, json::object{{"accepted", true},
                                                                 {"version", accepted.version}});
                       },
                       [](const change_refused &refused) {
                           const unsigned status =
                                   refused.reason == command_refusal_reason::invalidTable ? 422
                                   : refused.reason == command_refusal_reason::unknownJob ? 404
                                                                                          : 409;
                           return jsonResponse(
                                   status,
                                   json::object{{"accepted", false},
                                                {"current_version", refused.currentVersion},
                                                {"error", refused.detail.empty()
                                                                  ? "the version is another one"
                                                                  : refused.detail}},
                                   "not-run");
                       },
                       [](const auto &) {
                           return errorResponse(409, "unexpected verdict");
                       }},
            valueOf(proposed));
}

// The fields of a change request; `valid` is false if the body is not JSON with an expected
// version.
struct change_fields
{
    bool valid = false;
    std::uint64_t expectedVersion = 0;
    std::string changeId;
    std::string text;
    bool inService = true;
};

change_fields parseChange(const std::string &body)
{
    change_fields fields;
    boost::system::error_code error;
    const json::value parsed = json::parse(body, error);
    const json::object *object = error ? nullptr : parsed.if_object();
    const json::value *expected =
            object == nullptr ? nullptr : object->if_contains("expected_version");
    if (expected == nullptr) {
        return fields;
    }
    fields.expectedVersion = expected->to_number<std::uint64_t>(error);
    fields.valid = !error;
    if (const json::value *changeId = object->if_contains("change_id");
        changeId != nullptr && changeId->is_string()) {
        fields.changeId = std::string(changeId->as_string());
    }
    if (const json::value *text = object->if_contains("text");
        text != nullptr && text->is_string()) {
        fields.text = std::string(text->as_string());
    }
    if (const json::value *inService = object->if_contains("in_service");
        inService != nullptr && inService->is_bool()) {
        fields.inService = inService->as_bool();
    }
    return fields;
}

http_response showTable(const leader_state &leader, table_kind table)
{
    const cluster_state &state = leader.shared.machine.state();
    const auto found = state.tables.find(table);
    const table_record record = found == state.tables.end() ? table_record{} : found->second;
    return jsonResponse(200, json::object{{"version", record.version}, {"text", record.text}});
}

http_response showDomains(const leader_state &leader)
{
    const cluster_state &state = leader.shared.machine.state();
    std::map<std::string, domain_record> domains = state.domains;
    for (const auto &[name, worker] : leader.workers) {
        if (!worker->announced.failureDomain.empty()) {
            domains.try_emplace(worker->announced.failureDomain);
        }
    }
    json::array rows;
    for (const auto &[name, record] : domains) {
        rows.push_back(json::object{
                {"domain", name}, {"in_service", record.inService}, {"version", record.version}});
    }
    return jsonResponse(200, rows);
}

http_response showWorkers(const leader_state &leader)
{
    json::array rows;
    for (const auto &[name, worker] : leader.workers) {
        rows.push_back(json::object{
                {"worker", name},
                {"failure_domain", worker->announced.failureDomain},
                {"rack", worker->announced.rack},
                {"address", toText(worker->announced.address)},
                {"serving", isServing(leader, *worker)},
                {"leaving", worker->leaving},
                {"quarantined", leader.shared.clock.now() < worker->health.quarantinedUntil},
                {"slots", worker->announced.slots},
                {"credits", grantedCredits(worker->credits)},
                {"tasks", worker->runs.size()},
                {"services_only", worker->servicesOnly},
                {"slowdown", worker->interference.slowdown},
                {"throttled", worker->interference.throttled}});
    }
    return jsonResponse(200, rows);
}

http_response showJobs(const leader_state &leader)
{
    json::array rows;
    for (const auto &[id, job] : leader.shared.machine.state().jobs) {
        rows.push_back(json::object{{"job", id},
                                    {"team", job.spec.team},
                                    {"route", job.spec.route},
                                    {"phase", jobPhase(job)},
                                    {"tasks", job.spec.taskCount},
                                    {"finished", job.finishedTasks}});
    }
    return jsonResponse(200, rows);
}

http_response showStatus(const leader_state &leader)
{
    const replica_status status = leader.shared.consensus.status();
    json::array replicas;
    for (const member &one : status.group) {
        replicas.push_back(json::object{{"name", one.name},
                                        {"address", toText(one.address)},
                                        {"identity", one.identity},
                                        {"voter", one.voter},
                                        {"leads", one.name == status.name}});
    }
    json::array entries;
    for (const auto &[id, session] : leader.sessions) {
        entries.push_back(json::object{{"name", session.name},
                                       {"session", id},
                                       {"failure_domain", session.failureDomain},
                                       {"config_version", session.configVersion},
                                       {"leaving", session.leaving}});
    }
    std::size_t pending = 0;
    for (const auto &[key, numbers] : leader.pending) {
        pending += numbers.size();
    }
    return jsonResponse(200, json::object{{"leader", status.name},
                                          {"term", status.term},
                                          {"last_index", status.lastIndex},
                                          {"committed", status.commitIndex},
                                          {"snapshot_index", status.snapshotIndex},
                                          {"replicas", std::move(replicas)},
                                          {"entries", std::move(entries)},
                                          {"config", configurationStatus(leader)},
                                          {"workers", leader.workers.size()},
                                          {"pending_tasks", pending}});
}

http_response handleQuery(const leader_state &leader, const std::string &path)
{
    if (path == "/v1/status") {
        return showStatus(leader);
    }
    if (path == "/v1/tables/routes") {
        return showTable(leader, table_kind::routes);
    }
    if (path == "/v1/tables/pools") {
        return showTable(leader, table_kind::pools);
    }
    if (path == "/v1/domains") {
        return showDomains(leader);
    }
    if (path == "/v1/workers") {
        return showWorkers(leader);
    }
    if (path == "/v1/jobs") {
        return showJobs(leader);
    }
    if (path.starts_with("/v1/jobs/")) {
        const auto job = parseCount(path.substr(9));
        const std::string text =
                failed(job) ? "" : describeJob(leader.shared.machine.state(), valueOf(job));
        if (!text.empty()) {
            return {200, {{"Content-Type", "application/json"}}, text};
        }
    }
    return errorResponse(404, "no such page");
}

asio::awaitable<http_response> handleChange(leader_handle leader, http_request request)
{
    const std::string path = pathOf(request.target);
    if (request.method == "DELETE" && path.starts_with("/v1/jobs/")) {
        const auto job = parseCount(path.substr(9));
        if (failed(job)) {
            co_return errorResponse(404, "no such job");
        }
        const cancel_job_command change{valueOf(job), currentWallTimeMs(*leader)};
        co_return commandResponse(co_await proposeCommand(leader->shared.consensus, change));
    }
    const change_fields fields = parseChange(request.body);
    if (request.method != "PUT") {
        co_return errorResponse(405, "use GET, PUT or DELETE");
    }
    if (!fields.valid) {
        co_return errorResponse(400, "the body must be JSON with expected_version");
    }
    if (path == "/v1/tables/routes" || path == "/v1/tables/pools") {
        const put_table_command change{path.ends_with("routes") ? table_kind::routes
                                                                : table_kind::pools,
                                       fields.expectedVersion, fields.text, fields.changeId};
        co_return commandResponse(co_await proposeCommand(leader->shared.consensus, change));
    }
    if (path.starts_with("/v1/domains/") && path.size() > 12) {
        const set_domain_command change{path.substr(12), fields.inService, fields.expectedVersion,
                                        fields.changeId};
        co_return commandResponse(co_await proposeCommand(leader->shared.consensus, change));
    }
    co_return errorResponse(404, "no such page");
}

} // namespace

std::string describeJob(const cluster_state &state, std::uint64_t job)
{
    const job_record *record = findJob(state, job);
    if (record == nullptr) {
        return "";
    }
    static constexpr const char *phases[] = {"pending", "placed", "finished", "failed",
                                             "cancelled"};
    json::array tasks;
    for (std::uint32_t number = 0; number < std::min(record->spec.taskCount, maximumTasksShown);
         ++number) {
        const task_record *task = findTask(state, {job, number});
        tasks.push_back(json::object{{"task", toText(task_id{job, number})},
                                     {"phase", phases[static_cast<int>(task->phase)]},
                                     {"worker", task->worker},
                                     {"epoch", task->epoch},
                                     {"evictions", task->evictions},
                                     {"lost_ms", task->lostMs},
                                     {"outcome", task->outcome}});
    }
    return json::serialize(json::object{{"job", job},
                                        {"phase", jobPhase(*record)},
                                        {"route", record->spec.route},
                                        {"team", record->spec.team},
                                        {"tasks", record->spec.taskCount},
                                        {"finished", record->finishedTasks},
                                        {"failed", record->failedTasks},
                                        {"cancelled", record->cancelledTasks},
                                        {"runs", std::move(tasks)}})
           + "\n";
}

asio::awaitable<http_response> handleAdminRequest(control_context &context, leader_handle leader,
                                                  std::string token, http_request request)
{
    const std::string path = pathOf(request.target);
    if (!tokenMatches(request, token)) {
        ++context.metricsRegistry.at("mango_admin_unauthorised_total");
        co_return errorResponse(401, "a bearer token is needed");
    }
    if (path == "/metrics") {
        co_return http_response{200,
                                {{"Content-Type", "text/plain; version=0.0.4"}},
                                context.metricsRegistry.text()};
    }
    if (!leader || !isCurrentLeader(*leader)) {
        http_response response = errorResponse(503, "not the leader");
        const host_address address = context.consensus.leaderAddress();
        if (address.port != 0) {
            response.headers.emplace_back("Mango-Leader", toText(address));
        }
        co_return response;
    }
    if (request.method == "GET") {
        co_return handleQuery(*leader, path);
    }
    co_return co_await handleChange(leader, std::move(request));
}

} // namespace mango
