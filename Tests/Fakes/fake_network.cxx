#include "Fakes/fake_network.h"

#include <deque>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Common/wake_event.h"

namespace mango::test {

namespace asio = boost::asio;

namespace {

constexpr auto frameTime = std::chrono::milliseconds(1);

// One end of a connection.
class fake_connection final : public frame_connection
{
public:
    fake_connection(std::shared_ptr<fake_links> links, host_address self, host_address peer,
                    std::shared_ptr<bool> dead)
        : m_links(std::move(links))
        , m_self(std::move(self))
        , m_peer(std::move(peer))
        , m_dead(std::move(dead))
        , m_arrived(m_links->clock)
    {}

    void join(const std::shared_ptr<fake_connection> &other)
    {
        m_other = other;
    }

    asio::awaitable<result<frame, network_failure>> receive() override
    {
        while (m_queue.empty() && !m_closed) {
            co_await m_arrived.waitFor(std::chrono::hours(1));
        }
        if (m_queue.empty()) {
            co_return network_failure{network_failure::kind::closed, m_peer, ""};
        }
        frame message = std::move(m_queue.front());
        m_queue.pop_front();
        co_return message;
    }

    void send(frame message) override
    {
        ++m_links->framesSent;
        asio::co_spawn(m_links->executor,
                       deliver(m_links, m_other, m_self, m_peer, m_dead, std::move(message)),
                       asio::detached);
    }

    void close() override
    {
        m_closed = true;
        m_arrived.notifyAll();
        if (const auto other = m_other.lock()) {
            other->m_closed = true;
            other->m_arrived.notifyAll();
        }
    }

    [[nodiscard]] host_address peer() const override
    {
        return m_peer;
    }

private:
    static asio::awaitable<void> deliver(std::shared_ptr<fake_links> links,
                                         std::weak_ptr<fake_connection> target, host_address from,
                                         host_address to, std::shared_ptr<bool> dead, frame message)
    {
        co_await links->clock.sleepFor(frameTime);
        const auto other = target.lock();
        if (!other || *dead || *other->m_dead || links->blockedLinks.contains({from, to})) {
            co_return;
        }
        other->m_queue.push_back(message);
        if (links->duplicate) {
            other->m_queue.push_back(message);
        }
        other->m_arrived.notifyAll();
    }

    std::shared_ptr<fake_links> m_links;
    host_address m_self;
    host_address m_peer;
    std::shared_ptr<bool> m_dead;
    std::weak_ptr<fake_connection> m_other;
    std::deque<frame> m_queue;
    bool m_closed = false;
    wake_event m_arrived;
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
    , m_dead(std::make_shared<bool>(false))
{}

asio::awaitable<result<std::shared_ptr<frame_connection>, network_failure>>
fake_network::connect(host_address address, steady_span timeout)
{
    const bool cut = m_links->blockedLinks.contains({m_self, address})
                     || m_links->blockedLinks.contains({address, m_self});
    if (cut || *m_dead) {
        co_await m_links->clock.sleepFor(timeout);
        co_return network_failure{network_failure::kind::timedOut, address, ""};
    }
    co_await m_links->clock.sleepFor(frameTime);
    const auto listener = m_links->listeners.find(address);
    if (listener == m_links->listeners.end()) {
        co_return network_failure{network_failure::kind::connectFailed, address, ""};
    }
    const auto here = std::make_shared<fake_connection>(m_links, m_self, address, m_dead);
    const auto there =
            std::make_shared<fake_connection>(m_links, address, m_self, listener->second.dead);
    here->join(there);
    there->join(here);
    asio::co_spawn(m_links->executor, serveConnection(listener->second.handler, there),
                   asio::detached);
    co_return std::shared_ptr<frame_connection>(here);
}

result<done, network_failure> fake_network::listen(const host_address &address,
                                                   connection_handler handler)
{
    m_links->listeners[address] = {std::move(handler), m_dead};
    return done{};
}

void fake_network::crash()
{
    *m_dead = true;
    m_links->listeners.erase(m_self);
}

} // namespace mango::test
