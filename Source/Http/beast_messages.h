#pragma once

#include <boost/beast/http.hpp>

#include "Http/http_message.h"

namespace mango::detail {

namespace http = boost::beast::http;

// Copies the fields of a Beast message.
inline http_headers plainHeaders(const http::fields &fields)
{
    http_headers headers;
    for (const auto &field : fields) {
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return headers;
}

// Adds headers to a Beast message, except the hop-by-hop headers and Content-Length, which are set
// for each connection and message.
inline void addHeaders(http::fields &fields, const http_headers &headers)
{
    for (const auto &[name, value] : headers) {
        switch (http::string_to_field(name)) {
        case http::field::connection:
        case http::field::keep_alive:
        case http::field::proxy_connection:
        case http::field::te:
        case http::field::trailer:
        case http::field::transfer_encoding:
        case http::field::upgrade:
        case http::field::content_length:
            break;
        default:
            fields.insert(name, value);
        }
    }
}

// Returns the status that tells the sender why its request could not be read.
inline unsigned statusOfReadError(const boost::system::error_code &error)
{
    if (error == http::error::body_limit) {
        return 413;
    }
    const bool tooLong =
            error == http::error::header_limit || error == http::error::buffer_overflow;
    return tooLong ? 431 : 400;
}

// True when the request is malformed. A truncated request counts too and gets a response, since its
// sender may still be reading.
inline bool isProtocolError(const boost::system::error_code &error)
{
    return error.category() == make_error_code(http::error::bad_version).category()
           && error != http::error::end_of_stream;
}

// Returns a message with a body of known length as it is sent. A write of the text takes one
// buffer; a write of the message goes through a sequence of many, at several times the cost of a
// short message.
template<bool isRequest>
std::string textOf(const http::message<isRequest, http::string_body> &message)
{
    const std::string version = message.version() == 10 ? "HTTP/1.0" : "HTTP/1.1";
    std::string text;
    if constexpr (isRequest) {
        text.append(message.method_string()).append(" ").append(message.target());
        text.append(" ").append(version);
    } else {
        text.append(version).append(" ").append(std::to_string(message.result_int()));
        text.append(" ").append(message.reason());
    }
    text += "\r\n";
    for (const auto &field : message) {
        text.append(field.name_string()).append(": ").append(field.value()).append("\r\n");
    }
    text += "\r\n";
    text += message.body();
    return text;
}

} // namespace mango::detail
