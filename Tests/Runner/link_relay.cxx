#include "Runner/link_relay.h"

#include <atomic>

#include <boost/asio.hpp>

namespace mango::test {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto silentCheck = std::chrono::milliseconds(50);

tcp::endpoint endpointOf(const host_address &address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

} // namespace

struct link_relays::link
{
    link(asio::io_context &context, host_address given)
        : acceptor(context)
        , target(std::move(given))
    {}

    tcp::acceptor acceptor;
    host_address target;
    std::atomic<link_mode> mode{link_mode::pass};
    // Connections of an earlier generation were forgotten.
    std::atomic<std::uint64_t> generation{0};
};

namespace {

template<class Link>
asio::awaitable<void> pump(std::shared_ptr<Link> link, std::shared_ptr<tcp::socket> from,
                           std::shared_ptr<tcp::socket> to, std::uint64_t generation)
{
    std::array<char, 16384> buffer{};
    error_code error;
    asio::steady_timer timer(from->get_executor());
    bool lost = false;
    while (true) {
        const std::size_t count = co_await from->async_read_some(
                asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        // A link that lost bytes of a connection never carries that connection again.
        lost = lost || link->mode != link_mode::pass || link->generation != generation;
        if (error && lost) {
            co_return;
        }
        if (error) {
            break;
        }
        if (!lost) {
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
asio::awaitable<void> serve(std::shared_ptr<Link> link, std::shared_ptr<tcp::socket> caller)
{
    const std::uint64_t generation = link->generation;
    error_code error;
    if (link->mode == link_mode::refuse) {
        co_return;
    }
    asio::steady_timer timer(caller->get_executor());
    if (link->mode == link_mode::silent) {
        // Accepted by this machine's kernel, never answered.
        while (link->mode == link_mode::silent) {
            timer.expires_after(silentCheck);
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_return;
    }
    auto target = std::make_shared<tcp::socket>(caller->get_executor());
    co_await target->async_connect(endpointOf(link->target),
                                   asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return;
    }
    caller->set_option(tcp::no_delay(true), error);
    target->set_option(tcp::no_delay(true), error);
    asio::co_spawn(caller->get_executor(), pump(link, caller, target, generation), asio::detached);
    asio::co_spawn(caller->get_executor(), pump(link, target, caller, generation), asio::detached);
}

template<class Link>
asio::awaitable<void> acceptAll(std::shared_ptr<Link> link)
{
    while (true) {
        error_code error;
        tcp::socket socket = co_await link->acceptor.async_accept(
                asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            auto caller = std::make_shared<tcp::socket>(std::move(socket));
            asio::co_spawn(caller->get_executor(), serve(link, caller), asio::detached);
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
    const auto made = std::make_shared<link>(m_context, target);
    error_code error;
    const tcp::endpoint endpoint = endpointOf(listen);
    made->acceptor.open(endpoint.protocol(), error);
    made->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    made->acceptor.bind(endpoint, error);
    if (error) {
        return false;
    }
    made->acceptor.listen(asio::socket_base::max_listen_connections, error);
    asio::co_spawn(m_context, acceptAll(made), asio::detached);
    const std::lock_guard lock(m_mutex);
    m_links[name] = made;
    return true;
}

void link_relays::setMode(const std::string &name, link_mode mode)
{
    const std::lock_guard lock(m_mutex);
    if (const auto found = m_links.find(name); found != m_links.end()) {
        found->second->mode = mode;
        if (mode != link_mode::pass) {
            ++found->second->generation;
        }
    }
}

void link_relays::forgetConnections(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    if (const auto found = m_links.find(name); found != m_links.end()) {
        ++found->second->generation;
    }
}

} // namespace mango::test
