#include "Operator/operator_client.h"

#include <algorithm>
#include <iomanip>
#include <ostream>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace mango {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto requestTimeout = std::chrono::milliseconds(3000);
constexpr auto retryPause = std::chrono::milliseconds(100);

operator_exit exitOf(unsigned status)
{
    if (status < 300) {
        return operator_exit::done;
    }
    return status == 504 ? operator_exit::unknown : operator_exit::refused;
}

// A value as a cell of a table.
std::string cellText(const json::value &value)
{
    if (value.is_string()) {
        return std::string(value.as_string());
    }
    if (value.is_bool()) {
        return value.as_bool() ? "yes" : "no";
    }
    return json::serialize(value);
}

void printRows(const json::array &rows, std::ostream &output)
{
    if (rows.empty()) {
        output << "(none)\n";
        return;
    }
    std::vector<std::vector<std::string>> cells;
    std::vector<std::string> heads;
    for (const auto &field : rows.front().as_object()) {
        heads.emplace_back(field.key());
    }
    cells.push_back(heads);
    for (const json::value &row : rows) {
        std::vector<std::string> line;
        for (const auto &field : row.as_object()) {
            line.push_back(cellText(field.value()));
        }
        cells.push_back(line);
    }
    std::vector<std::size_t> widths(heads.size(), 0);
    for (const auto &line : cells) {
        for (std::size_t column = 0; column < std::min(line.size(), widths.size()); ++column) {
            widths[column] = std::max(widths[column], line[column].size());
        }
    }
    for (const auto &line : cells) {
        for (std::size_t column = 0; column < std::min(line.size(), widths.size()); ++column) {
            output << std::left << std::setw(static_cast<int>(widths[column] + 2)) << line[column];
        }
        output << "\n";
    }
}

void printValue(const json::value &value, std::ostream &output)
{
    if (value.is_array() && !value.as_array().empty() && value.as_array().front().is_object()) {
        printRows(value.as_array(), output);
        return;
    }
    if (!value.is_object()) {
        output << cellText(value) << "\n";
        return;
    }
    for (const auto &field : value.as_object()) {
        if (field.value().is_array() && !field.value().as_array().empty()
            && field.value().as_array().front().is_object()) {
            output << field.key() << ":\n";
            printRows(field.value().as_array(), output);
        } else {
            output << field.key() << ": " << cellText(field.value()) << "\n";
        }
    }
}

void printAnswer(const operator_options &options, const operator_answer &answer,
                 std::ostream &output, std::ostream &errors)
{
    if (answer.exit == operator_exit::unreachable) {
        errors << "mango_operator: no control process that leads answered\n";
        return;
    }
    std::ostream &target = answer.exit == operator_exit::done ? output : errors;
    boost::system::error_code error;
    const json::value value = json::parse(answer.body, error);
    if (options.json || error) {
        target << answer.body;
        return;
    }
    printValue(value, target);
}

std::uint64_t versionIn(const json::value &value)
{
    boost::system::error_code error;
    const json::object *object = value.if_object();
    const json::value *version = object == nullptr ? nullptr : object->if_contains("version");
    return version == nullptr ? 0 : version->to_number<std::uint64_t>(error);
}

json::value parsed(const std::string &text)
{
    boost::system::error_code error;
    return json::parse(text, error);
}

asio::awaitable<std::uint64_t> currentDomainVersion(asio::any_io_executor executor,
                                                    const operator_options &options,
                                                    std::string domain)
{
    const auto shown = co_await askLeader(executor, options, "GET", "/v1/domains", "");
    const json::value rows = parsed(shown.body);
    if (!rows.is_array()) {
        co_return 0;
    }
    for (const json::value &row : rows.as_array()) {
        if (row.is_object() && row.as_object().contains("domain")
            && row.as_object().at("domain") == json::string(domain)) {
            co_return versionIn(row);
        }
    }
    co_return 0;
}

// Waits until every entry has the configuration in force.
asio::awaitable<bool> awaitInForce(asio::any_io_executor executor, const operator_options &options)
{
    const auto limit = std::chrono::steady_clock::now() + options.patience;
    asio::steady_timer pause(executor);
    while (std::chrono::steady_clock::now() < limit) {
        const auto shown = co_await askLeader(executor, options, "GET", "/v1/status", "");
        const json::value status = parsed(shown.body);
        if (status.is_object() && status.as_object().contains("config")
            && status.as_object().at("config").as_object().at("in_force").as_bool()) {
            co_return true;
        }
        pause.expires_after(retryPause);
        co_await pause.async_wait(asio::use_awaitable);
    }
    co_return false;
}

asio::awaitable<operator_exit> change(asio::any_io_executor executor,
                                      const operator_options &options, std::string path,
                                      json::object body, std::ostream &output, std::ostream &errors)
{
    const auto answer = co_await askLeader(executor, options, "PUT", path, json::serialize(body));
    printAnswer(options, answer, output, errors);
    if (answer.exit == operator_exit::done) {
        const bool inForce = co_await awaitInForce(executor, options);
        (inForce ? output : errors)
                << (inForce ? "in force everywhere\n" : "accepted, not in force everywhere yet\n");
    }
    co_return answer.exit;
}

