#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Common/clock_source.h"
#include "Common/settings.h"

namespace mango {

// Why a peer could not be reached or a frame not be taken.
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

std::string describe(const network_failure &failure);

// One message between two processes. `correlation` joins an answer to its call, `stamp` is the
// sender's causal_clock.
struct frame
{
    std::uint64_t correlation = 0;
    std::uint64_t stamp = 0;
    bool answer = false;
    std::string payload;
};

// A connection that carries frames; each direction keeps their order.
class frame_connection
{
public:
    virtual ~frame_connection() = default;
    // Waits for the next frame; after a failure the connection is of no more use.
    virtual boost::asio::awaitable<result<frame, network_failure>> receive() = 0;
    // Queues a frame; a failure to write it closes the connection, which receive() reports.
    virtual void send(frame message) = 0;
    virtual void close() = 0;
    [[nodiscard]] virtual host_address peer() const = 0;
};

using connection_handler =
        std::function<boost::asio::awaitable<void>(std::shared_ptr<frame_connection>)>;

// Makes and takes frame connections; tests pass in one that runs in memory.
class network
{
public:
    virtual ~network() = default;
    virtual boost::asio::awaitable<result<std::shared_ptr<frame_connection>, network_failure>>
    connect(host_address address, steady_span timeout) = 0;
    // Takes connections at the address from now on, each served by the handler.
    virtual result<done, network_failure> listen(const host_address &address,
                                                 connection_handler handler) = 0;
};

} // namespace mango
