#include "Http/http_server.h"

#include <array>
#include <optional>
#include <map>
#include <variant>

#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/ssl.hpp>

#include "Common/event_log.h"
#include "Common/log.h"
#include "Common/wake_event.h"
#include "Http/beast_messages.h"
#include "Http/connection_budget.h"

namespace mango {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

using error_code = boost::system::error_code;

constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);
// Limits on reading and discarding the rest of a rejected request.
constexpr auto lingerTime = std::chrono::milliseconds(1000);
constexpr std::size_t lingerBytes = 4U << 20U;
// What is read at once while the size of a request is not known.
constexpr std::size_t firstReadBytes = 8U << 10U;
// When to retry a request that was refused since others take up the memory for requests.
constexpr auto crowdedRetryAfterSeconds = "1";

// State shared by the connections of one server.
struct server_state
{
    server_state(clock_source &clock, metrics_registry &metricsRegistry,
                 http_server_options serverOptions)
        : options(std::move(serverOptions))
        , budget(options.budget ? options.budget
                                : std::make_shared<connection_budget>(
                                        clock, metricsRegistry,
                                        connection_budget_limits{options.connectionMemory,
                                                                 options.maximumConnections}))
        , requestEnded(clock)
        , requests(
                  metricsRegistry.at("mango_http_requests_total{server=\"" + options.label + "\"}"))
        , malformed(metricsRegistry.at("mango_http_malformed_total{server=\"" + options.label
                                       + "\"}"))
        , connections(
                  metricsRegistry.at("mango_http_connections{server=\"" + options.label + "\"}"))
        , refused(metricsRegistry.at("mango_http_refused_total{server=\"" + options.label + "\"}"))
        , crowded(metricsRegistry.at("mango_http_crowded_total{server=\"" + options.label + "\"}"))
    {}

    http_server_options options;
    std::shared_ptr<connection_budget> budget;
    http_handler handler;
    bool draining = false;
    std::size_t requestsInProgress = 0;
    // Connections that wait for the next request, the longest idle ones first.
    std::map<std::uint64_t, beast::tcp_stream *> idleStreams;
    std::uint64_t nextIdleStream = 0;
    wake_event requestEnded;
    std::uint64_t &requests;
    std::uint64_t &malformed;
    std::uint64_t &connections;
    std::uint64_t &refused;
    std::uint64_t &crowded;
};

// Cancels a read that times out but keeps the connection open, so that a response can be sent. The
// timer may have expired, with its handler still queued, when the read ends; the handler then does
// nothing.
class read_guard
{
public:
    read_guard(beast::tcp_stream &stream, std::chrono::milliseconds limit)
        : m_timer(stream.get_executor(), limit)
        , m_phase(std::make_shared<phase>(phase::waiting))
    {
        stream.expires_never();
        m_timer.async_wait([&stream, current = m_phase](error_code cancelled) {
            if (!cancelled && *current == phase::waiting) {
                *current = phase::expired;
                stream.cancel();
            }
        });
    }
    read_guard(const read_guard &) = delete;
    read_guard &operator=(const read_guard &) = delete;
    ~read_guard()
    {
        *m_phase = phase::over;
    }
    [[nodiscard]] bool expired() const
    {
        return *m_phase == phase::expired;
    }

private:
    enum class phase : std::uint8_t { waiting, expired, over };
    asio::steady_timer m_timer;
    std::shared_ptr<phase> m_phase;
};

// Lets an error response reach the sender: closing at once would reset the connection while the
// sender is still writing.
template<class Stream>
asio::awaitable<void> lingerAndDiscard(Stream &stream)
{
    error_code error;
    beast::tcp_stream &lowestLayer = beast::get_lowest_layer(stream);
    lowestLayer.socket().shutdown(tcp::socket::shutdown_send, error);
    lowestLayer.expires_after(lingerTime);
    std::array<char, 4096> rest{};
    std::size_t discarded = 0;
    while (!error && discarded < lingerBytes) {
        discarded += co_await lowestLayer.async_read_some(
                asio::buffer(rest), asio::redirect_error(asio::use_awaitable, error));
    }
}

