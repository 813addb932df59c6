#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/clock_source.h"
#include "Common/settings.h"

namespace mango {

using http_headers = std::vector<std::pair<std::string, std::string>>;

// One HTTP request, whole.
struct http_request
{
    std::string method;
    std::string target;
    http_headers headers;
    std::string body;
    host_address peer;
};

// One HTTP answer, whole.
struct http_response
{
    unsigned status = 200;
    http_headers headers;
    std::string body;
    // For stand-ins that misbehave: a server closes the connection after that many body bytes.
    std::optional<std::size_t> truncateAfter = std::nullopt;
};

// Why an exchange with a server gave no whole answer.
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
    // True when any byte of the request may have reached the server.
    bool sent = false;
    // True when the connection had served an exchange before.
    bool reused = false;
    std::string detail;
};

std::string describe(const http_failure &failure);

// The value of a header, by its name in any case; empty when it is missing.
std::string headerValue(const http_headers &headers, const std::string &name);

// The path of a target, without its query.
std::string pathOf(const std::string &target);

// The value of a query parameter of a target, percent-decoded; empty when missing.
std::string queryValue(const std::string &target, const std::string &name);

} // namespace mango
