#pragma once

#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "Common/metrics_registry.h"
#include "Http/http_message.h"

namespace mango {

class connection_budget;

// Address, limits and TLS files of an HTTP server.
struct http_server_options
{
    host_address listen;
    std::uint32_t maximumHeaderBytes = 16U << 10U;
    std::uint64_t maximumBodyBytes = 8ULL << 20U;
    std::chrono::milliseconds headerTimeout{5000};
    std::chrono::milliseconds idleTimeout{60'000};
    std::chrono::milliseconds writeTimeout{10'000};
    // What all connections hold together. At a limit the connection whose client has made no
    // progress for longest is closed, but none whose request is being served.
    std::size_t maximumConnections = 4096;
    std::uint64_t connectionMemory = 256ULL << 20U;
    // Replaces the two limits above when it is set: the budget that the server shares with others.
    std::shared_ptr<connection_budget> budget;
    // What a request holds while it is served, for each byte of its body.
    std::uint64_t decodedBytesPerBodyByte = 2;
    // The server uses TLS when both are set.
    std::string certificateFile;
    std::string keyFile;
    // Called for each request that is read, for http_request::receiptMark; may be empty.
    std::function<std::uint64_t()> receiptMark;
    // The value of the label `server` of its metrics, and its settings section in error messages.
    std::string label;
};

// Reads the settings that are common to all HTTP servers from the reader's section. Missing or
// invalid values are reported through the reader.
http_server_options readServerOptions(settings_reader &reader, const std::string &label);

// Limits for one request, which can be changed while the server runs.
struct http_limits
{
    std::uint32_t headerBytes = 16U << 10U;
    std::uint64_t bodyBytes = 8ULL << 20U;
    std::chrono::milliseconds headerTimeout{5000};
    std::chrono::milliseconds idleTimeout{60'000};
};

// Produces the response to a request.
using http_handler = std::function<boost::asio::awaitable<http_response>(http_request)>;

// Serves HTTP/1.1 with one coroutine per connection. A malformed request is answered with status
// 400 (408 when it is too slow, 413 or 431 when it is too large), and its connection is closed;
// other connections are not affected. A request for which there is no room is answered with 503.
class http_server
{
public:
    virtual ~http_server() = default;
    // Starts to accept connections; fails when the address or the TLS files cannot be used.
    virtual result<done, settings_failure> start() = 0;
    // Stops accepting connections and waits, up to the limit, for requests in progress to finish;
    // returns whether all of them did.
    virtual boost::asio::awaitable<bool> drain(steady_span limit) = 0;
    // Changes the limits for requests that are read after the call.
    virtual void setLimits(const http_limits &limits) = 0;
};

// Creates a server that calls the handler for each request; start() makes it listen.
std::unique_ptr<http_server> makeHttpServer(boost::asio::any_io_executor executor,
                                            clock_source &clock, metrics_registry &metricsRegistry,
                                            http_server_options options, http_handler handler);

} // namespace mango
