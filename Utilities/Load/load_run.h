#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "Common/random_source.h"
#include "Http/http_message.h"
#include "Load/latency_report.h"

namespace mango::load {

struct load_options
{
    std::vector<host_address> targets;
    std::string method = "GET";
    std::string path = "/";
    double requestsPerSecond = 100;
    std::chrono::milliseconds duration{5000};
    std::chrono::milliseconds timeout{2000};
    // Sends a key with each request, and sends it again to another target after a lost answer.
    bool keyed = false;
    std::size_t bodyBytes = 0;
    // Stands in for the platform's balancer: asks each target for its readiness and leaves out
    // those that are not ready.
    bool balanced = false;
    // More than zero: that many callers that each send the next request after the answer before.
    std::size_t closedLoop = 0;
};

// Sends requests at their times whether or not earlier ones are answered, and checks each answer
// against its request.
boost::asio::awaitable<load_result> runLoad(boost::asio::any_io_executor executor,
                                            random_source &random, load_options options);

} // namespace mango::load
