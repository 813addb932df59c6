#include "Http/http_client.h"

#include <cerrno>

#include <sys/socket.h>

#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/ssl.hpp>

#include "Http/beast_messages.h"

namespace mango {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

using error_code = boost::system::error_code;

// Limits connection attempts to unreachable hosts, however far away the deadline is.
constexpr auto connectTimeout = std::chrono::milliseconds(500);
// What is read ahead of the parser; also bounds trailers and chunk extensions.
constexpr std::size_t maximumBufferBytes = 64U << 10U;

class plain_stream
{
public:
    plain_stream(const asio::any_io_executor &executor, const http_client_options & /*options*/)
        : m_stream(executor)
    {}
    beast::tcp_stream &stream()
    {
        return m_stream;
    }
    beast::tcp_stream &lowestLayer()
    {
        return m_stream;
    }
    asio::awaitable<error_code> handshake()
    {
        co_return error_code{};
    }

private:
    beast::tcp_stream m_stream;
};

class tls_client_stream
{
public:
    tls_client_stream(const asio::any_io_executor &executor, const http_client_options &options)
        : m_context(asio::ssl::context::tls_client)
        , m_stream(executor, configuredContext(m_context, options))
    {}
    beast::ssl_stream<beast::tcp_stream> &stream()
    {
        return m_stream;
    }
    beast::tcp_stream &lowestLayer()
    {
        return m_stream.next_layer();
    }
    asio::awaitable<error_code> handshake()
    {
        error_code error;
        co_await m_stream.async_handshake(asio::ssl::stream_base::client,
                                          asio::redirect_error(asio::use_awaitable, error));
        co_return error;
    }

private:
    static asio::ssl::context &configuredContext(asio::ssl::context &context,
                                                 const http_client_options &options)
    {
        error_code ignored;
        context.load_verify_file(options.certificateAuthorityFile, ignored);
        context.set_verify_mode(asio::ssl::verify_peer);
        return context;
    }

    asio::ssl::context m_context;
    beast::ssl_stream<beast::tcp_stream> m_stream;
};

template<class Stream>
class beast_client final : public http_client
{
public:
    beast_client(asio::any_io_executor executor, http_client_options options)
        : m_executor(std::move(executor))
        , m_options(std::move(options))
    {}

    asio::awaitable<result<http_response, http_failure>> exchange(const http_request &request,
                                                                  steady_span timeout) override
    {
        const steady_time deadline = std::chrono::steady_clock::now() + timeout;
        const bool reused = isOpen();
        error_code error;
        if (!reused && m_connectedBefore && !m_options.reconnects) {
            drop();
            co_return failureOf(asio::error::not_connected, false, false);
        }
        if (!reused) {
            error = co_await connect(deadline);
            if (error) {
                drop();
                co_return failureOf(error, false, false);
            }
        }
        m_used = true;
        m_connectedBefore = true;
        m_connection->lowestLayer().expires_at(deadline);
        http::request<http::string_body> message(http::string_to_verb(request.method),
                                                 request.target, 11);
        if (message.method() == http::verb::unknown) {
            message.method_string(request.method);
        }
        detail::addHeaders(message, request.headers);
        message.set(http::field::host, toText(m_options.server));
        message.body() = request.body;
        message.prepare_payload();
        const std::string text = detail::textOf(message);
        co_await asio::async_write(m_connection->stream(), asio::buffer(text),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            drop();
            co_return failureOf(error, true, reused);
        }
        http::response_parser<http::string_body> parser;
        parser.body_limit(m_options.maximumBodyBytes);
        if (message.method() == http::verb::head) {
            parser.skip(true);
        }
        co_await http::async_read(m_connection->stream(), m_buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
        // A body that is delimited only by the end of the connection may be truncated.
        const bool hasKnownLength = error || !parser.need_eof();
        if (error || !hasKnownLength) {
            drop();
            co_return failureOf(error ? error : make_error_code(http::error::partial_message), true,
                                reused);
        }
        auto received = parser.release();
        http_response response;
        response.status = received.result_int();
        response.headers = detail::plainHeaders(received.base());
        response.body = std::move(received.body());
        if (!received.keep_alive() || m_buffer.size() > 0) {
            drop();
        }
        co_return response;
    }

    [[nodiscard]] bool isOpen() const override
    {
        if (!m_connection || !m_used) {
            return false;
        }
        // If the server has closed the connection since, the end of the stream can be read now.
        char next = 0;
        const auto peeked = ::recv(m_connection->lowestLayer().socket().native_handle(), &next, 1,
                                   MSG_PEEK | MSG_DONTWAIT);
        return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    void close() override
    {
        drop();
        m_connectedBefore = false;
    }

private:
    void drop()
    {
        m_connection.reset();
        m_buffer.clear();
        m_used = false;
    }

    asio::awaitable<error_code> connect(steady_time deadline)
    {
        drop();
        error_code error;
        m_connection = std::make_unique<Stream>(m_executor, m_options);
        const tcp::endpoint endpoint(asio::ip::make_address(m_options.server.ip, error),
                                     m_options.server.port);
        if (error) {
            co_return error;
        }
        m_connection->lowestLayer().expires_at(
                std::min(deadline, std::chrono::steady_clock::now() + connectTimeout));
        co_await m_connection->lowestLayer().async_connect(
                endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return error;
        }
        m_connection->lowestLayer().expires_at(deadline);
        m_connection->lowestLayer().socket().set_option(tcp::no_delay(true), error);
        co_return co_await m_connection->handshake();
    }

    static http_failure failureOf(const error_code &error, bool sent, bool reused)
    {
        http_failure failure;
        failure.sent = sent;
        failure.reused = reused;
        failure.refused = error == asio::error::connection_refused;
        failure.detail = error.message();
        if (error == beast::error::timeout) {
            failure.reason = http_failure::kind::timedOut;
        } else if (error == http::error::body_limit || error == http::error::header_limit
                   || error == http::error::buffer_overflow) {
            failure.reason = http_failure::kind::tooLarge;
        } else if (error.category() == make_error_code(http::error::bad_version).category()
                   && error != http::error::end_of_stream
                   && error != http::error::partial_message) {
            failure.reason = http_failure::kind::malformed;
        } else if (error.category() == asio::error::get_ssl_category()) {
            failure.reason = http_failure::kind::badCertificate;
        } else {
            failure.reason =
                    sent ? http_failure::kind::connectionLost : http_failure::kind::connectFailed;
        }
        return failure;
    }

    asio::any_io_executor m_executor;
    http_client_options m_options;
    std::unique_ptr<Stream> m_connection;
    beast::flat_buffer m_buffer{maximumBufferBytes};
    bool m_used = false;
    // An exchange has used a connection since close() was last called.
    bool m_connectedBefore = false;
};

} // namespace

std::unique_ptr<http_client> makeHttpClient(asio::any_io_executor executor,
                                            const http_client_options &options)
{
    if (options.certificateAuthorityFile.empty()) {
        return std::make_unique<beast_client<plain_stream>>(std::move(executor), options);
    }
    return std::make_unique<beast_client<tls_client_stream>>(std::move(executor), options);
}

} // namespace mango
