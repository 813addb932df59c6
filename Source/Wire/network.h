#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Common/clock_source.h"
#include "Common/settings.h"

namespace mango {

// Why a peer could not be reached or a frame was rejected.
struct network_failure
{
    enum class kind {
        connectFailed,
        timedOut,
        closed,
        addressInUse,
        invalidFrame,
        versionMismatch,
        clusterMismatch,
        tooLarge,
        badCertificate,
        unexpectedResponse
    };
    kind reason = kind::closed;
    host_address peer;
    std::string detail;
};

// The reason, peer and detail of a failure as text for logs and error messages.
std::string describe(const network_failure &failure);

// A message between two processes. `correlation` is the same in a call and its response;
// `timestamp` is the time of the sender's causal_clock.
struct frame
{
    std::uint64_t correlation = 0;
    std::uint64_t timestamp = 0;
    bool isResponse = false;
    std::string payload;
};

// A connection that delivers frames in order in each direction.
class frame_connection
{
public:
    virtual ~frame_connection() = default;
    // Waits for the next frame; after a failure the connection cannot be used any more.
    virtual boost::asio::awaitable<result<frame, network_failure>> receive() = 0;
    // Queues a frame and returns at once. If it cannot be written, the connection is closed and
    // receive() reports the failure.
    virtual void send(frame message) = 0;
    virtual void close() = 0;
    // The number of bytes that have arrived and that receive() has not taken yet.
    [[nodiscard]] virtual std::size_t unreadBytes() const = 0;
    [[nodiscard]] virtual host_address peer() const = 0;
};

// Serves one accepted connection.
using connection_handler =
        std::function<boost::asio::awaitable<void>(std::shared_ptr<frame_connection>)>;

// Opens and accepts frame connections; tests use an implementation in memory.
class network
{
public:
    virtual ~network() = default;
    // Opens a connection; fails when the peer does not accept it within the timeout.
    virtual boost::asio::awaitable<result<std::shared_ptr<frame_connection>, network_failure>>
    connect(host_address address, steady_span timeout) = 0;
    // Starts to accept connections at the address and calls the handler for each.
    virtual result<done, network_failure> listen(const host_address &address,
                                                 connection_handler handler) = 0;
};

} // namespace mango
