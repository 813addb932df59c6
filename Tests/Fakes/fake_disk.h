#pragma once

#include <map>
#include <memory>

#include "Common/clock_source.h"
#include "Storage/disk.h"

namespace mango::test {

// What is on one fake disk; outlives the processes that use it.
struct fake_disk_content
{
    std::map<std::string, std::string> files;
    // Set to let every write fail as on a full disk; a failed append leaves half of its bytes.
    bool full = false;
    // Set to let truncating fail as well.
    bool failTruncate = false;
    // The next append is cut short by a crash after that many bytes, when not negative.
    long tearNextAppend = -1;
    std::uint64_t writes = 0;
};

// A disk in memory. A process that has crashed never hears from it again.
class fake_disk final : public disk
{
public:
    fake_disk(clock_source &clock, std::shared_ptr<fake_disk_content> content);

    boost::asio::awaitable<result<std::optional<std::string>, disk_failure>>
    read(std::string name) override;
    boost::asio::awaitable<result<done, disk_failure>> replace(std::string name,
                                                               std::string bytes) override;
    boost::asio::awaitable<result<done, disk_failure>> append(std::string name,
                                                              std::string bytes) override;
    boost::asio::awaitable<result<done, disk_failure>> truncate(std::string name,
                                                                std::uint64_t size) override;
    boost::asio::awaitable<result<done, disk_failure>> remove(std::string name) override;
    boost::asio::awaitable<result<std::vector<std::string>, disk_failure>> list() override;

    // The process that uses this disk is dead from now on.
    void crash()
    {
        m_crashed = true;
    }

private:
    boost::asio::awaitable<void> work();

    clock_source &m_clock;
    std::shared_ptr<fake_disk_content> m_content;
    bool m_crashed = false;
};

} // namespace mango::test
