#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "Common/random_source.h"
#include "Http/http_message.h"
#include "Load/latency_report.h"

namespace mango::load {

// What a load run sends, to where and at what rate.
struct load_options
{
    std::vector<host_address> targets;
    std::string method = "GET";
    std::string path = "/";
    double requestsPerSecond = 100;
    std::chrono::milliseconds duration{5000};
    std::chrono::milliseconds timeout{2000};
    // Sends an idempotency key with each request, and resends an unsuccessful request with the same
    // key to the next target.
    bool keyed = false;
    std::size_t bodyBytes = 0;
    // Polls the readiness of each target and skips those that are not ready, as a load balancer
    // does.
    bool skipNotReadyTargets = false;
    // If not zero, requests are sent by this number of callers in a closed loop, each of which
    // waits for a response before its next request, and requestsPerSecond is ignored.
    std::size_t closedLoopCallers = 0;
};

// Runs an open-loop load: sends requests at a fixed rate regardless of outstanding responses, and
// measures response times from the scheduled time of a request, so that slow responses do not
// reduce the load or hide queueing. Checks that each response echoes its request.
boost::asio::awaitable<load_result> runLoad(boost::asio::any_io_executor executor,
                                            random_source &random, load_options options);

} // namespace mango::load
