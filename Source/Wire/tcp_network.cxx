#include "Wire/tcp_network.h"

#include <algorithm>
#include <optional>

#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>

#include "Common/event_log.h"
#include "Common/log.h"
#include "Wire/frame_codec.h"

namespace mango {

namespace asio = boost::asio;
using asio::ip::tcp;

std::string describe(const network_failure &failure)
{
    static constexpr const char *names[] = {"connect failed",     "timed out", "closed",
                                            "address in use",     "bad frame", "other version",
                                            "other cluster",      "too large", "bad certificate",
                                            "unexpected response"};
    std::string line = names[static_cast<int>(failure.reason)];
    if (failure.peer.port != 0) {
        line += " at " + toText(failure.peer);
    }
    return failure.detail.empty() ? line : line + ": " + failure.detail;
}

namespace {

using error_code = boost::system::error_code;
using tls_stream = asio::ssl::stream<tcp::socket>;

// A peer that does not read is disconnected at this size of the send queue.
constexpr std::size_t maximumQueuedBytes = 128ULL << 20U;
constexpr auto handshakeTimeout = std::chrono::seconds(3);
// One read takes all frames that have arrived, up to this size: each wait for bytes costs a turn of
// the event loop, which is long while the process is busy.
constexpr std::size_t readBytes = 16U << 10U;
// For the payload of a large frame.
constexpr std::size_t largestReadBytes = 256U << 10U;
// An empty receive buffer that grew beyond this for a large frame is released.
constexpr std::size_t keptBufferBytes = 64U << 10U;

// Counters for all connections of a process.
struct connection_counters
{
    std::uint64_t &bytesOut;
    std::uint64_t &bytesIn;
    std::uint64_t &framesOut;
    std::uint64_t &framesIn;
    std::uint64_t &framesRefused;
    // Reads and writes of sockets, each of which delivers one or more frames.
    std::uint64_t &reads;
    std::uint64_t &writes;
};

tcp::socket &socketOf(tcp::socket &stream)
{
    return stream;
}

tcp::socket &socketOf(tls_stream &stream)
{
    return stream.next_layer();
}

const tcp::socket &socketOf(const tcp::socket &stream)
{
    return stream;
}

const tcp::socket &socketOf(const tls_stream &stream)
{
    return stream.next_layer();
}

host_address addressOf(const tcp::endpoint &endpoint)
{
    return {endpoint.address().to_string(), endpoint.port()};
}

template<class Stream>
class tcp_connection final : public frame_connection,
                             public std::enable_shared_from_this<tcp_connection<Stream>>
{
public:
    tcp_connection(Stream stream, std::uint32_t cluster, connection_counters counters)
        : m_stream(std::move(stream))
        , m_cluster(cluster)
        , m_counters(counters)
    {
        error_code error;
        m_peer = addressOf(socketOf(m_stream).remote_endpoint(error));
        socketOf(m_stream).set_option(tcp::no_delay(true), error);
    }

    asio::awaitable<result<frame, network_failure>> receive() override
    {
        while (true) {
            auto next = takeFrame();
            if (next) {
                co_return std::move(*next);
            }
            error_code error;
            const std::size_t kept = m_received.size();
            m_received.resize(kept + std::clamp(missingBytes(), readBytes, largestReadBytes));
            const std::size_t count = co_await m_stream.async_read_some(
                    asio::buffer(m_received.data() + kept, m_received.size() - kept),
                    asio::redirect_error(asio::use_awaitable, error));
            m_received.resize(kept + count);
            ++m_counters.reads;
            if (error) {
                co_return network_failure{network_failure::kind::closed, m_peer, error.message()};
            }
        }
    }

    void send(frame message) override
    {
        std::string bytes = encodeFrame(message, m_cluster);
        m_queuedBytes += bytes.size();
        m_counters.bytesOut += bytes.size();
        ++m_counters.framesOut;
        m_queue.push_back(std::move(bytes));
        if (m_queuedBytes > maximumQueuedBytes) {
            close();
            return;
        }
        if (m_writing.empty()) {
            writeQueue();
        }
    }

    void close() override
    {
        error_code ignored;
        socketOf(m_stream).shutdown(tcp::socket::shutdown_both, ignored);
        socketOf(m_stream).close(ignored);
    }

    [[nodiscard]] std::size_t unreadBytes() const override
    {
        // A read in progress counts with its whole buffer, as bytes may have arrived there.
        error_code closed;
        return m_received.size() - m_taken + socketOf(m_stream).available(closed);
    }

    [[nodiscard]] host_address peer() const override
    {
        return m_peer;
    }

private:
    network_failure reject(network_failure failure)
    {
        ++m_counters.framesRefused;
        failure.peer = m_peer;
        close();
        return failure;
    }

    // Takes the next frame out of the received bytes; nothing when it has not arrived in full.
    std::optional<result<frame, network_failure>> takeFrame()
    {
        const std::string_view rest = std::string_view(m_received).substr(m_taken);
        if (!m_header && rest.size() >= frameHeaderBytes) {
            auto header = decodeHeader(rest.substr(0, frameHeaderBytes), m_cluster);
            if (failed(header)) {
                return reject(failureOf(header));
            }
            m_header = valueOf(header);
        }
        if (missingBytes() > 0) {
            discardTaken();
            return std::nullopt;
        }
        const frame_header header = *std::exchange(m_header, std::nullopt);
        m_taken += frameHeaderBytes + header.payloadBytes;
        m_counters.bytesIn += frameHeaderBytes + header.payloadBytes;
        ++m_counters.framesIn;
        auto joined =
                joinFrame(header, std::string(rest.substr(frameHeaderBytes, header.payloadBytes)));
        if (failed(joined)) {
            return reject(failureOf(joined));
        }
        return std::move(valueOf(joined));
    }

    // How many bytes of the next frame, as far as its length is known, have not arrived.
    [[nodiscard]] std::size_t missingBytes() const
    {
        const std::size_t needed = frameHeaderBytes + (m_header ? m_header->payloadBytes : 0);
        const std::size_t available = m_received.size() - m_taken;
        return needed - std::min(needed, available);
    }

    void discardTaken()
    {
        m_received.erase(0, m_taken);
        m_taken = 0;
        if (m_received.empty() && m_received.capacity() > keptBufferBytes) {
            m_received.shrink_to_fit();
        }
    }

    void writeQueue()
    {
        m_writing.swap(m_queue);
        std::vector<asio::const_buffer> buffers;
        buffers.reserve(m_writing.size());
        for (const std::string &bytes : m_writing) {
            buffers.push_back(asio::buffer(bytes));
        }
        ++m_counters.writes;
        asio::async_write(m_stream, buffers,
                          [self = this->shared_from_this()](error_code error, std::size_t count) {
                              self->finishWrite(error, count);
                          });
    }

    void finishWrite(error_code error, std::size_t count)
    {
        m_queuedBytes -= count;
        m_writing.clear();
        if (error) {
            close();
        } else if (!m_queue.empty()) {
            writeQueue();
        }
    }

    Stream m_stream;
    std::uint32_t m_cluster;
    connection_counters m_counters;
    host_address m_peer;
    // Received bytes, of which the first `m_taken` belong to frames that were delivered.
    std::string m_received;
    std::size_t m_taken = 0;
    // The header of the next frame while its payload is incomplete.
    std::optional<frame_header> m_header;
    // The frames of the write in progress, and those of the next one.
    std::vector<std::string> m_writing;
    std::vector<std::string> m_queue;
    std::size_t m_queuedBytes = 0;
};

asio::ssl::context makeTlsContext(const tls_options &security, error_code &error)
{
    asio::ssl::context context(asio::ssl::context::tlsv12);
    context.set_options(asio::ssl::context::default_workarounds | asio::ssl::context::no_sslv2
                                | asio::ssl::context::no_sslv3,
                        error);
    if (!error) {
        context.use_certificate_chain_file(security.certificateFile, error);
    }
    if (!error) {
        context.use_private_key_file(security.keyFile, asio::ssl::context::pem, error);
    }
    if (!error) {
        context.load_verify_file(security.certificateAuthorityFile, error);
    }
    context.set_verify_mode(asio::ssl::verify_peer | asio::ssl::verify_fail_if_no_peer_cert);
    return context;
}

class tcp_network final : public network
{
public:
    tcp_network(asio::any_io_executor executor, clock_source &clock,
                metrics_registry &metricsRegistry, const tcp_network_options &options)
        : m_executor(std::move(executor))
        , m_clock(clock)
        , m_counters{metricsRegistry.at("mango_link_bytes_total{direction=\"out\"}"),
                     metricsRegistry.at("mango_link_bytes_total{direction=\"in\"}"),
                     metricsRegistry.at("mango_link_frames_total{direction=\"out\"}"),
                     metricsRegistry.at("mango_link_frames_total{direction=\"in\"}"),
                     metricsRegistry.at("mango_link_frames_refused_total"),
                     metricsRegistry.at("mango_link_reads_total"),
                     metricsRegistry.at("mango_link_writes_total")}
        , m_cluster(clusterChecksum(options.clusterName))
    {
        if (options.security.enabled()) {
            error_code ignored;
            m_tls.emplace(makeTlsContext(options.security, ignored));
        }
    }

