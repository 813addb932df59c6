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
constexpr auto retryInterval = std::chrono::milliseconds(100);

operator_exit exitCodeOf(unsigned status)
{
    if (status < 300) {
        return operator_exit::done;
    }
    return status == 504 ? operator_exit::unknown : operator_exit::refused;
}

// Formats a value as a table cell.
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
    std::vector<std::string> columnNames;
    for (const auto &field : rows.front().as_object()) {
        columnNames.emplace_back(field.key());
    }
    cells.push_back(columnNames);
    for (const json::value &row : rows) {
        std::vector<std::string> line;
        for (const auto &field : row.as_object()) {
            line.push_back(cellText(field.value()));
        }
        cells.push_back(line);
    }
    std::vector<std::size_t> widths(columnNames.size(), 0);
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

void printResponse(const operator_options &options, const operator_response &response,
                   std::ostream &output, std::ostream &errors)
{
    if (response.exit == operator_exit::unreachable) {
        errors << "mango_operator: no control process responded as the leader\n";
        return;
    }
    std::ostream &target = response.exit == operator_exit::done ? output : errors;
    boost::system::error_code error;
    const json::value value = json::parse(response.body, error);
    if (options.json || error) {
        target << response.body;
        return;
    }
    printValue(value, target);
}

std::uint64_t versionOf(const json::value &value)
{
    boost::system::error_code error;
    const json::object *object = value.if_object();
    const json::value *version = object == nullptr ? nullptr : object->if_contains("version");
    return version == nullptr ? 0 : version->to_number<std::uint64_t>(error);
}

json::value parseBody(const std::string &text)
{
    boost::system::error_code error;
    return json::parse(text, error);
}

asio::awaitable<std::uint64_t> currentDomainVersion(asio::any_io_executor executor,
                                                    const operator_options &options,
                                                    std::string domain)
{
    const auto response = co_await sendToLeader(executor, options, "GET", "/v1/domains", "");
    const json::value rows = parseBody(response.body);
    if (!rows.is_array()) {
        co_return 0;
    }
    for (const json::value &row : rows.as_array()) {
        if (row.is_object() && row.as_object().contains("domain")
            && row.as_object().at("domain") == json::string(domain)) {
            co_return versionOf(row);
        }
    }
    co_return 0;
}