asio::awaitable<operator_exit> putTable(asio::any_io_executor executor,
                                        const operator_options &options, random_source &random,
                                        std::vector<std::string> words, std::ostream &output,
                                        std::ostream &errors)
{
    const auto text = readTextFile(words[2]);
    if (failed(text)) {
        errors << "mango_operator: " << describe(failureOf(text)) << "\n";
        co_return operator_exit::usage;
    }
    const std::string path = "/v1/tables/" + words[0];
    std::uint64_t expected = 0;
    if (words.size() > 3) {
        const auto given = parseCount(words[3]);
        expected = failed(given) ? 0 : valueOf(given);
    } else {
        const auto shown = co_await askLeader(executor, options, "GET", path, "");
        if (shown.exit != operator_exit::done) {
            printAnswer(options, shown, output, errors);
            co_return shown.exit;
        }
        expected = versionIn(parsed(shown.body));
    }
    const json::object body{{"expected_version", expected},
                            {"change_id", randomIdentifier(random)},
                            {"text", valueOf(text)}};
    co_return co_await change(executor, options, path, body, output, errors);
}

asio::awaitable<operator_exit> setDomain(asio::any_io_executor executor,
                                         const operator_options &options, random_source &random,
                                         std::vector<std::string> words, std::ostream &output,
                                         std::ostream &errors)
{
    const std::uint64_t expected = co_await currentDomainVersion(executor, options, words[2]);
    const json::object body{{"expected_version", expected},
                            {"change_id", randomIdentifier(random)},
                            {"in_service", words[1] == "in"}};
    co_return co_await change(executor, options, "/v1/domains/" + words[2], body, output, errors);
}

} // namespace

std::string operatorHelp()
{
    return "Commands:\n"
           "  status                    leader, replicas, entries, configuration in force\n"
           "  workers | domains | jobs  what the system knows of them\n"
           "  job 17 | cancel 17        show or cancel a job\n"
           "  routes show | pools show  print a table\n"
           "  routes put FILE [VERSION] replace a table; fails when its version is another one\n"
           "  pools put FILE [VERSION]\n"
           "  domain out NAME           take a failure domain out of service\n"
           "  domain in NAME            bring it back\n"
           "  counters                  the counters of the first control process\n"
           "Examples:\n"
           "  mango_operator --control 127.0.0.1:7101 --token-file token status\n"
           "  mango_operator --control 127.0.0.1:7101 --token-file token domain out uppsala\n"
           "Exit codes: 0 done, 1 refused, 2 wrong use, 3 not reached, 4 outcome unknown\n";
}

asio::awaitable<operator_answer> askLeader(asio::any_io_executor executor,
                                           const operator_options &options, std::string method,
                                           std::string path, std::string body)
{
    const auto limit = std::chrono::steady_clock::now() + options.patience;
    operator_answer last;
    asio::steady_timer pause(executor);
    while (true) {
        for (const host_address &address : options.control) {
            const auto client =
                    makeHttpClient(executor, {address, options.authorityFile, 16ULL << 20U});
            const http_request request{method,
                                       path,
                                       {{"Authorization", "Bearer " + options.token},
                                        {"Content-Type", "application/json"}},
                                       body,
                                       {}};
            const auto answered = co_await client->exchange(request, requestTimeout);
            if (failed(answered)) {
                continue;
            }
            const http_answer &answer = valueOf(answered);
            if (answer.status != 503 && answer.status != 504) {
                co_return operator_answer{exitOf(answer.status), answer.status, answer.body};
            }
            if (answer.status == 504) {
                last = {operator_exit::unknown, 504, answer.body};
            }
        }
        if (std::chrono::steady_clock::now() >= limit) {
            co_return last;
        }
        pause.expires_after(retryPause);
        co_await pause.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<operator_exit> runOperatorCommand(asio::any_io_executor executor,
                                                  const operator_options &options,
                                                  random_source &random,
                                                  std::vector<std::string> words,
                                                  std::ostream &output, std::ostream &errors)
{
    const std::string verb = words.empty() ? "" : words[0];
    const std::string second = words.size() > 1 ? words[1] : "";
    std::string path;
    std::string method = "GET";
    if (verb == "status" || verb == "workers" || verb == "domains" || verb == "jobs") {
        path = "/v1/" + verb;
    } else if (verb == "counters") {
        path = "/metrics";
    } else if ((verb == "job" || verb == "cancel") && words.size() == 2) {
        path = "/v1/jobs/" + second;
        method = verb == "job" ? "GET" : "DELETE";
    } else if ((verb == "routes" || verb == "pools") && second == "show") {
        path = "/v1/tables/" + verb;
    } else if ((verb == "routes" || verb == "pools") && second == "put" && words.size() > 2) {
        co_return co_await putTable(executor, options, random, words, output, errors);
    } else if (verb == "domain" && (second == "out" || second == "in") && words.size() == 3) {
        co_return co_await setDomain(executor, options, random, words, output, errors);
    } else {
        errors << operatorHelp();
        co_return operator_exit::usage;
    }
    const auto answer = co_await askLeader(executor, options, method, path, "");
    const bool table = second == "show" && !options.json && answer.exit == operator_exit::done;
    if (table) {
        const json::value value = parsed(answer.body);
        output << "# version " << versionIn(value) << "\n"
               << std::string(value.as_object().at("text").as_string());
        co_return answer.exit;
    }
    printAnswer(options, answer, output, errors);
    co_return answer.exit;
}

} // namespace mango
