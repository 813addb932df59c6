#include "Runner/link_relay.h"

#include <atomic>

#include <boost/asio.hpp>

namespace mango::test {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto modePollInterval = std::chrono::milliseconds(50);

tcp::endpoint toEndpoint(const host_address &address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

} // namespace

struct link_relays::link
{
    link(asio::io_context &context, host_address givenTarget)
        : acceptor(context)
        , target(std::move(givenTarget))
    {}

    tcp::acceptor acceptor;
    host_address target;
    std::atomic<link_mode> mode{link_mode::forward};
    // Incremented to block the connections that are open at that time for good.
    std::atomic<std::uint64_t> generation{0};
};

namespace {

template<class Link>
asio::awaitable<void> forwardBytes(std::shared_ptr<Link> link, std::shared_ptr<tcp::socket> from,
                                   std::shared_ptr<tcp::socket> to, std::uint64_t generation)
{
    std::array<char, 16384> buffer{};
    error_code error;
    asio::steady_timer timer(from->get_executor());
    bool blocked = false;
    while (true) {
        const std::size_t count = co_await from->async_read_some(
                asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        // Once bytes of a connection are lost, the connection stays blocked: forwarding later
        // bytes would corrupt the stream.
        blocked = blocked || link->mode != link_mode::forward || link->generation != generation;
        if (error && blocked) {
            co_return;
        }
        if (error) {
            break;
        }
        if (!blocked) {
            co_await asio::async_write(*to, asio::buffer(buffer, count),
                                       asio::redirect_error(asio::use_awaitable, error));
        }
        if (link->mode == link_mode::refuse) {
            break;
        }
    }
    error_code ignored;
    to->close(ignored);
    from->close(ignored);
}

template<class Link>
asio::awaitable<void> handleConnection(std::shared_ptr<Link> link,
                                       std::shared_ptr<tcp::socket> caller)
{
    const std::uint64_t generation = link->generation;
    error_code error;
    if (link->mode == link_mode::refuse) {
        co_return;
    }
    asio::steady_timer timer(caller->get_executor());
    if (link->mode == link_mode::block) {
        // The kernel has accepted the connection; it stays open without a reply until the mode
        // changes.
        while (link->mode == link_mode::block) {
            timer.expires_after(modePollInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_return;
    }
    auto target = std::make_shared<tcp::socket>(caller->get_executor());
    co_await target->async_connect(toEndpoint(link->target),
                                   asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return;
    }
    caller->set_option(tcp::no_delay(true), error);
    target->set_option(tcp::no_delay(true), error);
    asio::co_spawn(caller->get_executor(), forwardBytes(link, caller, target, generation),
                   asio::detached);
    asio::co_spawn(caller->get_executor(), forwardBytes(link, target, caller, generation),
                   asio::detached);
}

template<class Link>
asio::awaitable<void> acceptConnections(std::shared_ptr<Link> link)
{
    while (true) {
        error_code error;
        tcp::socket socket = co_await link->acceptor.async_accept(
                asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            auto caller = std::make_shared<tcp::socket>(std::move(socket));
            asio::co_spawn(caller->get_executor(), handleConnection(link, caller), asio::detached);
        }
    }
}

} // namespace

link_relays::link_relays()
    : m_thread([this] {
        const auto guard = asio::make_work_guard(m_context);
        m_context.run();
    })
{}

link_relays::~link_relays()
{
    m_context.stop();
    m_thread.join();
}

bool link_relays::add(const std::string &name, const host_address &listen,
                      const host_address &target)
{
    const auto added = std::make_shared<link>(m_context, target);
    error_code error;
    const tcp::endpoint endpoint = toEndpoint(listen);
    added->acceptor.open(endpoint.protocol(), error);
    added->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    added->acceptor.bind(endpoint, error);
    if (error) {
        return false;
    }
    added->acceptor.listen(asio::socket_base::max_listen_connections, error);
    asio::co_spawn(m_context, acceptConnections(added), asio::detached);
    const std::lock_guard lock(m_mutex);
    m_links[name] = added;
    return true;
}

void link_relays::setMode(const std::string &name, link_mode mode)
{
    const std::lock_guard lock(m_mutex);
    if (const auto found = m_links.find(name); found != m_links.end()) {
        found->second->mode = mode;
        if (mode != link_mode::forward) {
            ++found->second->generation;
        }
    }
}

void link_relays::blockOpenConnections(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    if (const auto found = m_links.find(name); found != m_links.end()) {
        ++found->second->generation;
    }
}

} // namespace mango::test
