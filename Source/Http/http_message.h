#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/clock_source.h"
#include "Common/settings.h"

namespace mango {

// Names and values in the order of the message; a name may occur more than once.
using http_headers = std::vector<std::pair<std::string, std::string>>;

// A complete HTTP request.
struct http_request
{
    std::string method;
    std::string target;
    http_headers headers;
    std::string body;
    host_address peer;
    // What the server's `receiptMark` returned when the request was read, or the one before it on
    // the connection when this one may have arrived by then.
    std::uint64_t receiptMark = 0;
    // The sender had closed the connection, at least its own side, before the request was read.
    bool senderClosed = false;
    // Counts what is kept for the request while it is served, in place of what the server has
    // estimated from the size of its body. Returns false when the connections of the process leave
    // no room for it; the request is to be refused then. Empty for a request of no server.
    std::function<bool(std::uint64_t bytes)> reserve = {};
};

// A complete HTTP response.
struct http_response
{
    unsigned status = 200;
    http_headers headers;
    std::string body;
    // Fault injection: the server closes the connection after this number of body bytes.
    std::optional<std::size_t> truncateAfter = std::nullopt;
};

// Why an exchange with a server gave no complete response.
struct http_failure
{
    enum class kind {
        connectFailed,
        timedOut,
        connectionLost,
        malformed,
        tooLarge,
        badCertificate
    };
    kind reason = kind::connectFailed;
    // True when the server may have received any part of the request.
    bool sent = false;
    // True when the connection had been used for an earlier exchange.
    bool reused = false;
    // True when the host answered that no process listens at the address.
    bool refused = false;
    std::string detail;
};

// The reason and detail of a failure as text for logs and reports.
std::string describe(const http_failure &failure);

// The value of the first header of that name, ignoring case; empty when there is none.
std::string headerValue(const http_headers &headers, const std::string &name);

// The path of a request target, without its query.
std::string pathOf(const std::string &target);

// The percent-decoded value of a query parameter of a request target; empty when missing.
std::string queryValue(const std::string &target, const std::string &name);

} // namespace mango
