#pragma once

#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "Common/random_source.h"
#include "Http/http_client.h"

namespace mango {

// Where the control processes are and how an operator is known to them.
struct operator_options
{
    std::vector<host_address> control;
    std::string token;
    std::string authorityFile;
    bool json = false;
    std::chrono::milliseconds patience{10'000};
};

// The exit codes of mango_operator.
enum class operator_exit { done = 0, refused = 1, usage = 2, unreachable = 3, unknown = 4 };

// An answer of whichever control process leads.
struct operator_answer
{
    operator_exit exit = operator_exit::unreachable;
    unsigned status = 0;
    std::string body;
};

// Sends a request to each control process in turn until one that leads answers it. A change is
// sent again after a lost answer, which its change id makes safe.
boost::asio::awaitable<operator_answer> askLeader(boost::asio::any_io_executor executor,
                                                  const operator_options &options,
                                                  std::string method, std::string path,
                                                  std::string body);

// Runs one command such as {"domain", "out", "uppsala"}; prints to `output`, failures to `errors`.
boost::asio::awaitable<operator_exit>
runOperatorCommand(boost::asio::any_io_executor executor, const operator_options &options,
                   random_source &random, std::vector<std::string> words, std::ostream &output,
                   std::ostream &errors);

// The commands with an example of each.
std::string operatorHelp();

} // namespace mango