    asio::awaitable<result<std::shared_ptr<frame_connection>, network_failure>>
    connect(host_address address, steady_span timeout) override
    {
        auto socket = std::make_shared<tcp::socket>(m_executor);
        error_code error;
        const auto endpoint =
                tcp::endpoint(asio::ip::make_address(address.ip, error), address.port);
        asio::steady_timer guard(m_executor, timeout);
        guard.async_wait([socket](error_code cancelled) {
            error_code ignored;
            if (!cancelled) {
                socket->close(ignored);
            }
        });
        co_await socket->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
        guard.cancel();
        if (error) {
            co_return network_failure{network_failure::kind::connectFailed, address,
                                      error.message()};
        }
        co_return co_await secure(std::move(*socket), asio::ssl::stream_base::client);
    }

    result<done, network_failure> listen(const host_address &address,
                                         connection_handler handler) override
    {
        error_code error;
        const tcp::endpoint endpoint(asio::ip::make_address(address.ip, error), address.port);
        auto acceptor = std::make_shared<tcp::acceptor>(m_executor);
        acceptor->open(endpoint.protocol(), error);
        acceptor->set_option(tcp::acceptor::reuse_address(true), error);
        acceptor->bind(endpoint, error);
        if (error) {
            return network_failure{network_failure::kind::addressInUse, address, error.message()};
        }
        acceptor->listen(asio::socket_base::max_listen_connections, error);
        asio::co_spawn(m_executor, acceptAll(acceptor, std::move(handler)), asio::detached);
        return done{};
    }

private:
    asio::awaitable<void> acceptAll(std::shared_ptr<tcp::acceptor> acceptor,
                                    connection_handler handler)
    {
        while (acceptor->is_open()) {
            error_code error;
            tcp::socket socket = co_await acceptor->async_accept(
                    asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                // Accepting fails for example while the process is out of file descriptors.
                logEvent(log_part::wire, "accept-failed", {{"reason", error.message()}});
                co_await m_clock.sleepFor(std::chrono::milliseconds(50));
                continue;
            }
            asio::co_spawn(m_executor, serve(std::move(socket), handler), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket, connection_handler handler)
    {
        auto secured = co_await secure(std::move(socket), asio::ssl::stream_base::server);
        if (failed(secured)) {
            ++m_counters.framesRefused;
            logWarn(log_part::wire, "Rejected a connection: " + describe(failureOf(secured)) + ".");
            co_return;
        }
        co_await handler(valueOf(secured));
    }

    asio::awaitable<result<std::shared_ptr<frame_connection>, network_failure>>
    secure(tcp::socket socket, asio::ssl::stream_base::handshake_type side)
    {
        if (!m_tls) {
            co_return std::make_shared<tcp_connection<tcp::socket>>(std::move(socket), m_cluster,
                                                                    m_counters);
        }
        error_code error;
        const host_address peer = addressOf(socket.remote_endpoint(error));
        tls_stream stream(std::move(socket), *m_tls);
        asio::steady_timer guard(m_executor, handshakeTimeout);
        // The timer may have expired, with its handler still queued, when the handshake ends.
        const auto inProgress = std::make_shared<bool>(true);
        guard.async_wait([&stream, inProgress](error_code cancelled) {
            error_code ignored;
            if (!cancelled && *inProgress) {
                stream.next_layer().close(ignored);
            }
        });
        co_await stream.async_handshake(side, asio::redirect_error(asio::use_awaitable, error));
        *inProgress = false;
        guard.cancel();
        if (error) {
            co_return network_failure{network_failure::kind::badCertificate, peer, error.message()};
        }
        co_return std::make_shared<tcp_connection<tls_stream>>(std::move(stream), m_cluster,
                                                               m_counters);
    }

    asio::any_io_executor m_executor;
    clock_source &m_clock;
    connection_counters m_counters;
    std::uint32_t m_cluster;
    std::optional<asio::ssl::context> m_tls;
};

} // namespace

std::unique_ptr<network> makeTcpNetwork(asio::any_io_executor executor, clock_source &clock,
                                        metrics_registry &metricsRegistry,
                                        const tcp_network_options &options)
{
    return std::make_unique<tcp_network>(std::move(executor), clock, metricsRegistry, options);
}

result<done, network_failure> checkSecurity(const tls_options &security)
{
    if (!security.enabled()) {
        return done{};
    }
    error_code error;
    makeTlsContext(security, error);
    if (error) {
        return network_failure{network_failure::kind::badCertificate,
                               {},
                               security.certificateFile + ", " + security.keyFile + ", "
                                       + security.certificateAuthorityFile + ": "
                                       + error.message()};
    }
    return done{};
}

} // namespace mango
