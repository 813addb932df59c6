#pragma once

#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "Common/counters.h"
#include "Http/http_message.h"

namespace mango {

// The address, limits and TLS files of one HTTP server.
struct http_server_options
{
    host_address listen;
    std::uint32_t maximumHeaderBytes = 16U << 10U;
    std::uint64_t maximumBodyBytes = 8ULL << 20U;
    std::chrono::milliseconds headerTimeout{5000};
    std::chrono::milliseconds idleTimeout{60'000};
    std::chrono::milliseconds writeTimeout{10'000};
    std::size_t maximumConnections = 4096;
    // Both set: the server speaks TLS.
    std::string certificateFile;
    std::string keyFile;
    // The label of its counters.
    std::string label;
};

// Reads the keys of a settings section that every HTTP server has.
http_server_options readServerOptions(settings_reader &reader, const std::string &label);

// What one request may take.
struct http_limits
{
    std::uint32_t headerBytes = 16U << 10U;
    std::uint64_t bodyBytes = 8ULL << 20U;
    std::chrono::milliseconds headerTimeout{5000};
    std::chrono::milliseconds idleTimeout{60'000};
};

using http_handler = std::function<boost::asio::awaitable<http_response>(http_request)>;

// Serves HTTP/1.1, one coroutine for each connection. A malformed request gets status 400 (or
// 408, 413, 431) and its connection is closed; other connections are not touched.
class http_server
{
public:
    virtual ~http_server() = default;
    // Takes connections from now on.
    virtual result<done, settings_failure> start() = 0;
    // Stops taking connections and lets those in progress end, for the span at most; true when
    // every request in progress was answered.
    virtual boost::asio::awaitable<bool> drain(steady_span limit) = 0;
    // Changes the limits of requests that are read from now on.
    virtual void setLimits(const http_limits &limits) = 0;
};

std::unique_ptr<http_server> makeHttpServer(boost::asio::any_io_executor executor,
                                            clock_source &clock, counters &metricsRegistry,
                                            http_server_options options, http_handler handler);

} // namespace mango
