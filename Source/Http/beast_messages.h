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

} // namespace mango::detail
