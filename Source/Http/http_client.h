#pragma once

#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "Http/http_message.h"

namespace mango {

// Where and how an HTTP client connects. With an authority file it speaks TLS and checks the
// server's certificate against it.
struct http_client_options
{
    host_address server;
    std::string certificateAuthorityFile;
    std::size_t maximumBodyBytes = 16ULL << 20U;
};

// One connection to an HTTP server, opened on the first exchange and again after a failure. One
// exchange at a time. An answer counts only when its length was given and all of it arrived.
class http_client
{
public:
    virtual ~http_client() = default;
    virtual boost::asio::awaitable<result<http_response, http_failure>>
    exchange(const http_request &request, steady_span timeout) = 0;
    // True when the connection is open and may serve another exchange.
    [[nodiscard]] virtual bool isOpen() const = 0;
    virtual void close() = 0;
};

std::unique_ptr<http_client> makeHttpClient(boost::asio::any_io_executor executor,
                                            const http_client_options &options);

} // namespace mango
