#include "Control/worker_protocol.h"

#include <algorithm>

#include <boost/json.hpp>

namespace mango {

namespace json = boost::json;

namespace {

constexpr const char *requestKindNames[] = {"start", "stop", "throttle", "forget"};
constexpr const char *runStateNames[] = {"running", "stopped", "finished", "failed", "unknown"};
constexpr double maximumNumber = 1e6;

// Reads typed fields of a JSON object and keeps the name of the first field that is wrong.
class field_reader
{
public:
    explicit field_reader(const json::object &object)
        : m_object(object)
    {}

    std::string text(const char *name)
    {
        const json::value *value = m_object.if_contains(name);
        if (value == nullptr) {
            return "";
        }
        if (!value->is_string()) {
            reject(name);
            return "";
        }
        return std::string(value->as_string());
    }

    std::string requiredText(const char *name)
    {
        std::string value = text(name);
        if (value.empty()) {
            reject(name);
        }
        return value;
    }

    std::uint64_t count(const char *name)
    {
        const json::value *value = m_object.if_contains(name);
        if (value == nullptr) {
            return 0;
        }
        boost::system::error_code error;
        const auto number = value->to_number<std::uint64_t>(error);
        if (error) {
            reject(name);
        }
        return error ? 0 : number;
    }

    std::uint32_t count32(const char *name)
    {
        const std::uint64_t value = count(name);
        if (value > UINT32_MAX) {
            reject(name);
            return 0;
        }
        return static_cast<std::uint32_t>(value);
    }

    double number(const char *name, double fallback)
    {
        const json::value *value = m_object.if_contains(name);
        if (value == nullptr) {
            return fallback;
        }
        boost::system::error_code error;
        const double read = value->to_number<double>(error);
        if (error || !(read >= 0 && read <= maximumNumber)) {
            reject(name);
            return fallback;
        }
        return read;
    }

    bool flag(const char *name)
    {
        const json::value *value = m_object.if_contains(name);
        if (value != nullptr && !value->is_bool()) {
            reject(name);
        }
        return value != nullptr && value->is_bool() && value->as_bool();
    }

    const json::array &list(const char *name)
    {
        static const json::array none;
        const json::value *value = m_object.if_contains(name);
        if (value == nullptr) {
            return none;
        }
        if (!value->is_array()) {
            reject(name);
            return none;
        }
        return value->as_array();
    }

    task_id task()
    {
        const task_id id = parseTaskId(text("task"));
        if (id.job == 0) {
            reject("task");
        }
        return id;
    }

    template<std::size_t Size>
    std::size_t enumIndex(const char *name, const char *const (&names)[Size])
    {
        const std::string value = text(name);
        for (std::size_t at = 0; at < Size; ++at) {
            if (value == names[at]) {
                return at;
            }
        }
        reject(name);
        return 0;
    }

    void reject(const char *name)
    {
        if (m_failure.empty()) {
            m_failure = name;
        }
    }

