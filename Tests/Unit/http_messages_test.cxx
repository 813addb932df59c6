#include <gtest/gtest.h>

#include <sstream>

#include "Http/beast_messages.h"

namespace mango::test {

namespace {

namespace http = boost::beast::http;

// The message as Beast writes it.
template<class Message>
std::string writtenByBeast(const Message &message)
{
    std::ostringstream stream;
    stream << message;
    return stream.str();
}

const http_headers sampleHeaders{{"Content-Type", "application/json"},
                                 {"target-instance", "i-1"},
                                 {"X-Twice", "one"},
                                 {"X-Twice", "two"},
                                 {"X-Empty", ""},
                                 {"Connection", "upgrade"},
                                 {"Content-Length", "77"}};

} // namespace

// Messages are written from one text; another text than that of Beast would reach peers as a
// malformed message or with a wrong length.
TEST(http_messages, writeRequestsLikeBeast)
{
    for (const char *method : {"GET", "POST", "HEAD", "PURGE-ALL"}) {
        for (const char *body : {"", "{\"a\":1}\r\n\r\n"}) {
            http::request<http::string_body> message(http::string_to_verb(method), "/a/b?c=%20",
                                                     11);
            if (message.method() == http::verb::unknown) {
                message.method_string(method);
            }
            detail::addHeaders(message, sampleHeaders);
            message.set(http::field::host, "10.0.0.1:80");
            message.body() = body;
            message.prepare_payload();
            EXPECT_EQ(detail::textOf(message), writtenByBeast(message)) << method;
        }
    }
}

TEST(http_messages, writeResponsesLikeBeast)
{
    for (const unsigned status : {200U, 204U, 404U, 408U, 503U, 599U}) {
        for (const unsigned version : {10U, 11U}) {
            for (const bool keepAlive : {false, true}) {
                http::response<http::string_body> message;
                message.version(version);
                message.result(status);
                detail::addHeaders(message, sampleHeaders);
                message.keep_alive(keepAlive);
                message.body() = status == 204 ? "" : std::string("x\0y", 3);
                message.prepare_payload();
                EXPECT_EQ(detail::textOf(message), writtenByBeast(message)) << status;
            }
        }
    }
}

} // namespace mango::test
