#pragma once

#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "Common/random_source.h"
#include "Http/http_client.h"

namespace mango {

// How to reach the control processes, and how to print their responses.
struct operator_options
{
    // Administration addresses of the control processes.
    std::vector<host_address> control;
    // Bearer token that authenticates the operator.
    std::string token;
    // Certificate that the control processes' certificates are verified against; empty without TLS.
    std::string certificateAuthorityFile;
    // Print response bodies as received instead of as tables.
    bool json = false;
    // How long a command waits for a leader, and then for its change to be in force on all entries.
    std::chrono::milliseconds timeout{10'000};
};

// The exit codes of mango_operator. The outcome is unknown if a change may or may not have been
// made.
enum class operator_exit { done = 0, refused = 1, usage = 2, unreachable = 3, unknown = 4 };

// The response of the leader. The status is an HTTP status code, or 0 if no response was received.
struct operator_response
{
    operator_exit exit = operator_exit::unreachable;
    unsigned status = 0;
    std::string body;
};

// Sends a request to the control processes in turn, again and again until the leader responds or
// options.timeout has passed. A change may thus be sent several times, which is safe because
// changes of tables and failure domains carry a change id, and cancelling a job twice has no
// further effect.
boost::asio::awaitable<operator_response> sendToLeader(boost::asio::any_io_executor executor,
                                                       const operator_options &options,
                                                       std::string method, std::string path,
                                                       std::string body);

// Runs one command, for example {"domain", "out", "uppsala"}. Prints results to `output` and
// failures to `errors`. Returns the exit code of the program.
boost::asio::awaitable<operator_exit>
runOperatorCommand(boost::asio::any_io_executor executor, const operator_options &options,
                   random_source &random, std::vector<std::string> arguments, std::ostream &output,
                   std::ostream &errors);

// Returns the help text: all commands, examples and exit codes.
std::string operatorHelp();

} // namespace mango
