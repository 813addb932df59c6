#include "State/tables.h"

#include <algorithm>

namespace mango {

namespace {

constexpr std::uint64_t maximumTasksPerJob = 10'000;
constexpr auto maximumRequestDeadline = std::chrono::minutes(10);

template<class Value>
Value readChoice(settings_reader &reader, const std::string &key, Value fallback,
                 const std::map<std::string, Value> &choices)
{
    const std::string text = reader.text(key, "");
    if (text.empty()) {
        return fallback;
    }
    const auto found = choices.find(text);
    if (found == choices.end()) {
        std::string allowed;
        for (const auto &[name, value] : choices) {
            allowed += (allowed.empty() ? "" : ", ") + name;
        }
        reader.reject(key, "'" + text + "' is none of " + allowed);
        return fallback;
    }
    return found->second;
}

task_size readSize(settings_reader &reader, const std::string &prefix)
{
    task_size size;
    size.cores = reader.number(prefix + "cores", size.cores);
    size.memoryBytes = reader.bytes(prefix + "memory", size.memoryBytes);
    size.accelerators =
            static_cast<std::uint32_t>(reader.count(prefix + "accelerators", size.accelerators));
    size.slots = static_cast<std::uint32_t>(reader.count(prefix + "slots", size.slots));
    return size;
}

route readRoute(const ini_section &section, settings_reader &reader)
{
    static const std::map<std::string, priority_class> priorityClasses = {
            {"low", priority_class::low},
            {"normal", priority_class::normal},
            {"urgent", priority_class::urgent}};
    static const std::map<std::string, route_kind> kinds = {{"request", route_kind::request},
                                                            {"batch", route_kind::batch}};
    route row;
    row.name = section.name;
    row.pathPrefix = reader.requiredText("path");
    row.method = reader.text("method", "");
    row.pool = reader.requiredText("pool");
    row.team = reader.text("team", "default");
    row.kind = readChoice(reader, "kind", row.kind, kinds);
    row.priority = readChoice(reader, "urgency", row.priority, priorityClasses);
    row.idempotent = reader.flag("idempotent", row.method == "GET");
    row.hedged = reader.flag("hedged", false);
    row.deadline = reader.duration("deadline", row.deadline);
    row.size = readSize(reader, "");
    row.taskCount = static_cast<std::uint32_t>(reader.count("tasks", 1));
    row.evictionBudget = static_cast<std::uint32_t>(reader.count("eviction_budget", 3));
    if (row.pathPrefix.empty() || row.pathPrefix.front() != '/') {
        reader.reject("path", "must begin with /");
    }
    if (row.deadline.count() == 0 || row.deadline > maximumRequestDeadline) {
        reader.reject("deadline", "must be from 1ms to 10m");
    }
    if (row.hedged && !row.idempotent) {
        reader.reject("hedged", "only an idempotent route may be hedged");
    }
    if (row.taskCount == 0 || row.taskCount > maximumTasksPerJob) {
        reader.reject("tasks", "must be from 1 to 10000");
    }
    return row;
}

pool readPool(const ini_section &section, settings_reader &reader)
{
    static const std::map<std::string, pool_weighting> weightings = {
            {"tail", pool_weighting::tailLatency}, {"batch", pool_weighting::batchThroughput}};
    pool row;
    row.name = section.name;
    row.workers = splitList(reader.text("workers", ""));
    row.requestSize = readSize(reader, "request_");
    row.reservedSlots = static_cast<std::uint32_t>(reader.count("reserved_slots", 1));
    row.weighting = readChoice(reader, "weighting", row.weighting, weightings);
    for (const std::string &quota : splitList(reader.text("quotas", ""))) {
        const auto colon = quota.find(':');
        const auto cores = parseNumber(colon == std::string::npos ? "" : quota.substr(colon + 1));
        if (failed(cores)) {
            reader.reject("quotas", "'" + quota + "' is not team:cores");
            continue;
        }
        row.quotaCores[quota.substr(0, colon)] = valueOf(cores);
    }
    return row;
}

template<class Row, class Reader>
result<std::vector<Row>, settings_failure> parseTable(const std::string &text,
                                                      const std::string &file, Reader readRow)
{
    const auto sections = parseIni(text, file);
    if (failed(sections)) {
        return failureOf(sections);
    }
    std::vector<Row> table;
    for (const ini_section &section : valueOf(sections)) {
        settings_reader reader(section, file);
        table.push_back(readRow(section, reader));
        const auto finished = reader.finish();
        if (failed(finished)) {
            return failureOf(finished);
        }
    }
    return table;
}

} // namespace

result<routes, settings_failure> parseRoutes(const std::string &text)
{
    return parseTable<route>(text, "routes", readRoute);
}

result<pools, settings_failure> parsePools(const std::string &text)
{
    return parseTable<pool>(text, "pools", readPool);
}

const route *matchRoute(const routes &table, const std::string &method, const std::string &path)
{
    const route *best = nullptr;
    for (const route &row : table) {
        const bool methodMatches = row.method.empty() || row.method == method;
        const bool longer = best == nullptr || row.pathPrefix.size() > best->pathPrefix.size();
        if (methodMatches && longer && path.starts_with(row.pathPrefix)) {
            best = &row;
        }
    }
    return best;
}

const pool *findPool(const pools &table, const std::string &name)
{
    const auto found = std::find_if(table.begin(), table.end(), [&](const pool &row) {
        return row.name == name;
    });
    return found == table.end() ? nullptr : &*found;
}

bool poolIncludes(const pool &row, const std::string &worker)
{
    return std::any_of(row.workers.begin(), row.workers.end(), [&](const std::string &listed) {
        if (listed.ends_with('*')) {
            return worker.starts_with(std::string_view(listed).substr(0, listed.size() - 1));
        }
        return listed == worker;
    });
}

} // namespace mango