    [[nodiscard]] const std::string &failure() const
    {
        return m_failure;
    }

private:
    const json::object &m_object;
    std::string m_failure;
};

// Parses the text as a JSON object and converts it with `read`.
template<class Value, class Reader>
result<Value, protocol_failure> decodeObject(const std::string &text, Reader read)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(text, error);
    if (error || !parsed.is_object()) {
        return protocol_failure{"(the whole message)"};
    }
    field_reader fields(parsed.as_object());
    Value value = read(fields);
    if (!fields.failure().empty()) {
        return protocol_failure{fields.failure()};
    }
    return value;
}

// Converts each object of a list with `read`; a wrong field in any of them is a failure of `outer`.
template<class Value, class Reader>
std::vector<Value> readObjects(field_reader &outer, const char *name, Reader read)
{
    std::vector<Value> values;
    for (const json::value &item : outer.list(name)) {
        if (!item.is_object()) {
            outer.reject(name);
            return values;
        }
        field_reader fields(item.as_object());
        values.push_back(read(fields));
        if (!fields.failure().empty()) {
            outer.reject(fields.failure().c_str());
        }
    }
    return values;
}

task_size readTaskSize(field_reader &fields)
{
    task_size size;
    size.cores = fields.number("cores", 0);
    size.memoryBytes = fields.count("memory_bytes");
    size.accelerators = fields.count32("accelerators");
    size.slots = fields.count32("slots");
    return size;
}

run_request readRunRequest(field_reader &fields)
{
    run_request request;
    request.kind = static_cast<run_request_kind>(fields.enumIndex("order", requestKindNames));
    request.task = fields.task();
    request.epoch = fields.count("epoch");
    request.size = readTaskSize(fields);
    request.runTimeMs = fields.count("run_time_ms");
    request.payload = fields.text("payload");
    request.checkpoint = fields.text("checkpoint");
    request.withCheckpoint = fields.flag("with_checkpoint");
    request.share = std::clamp(fields.number("share", 1), 0.0, 1.0);
    return request;
}

json::object writeRunRequest(const run_request &request)
{
    json::object item;
    item["order"] = requestKindNames[static_cast<int>(request.kind)];
    item["task"] = toText(request.task);
    item["epoch"] = request.epoch;
    if (request.kind == run_request_kind::start) {
        item["cores"] = request.size.cores;
        item["memory_bytes"] = request.size.memoryBytes;
        item["accelerators"] = request.size.accelerators;
        item["slots"] = request.size.slots;
        item["run_time_ms"] = request.runTimeMs;
        item["payload"] = request.payload;
        item["checkpoint"] = request.checkpoint;
    }
    if (request.kind == run_request_kind::stop) {
        item["with_checkpoint"] = request.withCheckpoint;
    }
    if (request.kind == run_request_kind::throttle) {
        item["share"] = request.share;
    }
    return item;
}

run_status readRunStatus(field_reader &fields)
{
    run_status status;
    status.task = fields.task();
    status.epoch = fields.count("epoch");
    status.state = static_cast<run_state>(fields.enumIndex("state", runStateNames));
    status.checkpoint = fields.text("checkpoint");
    status.progressMs = fields.count("progress_ms");
    status.lostMs = fields.count("lost_ms");
    status.cores = fields.number("cores", 0);
    status.memoryBytes = fields.count("memory_bytes");
    status.share = fields.number("share", 1);
    status.outcome = fields.text("outcome");
    return status;
}

json::object writeRunStatus(const run_status &status)
{
    json::object item;
    item["task"] = toText(status.task);
    item["epoch"] = status.epoch;
    item["state"] = runStateNames[static_cast<int>(status.state)];
    item["checkpoint"] = status.checkpoint;
    item["progress_ms"] = status.progressMs;
    item["lost_ms"] = status.lostMs;
    item["cores"] = status.cores;
    item["memory_bytes"] = status.memoryBytes;
    item["share"] = status.share;
    item["outcome"] = status.outcome;
    return item;
}

session_list readSessions(field_reader &fields)
{
    session_list list;
    list.version = fields.count("sessions_version");
    for (const json::value &item : fields.list("sessions")) {
        boost::system::error_code error;
        list.sessions.push_back(item.to_number<std::uint64_t>(error));
        if (error) {
            fields.reject("sessions");
        }
    }
    return list;
}

void writeSessions(json::object &object, const session_list &list)
{
    object["sessions_version"] = list.version;
    object["sessions"] = json::value_from(list.sessions);
}

} // namespace

std::string encodePoll(const agent_poll &poll)
{
    json::object object;
    object["term"] = poll.term;
    object["nonce"] = poll.nonce;
    object["lease_ms"] = poll.leaseMs;
    object["valid_for_ms"] = poll.validForMs;
    object["complete"] = poll.complete;
    if (poll.sessions) {
        writeSessions(object, *poll.sessions);
    }
    json::array requests;
    for (const run_request &request : poll.requests) {
        requests.push_back(writeRunRequest(request));
    }
    object["orders"] = std::move(requests);
    return json::serialize(object);
}