// Waits until the configuration is in force on every entry. Returns false if options.timeout passes
// first.
asio::awaitable<bool> waitUntilInForce(asio::any_io_executor executor,
                                       const operator_options &options)
{
    const auto deadline = std::chrono::steady_clock::now() + options.timeout;
    asio::steady_timer timer(executor);
    while (std::chrono::steady_clock::now() < deadline) {
        const auto response = co_await sendToLeader(executor, options, "GET", "/v1/status", "");
        const json::value status = parseBody(response.body);
        if (status.is_object() && status.as_object().contains("config")
            && status.as_object().at("config").as_object().at("in_force").as_bool()) {
            co_return true;
        }
        timer.expires_after(retryInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return false;
}

// Sends a change to the leader and waits until it is in force.
asio::awaitable<operator_exit> applyChange(asio::any_io_executor executor,
                                           const operator_options &options, std::string path,
                                           json::object body, std::ostream &output,
                                           std::ostream &errors)
{
    const auto response =
            co_await sendToLeader(executor, options, "PUT", path, json::serialize(body));
    printResponse(options, response, output, errors);
    if (response.exit == operator_exit::done) {
        const bool inForce = co_await waitUntilInForce(executor, options);
        (inForce ? output : errors)
                << (inForce ? "in force on all entries\n"
                            : "accepted, but not yet in force on all entries\n");
    }
    co_return response.exit;
}

asio::awaitable<operator_exit> putTable(asio::any_io_executor executor,
                                        const operator_options &options, random_source &random,
                                        std::vector<std::string> arguments, std::ostream &output,
                                        std::ostream &errors)
{
    const auto text = readTextFile(arguments[2]);
    if (failed(text)) {
        errors << "mango_operator: " << describe(failureOf(text)) << "\n";
        co_return operator_exit::usage;
    }
    const std::string path = "/v1/tables/" + arguments[0];
    std::uint64_t expected = 0;
    if (arguments.size() > 3) {
        const auto version = parseCount(arguments[3]);
        expected = failed(version) ? 0 : valueOf(version);
    } else {
        const auto response = co_await sendToLeader(executor, options, "GET", path, "");
        if (response.exit != operator_exit::done) {
            printResponse(options, response, output, errors);
            co_return response.exit;
        }
        expected = versionOf(parseBody(response.body));
    }
    const json::object body{{"expected_version", expected},
                            {"change_id", randomIdentifier(random)},
                            {"text", valueOf(text)}};
    co_return co_await applyChange(executor, options, path, body, output, errors);
}

asio::awaitable<operator_exit> setDomain(asio::any_io_executor executor,
                                         const operator_options &options, random_source &random,
                                         std::vector<std::string> arguments, std::ostream &output,
                                         std::ostream &errors)
{
    const std::uint64_t expected = co_await currentDomainVersion(executor, options, arguments[2]);
    const json::object body{{"expected_version", expected},
                            {"change_id", randomIdentifier(random)},
                            {"in_service", arguments[1] == "in"}};
    co_return co_await applyChange(executor, options, "/v1/domains/" + arguments[2], body, output,
                                   errors);
}

} // namespace

std::string operatorHelp()
{
    return "Commands:\n"
           "  status                    leader, replicas, entries, configuration in force\n"
           "  workers | domains | jobs  list the workers, failure domains or jobs\n"
           "  job 17 | cancel 17        show or cancel a job\n"
           "  routes show | pools show  print a table\n"
           "  routes put FILE [VERSION] replace a table, provided that its version is VERSION\n"
           "  pools put FILE [VERSION]\n"
           "  domain out NAME           take a failure domain out of service\n"
           "  domain in NAME            put it back in service\n"
           "  counters                  the counters of the first control process\n"
           "Examples:\n"
           "  mango_operator --control 127.0.0.1:7101 --token-file token status\n"
           "  mango_operator --control 127.0.0.1:7101 --token-file token domain out uppsala\n"
           "Exit codes: 0 done, 1 refused, 2 usage error, 3 no leader reached, 4 outcome unknown\n";
}

asio::awaitable<operator_response> sendToLeader(asio::any_io_executor executor,
                                                const operator_options &options, std::string method,
                                                std::string path, std::string body)
{
    const auto deadline = std::chrono::steady_clock::now() + options.timeout;
    operator_response last;
    asio::steady_timer timer(executor);
    while (true) {
        for (const host_address &address : options.control) {
            const auto client = makeHttpClient(
                    executor, {address, options.certificateAuthorityFile, 16ULL << 20U});
            const http_request request{method,
                                       path,
                                       {{"Authorization", "Bearer " + options.token},
                                        {"Content-Type", "application/json"}},
                                       body,
                                       {}};
            const auto received = co_await client->exchange(request, requestTimeout);
            if (failed(received)) {
                continue;
            }
            const http_response &response = valueOf(received);
            // 503: the process is not the leader. 504: a change may or may not have been made.
            if (response.status != 503 && response.status != 504) {
                co_return operator_response{exitCodeOf(response.status), response.status,
                                            response.body};
            }
            if (response.status == 504) {
                last = {operator_exit::unknown, 504, response.body};
            }
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            co_return last;
        }
        timer.expires_after(retryInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<operator_exit> runOperatorCommand(asio::any_io_executor executor,
                                                  const operator_options &options,
                                                  random_source &random,
                                                  std::vector<std::string> arguments,
                                                  std::ostream &output, std::ostream &errors)
{
    const std::string commandName = arguments.empty() ? "" : arguments[0];
    const std::string operand = arguments.size() > 1 ? arguments[1] : "";
    std::string path;
    std::string method = "GET";
    if (commandName == "status" || commandName == "workers" || commandName == "domains"
        || commandName == "jobs") {
        path = "/v1/" + commandName;
    } else if (commandName == "counters") {
        path = "/metrics";
    } else if ((commandName == "job" || commandName == "cancel") && arguments.size() == 2) {
        path = "/v1/jobs/" + operand;
        method = commandName == "job" ? "GET" : "DELETE";
    } else if ((commandName == "routes" || commandName == "pools") && operand == "show") {
        path = "/v1/tables/" + commandName;
    } else if ((commandName == "routes" || commandName == "pools") && operand == "put"
               && arguments.size() > 2) {
        co_return co_await putTable(executor, options, random, arguments, output, errors);
    } else if (commandName == "domain" && (operand == "out" || operand == "in")
               && arguments.size() == 3) {
        co_return co_await setDomain(executor, options, random, arguments, output, errors);
    } else {
        errors << operatorHelp();
        co_return operator_exit::usage;
    }
    const auto response = co_await sendToLeader(executor, options, method, path, "");
    const bool isTable = operand == "show" && !options.json && response.exit == operator_exit::done;
    if (isTable) {
        const json::value value = parseBody(response.body);
        output << "# version " << versionOf(value) << "\n"
               << std::string(value.as_object().at("text").as_string());
        co_return response.exit;
    }
    printResponse(options, response, output, errors);
    co_return response.exit;
}

} // namespace mango