http::response<http::string_body> toMessage(http_response response, unsigned version,
                                            bool keepAlive)
{
    http::response<http::string_body> message;
    message.version(version);
    message.result(response.status);
    detail::addHeaders(message, response.headers);
    message.keep_alive(keepAlive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    return message;
}

http_request toRequest(http::request<http::string_body> message, const host_address &peer)
{
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = detail::plainHeaders(message.base());
    request.body = std::move(message.body());
    request.peer = peer;
    return request;
}

// What can be read from a connection at once.
enum class pending_input : std::uint8_t { nothing, bytes, end };

pending_input pendingInputOf(beast::tcp_stream &stream)
{
    char next = 0;
    const auto peeked = ::recv(stream.socket().native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    if (peeked == 0) {
        return pending_input::end;
    }
    return peeked > 0 ? pending_input::bytes : pending_input::nothing;
}

// Writes the response; returns whether the connection can be used again.
template<class Stream>
asio::awaitable<bool> writeResponse(server_state &state, Stream &stream,
                                    budgeted_connection &budgeted, http_response response,
                                    unsigned version, bool keepAlive)
{
    error_code error;
    const auto truncateAfter = response.truncateAfter;
    beast::get_lowest_layer(stream).expires_after(state.options.writeTimeout);
    if (truncateAfter) {
        auto message = toMessage(std::move(response), version, keepAlive);
        http::response_serializer<http::string_body> serializer(message);
        co_await http::async_write_header(stream, serializer,
                                          asio::redirect_error(asio::use_awaitable, error));
        co_await asio::async_write(stream, asio::buffer(message.body().data(), *truncateAfter),
                                   asio::redirect_error(asio::use_awaitable, error));
        co_return false;
    }
    const std::string text = detail::textOf(toMessage(std::move(response), version, keepAlive));
    // The request has been served, so its response is sent in any case.
    budgeted.update(connection_stage::waiting, text.capacity());
    co_await asio::async_write(stream, asio::buffer(text),
                               asio::redirect_error(asio::use_awaitable, error));
    co_return !error && keepAlive && !budgeted.isClosed();
}

// A request that was read, the status with which it is refused, or nothing when the connection is
// to be closed.
using read_outcome = std::variant<std::monostate, http::request<http::string_body>, unsigned>;

// Reads the rest of a request whose header was read.
template<class Stream>
asio::awaitable<error_code> readBody(Stream &stream, budgeted_connection &budgeted,
                                     beast::flat_buffer &buffer,
                                     http::request_parser<http::string_body> &parser)
{
    error_code error;
    parser.eager(true);
    while (!error && !parser.is_done()) {
        const std::uint64_t held = buffer.capacity() + parser.get().body().capacity();
        if (!budgeted.update(connection_stage::waiting, held)) {
            co_return asio::error::no_memory;
        }
        co_await http::async_read_some(stream, buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
    }
    co_return error;
}

// Reads one request.
template<class Stream>
asio::awaitable<read_outcome> readRequest(server_state &state, Stream &stream,
                                          budgeted_connection &budgeted, beast::flat_buffer &buffer)
{
    error_code error;
    http::request_parser<http::string_body> parser;
    parser.header_limit(state.options.maximumHeaderBytes);
    parser.body_limit(state.options.maximumBodyBytes);
    // Bounds what the parser does not: trailers and chunk extensions.
    buffer.max_size(std::max<std::size_t>(state.options.maximumHeaderBytes, buffer.size())
                    + firstReadBytes);
    beast::tcp_stream &lowestLayer = beast::get_lowest_layer(stream);
    if (buffer.size() == 0) {
        // Waits for the first byte under the idle timeout, so that the header timeout
        // starts only when a request begins.
        const std::uint64_t idleNumber = state.nextIdleStream++;
        state.idleStreams.emplace(idleNumber, &lowestLayer);
        lowestLayer.expires_after(state.options.idleTimeout);
        const std::size_t count = co_await stream.async_read_some(
                buffer.prepare(firstReadBytes), asio::redirect_error(asio::use_awaitable, error));
        buffer.commit(count);
        state.idleStreams.erase(idleNumber);
        if (error) {
            co_return std::monostate{};
        }
    }
    if (!budgeted.update(connection_stage::waiting, buffer.max_size())) {
        co_return 503U;
    }
    bool tooSlow = false;
    {
        const read_guard guard(lowestLayer, state.options.headerTimeout);
        co_await http::async_read_header(stream, buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, error));
        tooSlow = guard.expired();
    }
    if (!error && !parser.is_done()) {
        const read_guard guard(lowestLayer, state.options.headerTimeout);
        error = co_await readBody(stream, budgeted, buffer, parser);
        tooSlow = guard.expired();
    }
    if (budgeted.isClosed()) {
        co_return std::monostate{};
    }
    if (!error) {
        const std::uint64_t decoded =
                parser.get().body().size() * state.options.decodedBytesPerBodyByte;
        if (!budgeted.update(connection_stage::serving, buffer.capacity() + decoded)) {
            co_return 503U;
        }
        co_return parser.release();
    }
    if (error == asio::error::no_memory) {
        co_return 503U;
    }
    if (tooSlow || detail::isProtocolError(error)) {
        ++state.malformed;
        co_return tooSlow ? 408U : detail::statusOfReadError(error);
    }
    co_return std::monostate{};
}

// Tells the sender that its request was not read to its end, or not served.
template<class Stream>
asio::awaitable<void> refuseRequest(server_state &state, Stream &stream,
                                    budgeted_connection &budgeted, unsigned status)
{
    http_response response{status, {{"Mango-Outcome", "not-run"}}, ""};
    if (status == 503) {
        ++state.crowded;
        response.headers.emplace_back("Retry-After", crowdedRetryAfterSeconds);
    }
    co_await writeResponse(state, stream, budgeted, std::move(response), 11, false);
    co_await lingerAndDiscard(stream);
}

template<class Stream>
asio::awaitable<void> serveConnection(std::shared_ptr<server_state> state, Stream stream)
{
    error_code error;
    const auto endpoint = beast::get_lowest_layer(stream).socket().remote_endpoint(error);
    const host_address peer{endpoint.address().to_string(), endpoint.port()};
    beast::get_lowest_layer(stream).socket().set_option(tcp::no_delay(true), error);
    beast::flat_buffer buffer;
    budgeted_connection budgeted(state->budget, [&stream] {
        error_code ignored;
        beast::get_lowest_layer(stream).socket().shutdown(tcp::socket::shutdown_both, ignored);
    });
    bool open = true;
    bool isFirst = true;
    std::uint64_t receiptMark = 0;
    while (open) {
        beast::tcp_stream &lowestLayer = beast::get_lowest_layer(stream);
        // A request that has waited for the response to the one before arrived after that one.
        const bool hasWaited =
                !isFirst
                && (buffer.size() > 0 || pendingInputOf(lowestLayer) == pending_input::bytes);
        isFirst = false;
        budgeted.update(connection_stage::waiting, buffer.capacity());
        if (budgeted.isClosed()) {
            break;
        }
        read_outcome outcome = co_await readRequest(*state, stream, budgeted, buffer);
        if (const auto *status = std::get_if<unsigned>(&outcome)) {
            buffer = {};
            co_await refuseRequest(*state, stream, budgeted, *status);
            break;
        }
        auto *message = std::get_if<http::request<http::string_body>>(&outcome);
        if (message == nullptr) {
            break;
        }
        ++state->requests;
        ++state->requestsInProgress;
        const unsigned version = message->version();
        const bool keepAlive = message->keep_alive();
        const bool headOnly = message->method() == http::verb::head;
        if (!hasWaited && state->options.receiptMark) {
            receiptMark = state->options.receiptMark();
        }
        http_request request = toRequest(std::move(*message), peer);
        request.receiptMark = receiptMark;
        request.senderClosed = pendingInputOf(lowestLayer) == pending_input::end;
        request.reserve = [&budgeted, &buffer](std::uint64_t bytes) {
            return budgeted.update(connection_stage::serving, buffer.capacity() + bytes);
        };
        http_response response = co_await state->handler(std::move(request));
        if (headOnly) {
            response.body.clear();
        }
        open = co_await writeResponse(*state, stream, budgeted, std::move(response), version,
                                      keepAlive && !state->draining);
        --state->requestsInProgress;
        if (state->draining) {
            state->requestEnded.notifyAll();
        }
    }
    --state->connections;
    beast::get_lowest_layer(stream).socket().shutdown(tcp::socket::shutdown_send, error);
}

asio::awaitable<void> serveTls(std::shared_ptr<server_state> state, beast::tcp_stream stream,
                               std::shared_ptr<asio::ssl::context> context)
{
    error_code error;
    beast::ssl_stream<beast::tcp_stream> secured(std::move(stream), *context);
    beast::get_lowest_layer(secured).expires_after(state->options.headerTimeout);
    {
        const budgeted_connection budgeted(state->budget, [&secured] {
            error_code ignored;
            beast::get_lowest_layer(secured).socket().shutdown(tcp::socket::shutdown_both, ignored);
        });
        co_await secured.async_handshake(asio::ssl::stream_base::server,
                                         asio::redirect_error(asio::use_awaitable, error));
    }
    if (error) {
        --state->connections;
        ++state->refused;
        co_return;
    }
    co_await serveConnection(state, std::move(secured));
}

class beast_server final : public http_server
{
public:
    beast_server(asio::any_io_executor executor, clock_source &clock,
                 metrics_registry &metricsRegistry, http_server_options options,
                 http_handler handler)
        : m_executor(std::move(executor))
        , m_clock(clock)
        , m_state(std::make_shared<server_state>(clock, metricsRegistry, std::move(options)))
        , m_acceptor(m_executor)
    {
        m_state->handler = std::move(handler);
    }

    result<done, settings_failure> start() override
    {
        const http_server_options &options = m_state->options;
        error_code error;
        if (!options.certificateFile.empty()) {
            m_tls = std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
            m_tls->use_certificate_chain_file(options.certificateFile, error);
            if (!error) {
                m_tls->use_private_key_file(options.keyFile, asio::ssl::context::pem, error);
            }
            if (error) {
                return settings_failure{settings_failure::kind::badValue, "",
                                        "[" + options.label + "] certificate", error.message()};
            }
        }
        const tcp::endpoint endpoint(asio::ip::make_address(options.listen.ip, error),
                                     options.listen.port);
        m_acceptor.open(endpoint.protocol(), error);
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        m_acceptor.bind(endpoint, error);
        if (error) {
            return settings_failure{settings_failure::kind::badValue, "",
                                    "[" + options.label + "] listen",
                                    toText(options.listen) + ": " + error.message()};
        }
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
        asio::co_spawn(m_executor, acceptAll(), asio::detached);
        return done{};
    }

    asio::awaitable<bool> drain(steady_span limit) override
    {
        error_code ignored;
        m_state->draining = true;
        m_acceptor.close(ignored);
        for (const auto &[number, stream] : m_state->idleStreams) {
            stream->socket().shutdown(tcp::socket::shutdown_receive, ignored);
        }
        const steady_time end = m_clock.now() + limit;
        while (m_state->requestsInProgress > 0 && m_clock.now() < end) {
            co_await m_state->requestEnded.waitFor(end - m_clock.now());
        }
        co_return m_state->requestsInProgress == 0;
    }

    void setLimits(const http_limits &limits) override
    {
        http_server_options &options = m_state->options;
        options.maximumHeaderBytes = limits.headerBytes;
        options.maximumBodyBytes = limits.bodyBytes;
        options.headerTimeout = limits.headerTimeout;
        options.idleTimeout = limits.idleTimeout;
    }

private:
    asio::awaitable<void> acceptAll()
    {
        while (m_acceptor.is_open()) {
            error_code error;
            tcp::socket socket = co_await m_acceptor.async_accept(
                    asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                if (m_acceptor.is_open()) {
                    recordAcceptFailure(error.message());
                    co_await m_clock.sleepFor(acceptRetryDelay);
                }
                continue;
            }
            ++m_state->connections;
            beast::tcp_stream stream(std::move(socket));
            if (m_tls) {
                asio::co_spawn(m_executor, serveTls(m_state, std::move(stream), m_tls),
                               asio::detached);
            } else {
                asio::co_spawn(m_executor, serveConnection(m_state, std::move(stream)),
                               asio::detached);
            }
        }
    }

    void recordAcceptFailure(const std::string &reason)
    {
        ++m_state->refused;
        logEvent(log_part::wire, "connection-refused",
                 {{"server", m_state->options.label},
                  {"reason", reason},
                  {"open", m_state->connections}});
    }

    asio::any_io_executor m_executor;
    clock_source &m_clock;
    std::shared_ptr<server_state> m_state;
    tcp::acceptor m_acceptor;
    std::shared_ptr<asio::ssl::context> m_tls;
};

} // namespace

http_server_options readServerOptions(settings_reader &reader, const std::string &label)
{
    http_server_options options;
    options.label = label;
    options.listen = reader.requiredAddress("listen");
    options.maximumHeaderBytes =
            static_cast<std::uint32_t>(reader.bytes("maximum_header", options.maximumHeaderBytes));
    options.maximumBodyBytes = reader.bytes("maximum_body", options.maximumBodyBytes);
    options.headerTimeout = reader.duration("header_timeout", options.headerTimeout);
    options.idleTimeout = reader.duration("idle_timeout", options.idleTimeout);
    options.writeTimeout = reader.duration("write_timeout", options.writeTimeout);
    options.maximumConnections = reader.count("maximum_connections", options.maximumConnections);
    options.connectionMemory = reader.bytes("connection_memory", options.connectionMemory);
    if (options.connectionMemory < minimumMachineBytes) {
        reader.reject("connection_memory", "must be 32MB or more");
    }
    options.certificateFile = reader.text("certificate", "");
    options.keyFile = reader.text("key", "");
    if (options.certificateFile.empty() != options.keyFile.empty()) {
        reader.reject("certificate", "certificate and key must be set together");
    }
    return options;
}

std::unique_ptr<http_server> makeHttpServer(asio::any_io_executor executor, clock_source &clock,
                                            metrics_registry &metricsRegistry,
                                            http_server_options options, http_handler handler)
{
    return std::make_unique<beast_server>(std::move(executor), clock, metricsRegistry,
                                          std::move(options), std::move(handler));
}

} // namespace mango
