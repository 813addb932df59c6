#include "Fakes/fake_disk.h"

namespace mango::test {

namespace asio = boost::asio;

namespace {

constexpr auto syncDuration = std::chrono::milliseconds(1);
constexpr auto endlessWait = std::chrono::hours(10'000);

disk_failure diskFull(const std::string &name)
{
    return {disk_failure::kind::full, name, ""};
}

} // namespace

fake_disk::fake_disk(clock_source &clock, std::shared_ptr<fake_disk_content> content)
    : m_clock(clock)
    , m_content(std::move(content))
{}

asio::awaitable<void> fake_disk::waitForSync()
{
    if (m_crashed) {
        co_await m_clock.sleepFor(endlessWait);
    }
    co_await m_clock.sleepFor(syncDuration);
    if (m_crashed) {
        co_await m_clock.sleepFor(endlessWait);
    }
}

asio::awaitable<result<std::optional<std::string>, disk_failure>> fake_disk::read(std::string name)
{
    const auto found = m_content->files.find(name);
    if (found == m_content->files.end()) {
        co_return std::optional<std::string>{};
    }
    co_return std::optional<std::string>(found->second);
}

asio::awaitable<result<done, disk_failure>> fake_disk::replace(std::string name, std::string bytes)
{
    co_await waitForSync();
    if (m_content->full) {
        co_return diskFull(name);
    }
    ++m_content->writes;
    m_content->files[name] = std::move(bytes);
    co_return done{};
}

asio::awaitable<result<done, disk_failure>> fake_disk::append(std::string name, std::string bytes)
{
    if (m_content->tearNextAppend >= 0 && !m_crashed) {
        m_content->files[name] += bytes.substr(0, std::size_t(m_content->tearNextAppend));
        m_content->tearNextAppend = -1;
        m_crashed = true;
    }
    co_await waitForSync();
    if (m_content->full) {
        m_content->files[name] += bytes.substr(0, bytes.size() / 2);
        co_return diskFull(name);
    }
    ++m_content->writes;
    m_content->files[name] += bytes;
    co_return done{};
}

asio::awaitable<result<done, disk_failure>> fake_disk::truncate(std::string name,
                                                                std::uint64_t size)
{
    co_await waitForSync();
    if (m_content->failTruncate) {
        co_return disk_failure{disk_failure::kind::ioError, name, ""};
    }
    m_content->files[name].resize(size);
    co_return done{};
}

asio::awaitable<result<done, disk_failure>> fake_disk::remove(std::string name)
{
    co_await waitForSync();
    m_content->files.erase(name);
    co_return done{};
}

asio::awaitable<result<std::vector<std::string>, disk_failure>> fake_disk::list()
{
    std::vector<std::string> names;
    for (const auto &[name, bytes] : m_content->files) {
        names.push_back(name);
    }
    co_return names;
}

} // namespace mango::test
