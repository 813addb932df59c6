#include "Fakes/fake_network.h"

#include <deque>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Common/wake_event.h"

namespace mango::test {

namespace asio = boost::asio;

namespace {

constexpr auto frameDelay = std::chrono::milliseconds(1);

// One end of a connection.
class fake_connection final : public frame_connection
{
public:
    fake_connection(std::shared_ptr<fake_links> links, host_address self, host_address peer,
                    std::shared_ptr<bool> crashed)
        : m_links(std::move(links))
        , m_self(std::move(self))
        , m_peer(std::move(peer))
        , m_crashed(std::move(crashed))
        , m_frameArrived(m_links->clock)
    {}

    void connectTo(const std::shared_ptr<fake_connection> &other)
    {
        m_peerEnd = other;
    }

    asio::awaitable<result<frame, network_failure>> receive() override
    {
        while (m_received.empty() && !m_closed) {
            co_await m_frameArrived.waitFor(std::chrono::hours(1));
        }
        if (m_received.empty()) {
            co_return network_failure{network_failure::kind::closed, m_peer, ""};
        }
        frame message = std::move(m_received.front());
        m_received.pop_front();
        co_return message;
    }

    void send(frame message) override
    {
        ++m_links->framesSent;
        asio::co_spawn(m_links->executor,
                       deliver(m_links, m_peerEnd, m_self, m_peer, m_crashed, std::move(message)),
                       asio::detached);
    }

    void close() override
    {
        m_closed = true;
        m_frameArrived.notifyAll();
        if (const auto other = m_peerEnd.lock()) {
            other->m_closed = true;
            other->m_frameArrived.notifyAll();
        }
    }

    [[nodiscard]] std::size_t unreadBytes() const override
    {
        std::size_t bytes = 0;
        for (const frame &message : m_received) {
            bytes += message.payload.size();
        }
        return bytes;
    }

    [[nodiscard]] host_address peer() const override
    {
        return m_peer;
    }

private:
    static asio::awaitable<void> deliver(std::shared_ptr<fake_links> links,
                                         std::weak_ptr<fake_connection> target, host_address from,
                                         host_address to, std::shared_ptr<bool> crashed,
                                         frame message)
    {
        co_await links->clock.sleepFor(frameDelay);
        const auto other = target.lock();
        if (!other || *crashed || *other->m_crashed || links->blockedLinks.contains({from, to})) {
            co_return;
        }
        other->m_received.push_back(message);
        if (links->duplicateFrames) {
            other->m_received.push_back(message);
        }
        other->m_frameArrived.notifyAll();
    }

    std::shared_ptr<fake_links> m_links;
    host_address m_self;
    host_address m_peer;
    std::shared_ptr<bool> m_crashed;
    std::weak_ptr<fake_connection> m_peerEnd;
    std::deque<frame> m_received;
    bool m_closed = false;
    wake_event m_frameArrived;
};

// Keeps the handler alive for as long as its coroutine runs.
asio::awaitable<void> serveConnection(connection_handler handler,
                                      std::shared_ptr<frame_connection> connection)
{
    co_await handler(std::move(connection));
}

} // namespace

fake_network::fake_network(std::shared_ptr<fake_links> links, host_address self)
    : m_links(std::move(links))
    , m_self(std::move(self))
    , m_crashed(std::make_shared<bool>(false))
{}

asio::awaitable<result<std::shared_ptr<frame_connection>, network_failure>>
fake_network::connect(host_address address, steady_span timeout)
{
    const bool blocked = m_links->blockedLinks.contains({m_self, address})
                         || m_links->blockedLinks.contains({address, m_self});
    if (blocked || *m_crashed) {
        co_await m_links->clock.sleepFor(timeout);
        co_return network_failure{network_failure::kind::timedOut, address, ""};
    }
    co_await m_links->clock.sleepFor(frameDelay);
    const auto listener = m_links->listeners.find(address);
    if (listener == m_links->listeners.end()) {
        co_return network_failure{network_failure::kind::connectFailed, address, ""};
    }
    const auto localEnd = std::make_shared<fake_connection>(m_links, m_self, address, m_crashed);
    const auto remoteEnd =
            std::make_shared<fake_connection>(m_links, address, m_self, listener->second.crashed);
    localEnd->connectTo(remoteEnd);
    remoteEnd->connectTo(localEnd);
    asio::co_spawn(m_links->executor, serveConnection(listener->second.handler, remoteEnd),
                   asio::detached);
    co_return std::shared_ptr<frame_connection>(localEnd);
}

result<done, network_failure> fake_network::listen(const host_address &address,
                                                   connection_handler handler)
{
    m_links->listeners[address] = {std::move(handler), m_crashed};
    return done{};
}

void fake_network::crash()
{
    *m_crashed = true;
    m_links->listeners.erase(m_self);
}

} // namespace mango::test
