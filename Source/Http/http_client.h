#pragma once

#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "Http/http_message.h"

namespace mango {

// Server and limits of an HTTP client. With a certificate authority file, the client uses TLS and
// verifies the server's certificate against it.
struct http_client_options
{
    host_address server;
    std::string certificateAuthorityFile;
    std::size_t maximumBodyBytes = 16ULL << 20U;
    // Whether an exchange opens a new connection when the one of an earlier exchange has ended.
    // Otherwise it then fails without sending anything, until close() has been called.
    bool reconnects = true;
};

// One connection to an HTTP server, opened by the first exchange and reopened after a failure.
// Supports one exchange at a time.
class http_client
{
public:
    virtual ~http_client() = default;
    // Sends the request and returns the server's response; fails after the timeout. A response
    // whose length is not given or that is truncated is a failure, as it cannot be known to be
    // complete.
    virtual boost::asio::awaitable<result<http_response, http_failure>>
    exchange(const http_request &request, steady_span timeout) = 0;
    // True when the connection is open and can be reused for another exchange.
    [[nodiscard]] virtual bool isOpen() const = 0;
    // Closes the connection; the next exchange opens a new one.
    virtual void close() = 0;
};

// Creates a client; it connects on the first exchange.
std::unique_ptr<http_client> makeHttpClient(boost::asio::any_io_executor executor,
                                            const http_client_options &options);

} // namespace mango
