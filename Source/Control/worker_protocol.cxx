#include "Control/worker_protocol.h"

#include <algorithm>

#include <boost/json.hpp>

namespace mango {

namespace json = boost::json;

namespace {

constexpr const char *orderNames[] = {"start", "stop", "throttle", "forget"};
constexpr const char *stateNames[] = {"running", "stopped", "finished", "failed", "unknown"};
constexpr double maximumCores = 1e6;

// Reads typed fields of a JSON object; the first field that is wrong is remembered.
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

    std::uint32_t smallCount(const char *name)
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
        if (error || !(read >= 0 && read <= maximumCores)) {
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
    std::size_t choice(const char *name, const char *const (&names)[Size])
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

// Parses the text as an object and reads it with the function.
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

// Reads each object of a list with the function; a failure inside rejects the list.
template<class Value, class Reader>
std::vector<Value> readList(field_reader &outer, const char *name, Reader read)
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

task_size readSize(field_reader &fields)
{
    task_size size;
    size.cores = fields.number("cores", 0);
    size.memoryBytes = fields.count("memory_bytes");
    size.accelerators = fields.smallCount("accelerators");
    size.slots = fields.smallCount("slots");
    return size;
}

run_request readOrder(field_reader &fields)
{
    run_request order;
    order.kind = static_cast<run_request_kind>(fields.choice("order", orderNames));
    order.task = fields.task();
    order.epoch = fields.count("epoch");
    order.size = readSize(fields);
    order.runTimeMs = fields.count("run_time_ms");
    order.payload = fields.text("payload");
    order.checkpoint = fields.text("checkpoint");
    order.withCheckpoint = fields.flag("with_checkpoint");
    order.share = std::clamp(fields.number("share", 1), 0.0, 1.0);
    return order;
}

json::object writeOrder(const run_request &order)
{
    json::object item;
    item["order"] = orderNames[static_cast<int>(order.kind)];
    item["task"] = toText(order.task);
    item["epoch"] = order.epoch;
    if (order.kind == run_request_kind::start) {
        item["cores"] = order.size.cores;
        item["memory_bytes"] = order.size.memoryBytes;
        item["accelerators"] = order.size.accelerators;
        item["slots"] = order.size.slots;
        item["run_time_ms"] = order.runTimeMs;
        item["payload"] = order.payload;
        item["checkpoint"] = order.checkpoint;
    }
    if (order.kind == run_request_kind::stop) {
        item["with_checkpoint"] = order.withCheckpoint;
    }
    if (order.kind == run_request_kind::throttle) {
        item["share"] = order.share;
    }
    return item;
}

run_status readStatus(field_reader &fields)
{
    run_status status;
    status.task = fields.task();
    status.epoch = fields.count("epoch");
    status.state = static_cast<run_state>(fields.choice("state", stateNames));
    status.checkpoint = fields.text("checkpoint");
    status.progressMs = fields.count("progress_ms");
    status.lostMs = fields.count("lost_ms");
    status.cores = fields.number("cores", 0);
    status.memoryBytes = fields.count("memory_bytes");
    status.share = fields.number("share", 1);
    status.outcome = fields.text("outcome");
    return status;
}

json::object writeStatus(const run_status &status)
{
    json::object item;
    item["task"] = toText(status.task);
    item["epoch"] = status.epoch;
    item["state"] = stateNames[static_cast<int>(status.state)];
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
    json::array orders;
    for (const run_request &order : poll.requests) {
        orders.push_back(writeOrder(order));
    }
    object["orders"] = std::move(orders);
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
        poll.requests = readList<run_request>(fields, "orders", readOrder);
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
        tasks.push_back(writeStatus(status));
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
                readList<running_requests>(fields, "requests", [](field_reader &item) {
                    return running_requests{item.count("session"), item.smallCount("running")};
                });
        reply.requests.insert(requests.begin(), requests.end());
        reply.runs = readList<run_status>(fields, "tasks", readStatus);
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
        announcement.accelerators = fields.smallCount("accelerators");
        announcement.slots = fields.smallCount("slots");
        announcement.connections = fields.smallCount("connections");
        announcement.leaving = fields.flag("leaving");
        announcement.endedRuns = fields.count("ended_runs");
        return announcement;
    });
}

} // namespace mango