result<agent_poll, protocol_failure> decodePoll(const std::string &text)
{
    return decodeObject<agent_poll>(text, [](field_reader &fields) {
        agent_poll poll;
        poll.term = fields.count("term");
        poll.nonce = fields.text("nonce");
        poll.leaseMs = fields.count("lease_ms");
        poll.validForMs = fields.count("valid_for_ms");
        poll.complete = fields.flag("complete");
        const session_list sessions = readSessions(fields);
        if (sessions.version != 0) {
            poll.sessions = sessions;
        }
        poll.requests = readObjects<run_request>(fields, "orders", readRunRequest);
        return poll;
    });
}

std::string encodeReply(const agent_reply &reply)
{
    json::object object;
    object["incarnation"] = reply.incarnation;
    object["nonce"] = reply.nonce;
    object["leaving"] = reply.leaving;
    object["complete"] = reply.complete;
    writeSessions(object, reply.sessions);
    json::array requests;
    for (const auto &[session, running] : reply.requests) {
        requests.push_back(json::object{{"session", session}, {"running", running}});
    }
    object["requests"] = std::move(requests);
    json::array tasks;
    for (const run_status &status : reply.runs) {
        tasks.push_back(writeRunStatus(status));
    }
    object["tasks"] = std::move(tasks);
    return json::serialize(object);
}

result<agent_reply, protocol_failure> decodeReply(const std::string &text)
{
    return decodeObject<agent_reply>(text, [](field_reader &fields) {
        agent_reply reply;
        reply.incarnation = fields.requiredText("incarnation");
        reply.nonce = fields.requiredText("nonce");
        reply.leaving = fields.flag("leaving");
        reply.complete = fields.flag("complete");
        reply.sessions = readSessions(fields);
        using running_requests = std::pair<std::uint64_t, std::uint32_t>;
        const auto requests =
                readObjects<running_requests>(fields, "requests", [](field_reader &item) {
                    return running_requests{item.count("session"), item.count32("running")};
                });
        reply.requests.insert(requests.begin(), requests.end());
        reply.runs = readObjects<run_status>(fields, "tasks", readRunStatus);
        return reply;
    });
}

std::string encodeAnnouncement(const worker_announcement &announcement)
{
    json::object object;
    object["name"] = announcement.name;
    object["incarnation"] = announcement.incarnation;
    object["failure_domain"] = announcement.failureDomain;
    object["rack"] = announcement.rack;
    object["address"] = toText(announcement.address);
    object["cores"] = announcement.cores;
    object["memory_bytes"] = announcement.memoryBytes;
    object["accelerators"] = announcement.accelerators;
    object["slots"] = announcement.slots;
    object["connections"] = announcement.connections;
    object["leaving"] = announcement.leaving;
    object["ended_runs"] = announcement.endedRuns;
    return json::serialize(object);
}

result<worker_announcement, protocol_failure> decodeAnnouncement(const std::string &text)
{
    return decodeObject<worker_announcement>(text, [](field_reader &fields) {
        worker_announcement announcement;
        announcement.name = fields.requiredText("name");
        announcement.incarnation = fields.requiredText("incarnation");
        announcement.failureDomain = fields.requiredText("failure_domain");
        announcement.rack = fields.text("rack");
        const auto address = parseAddress(fields.requiredText("address"));
        if (failed(address)) {
            fields.reject("address");
        } else {
            announcement.address = valueOf(address);
        }
        announcement.cores = fields.number("cores", 0);
        announcement.memoryBytes = fields.count("memory_bytes");
        announcement.accelerators = fields.count32("accelerators");
        announcement.slots = fields.count32("slots");
        announcement.connections = fields.count32("connections");
        announcement.leaving = fields.flag("leaving");
        announcement.endedRuns = fields.count("ended_runs");
        return announcement;
    });
}

} // namespace mango
