#pragma once

#include <map>
#include <memory>

#include "Common/clock_source.h"
#include "Storage/disk.h"

namespace mango::test {

// The content of one fake disk; outlives the processes that use it.
struct fake_disk_content
{
    std::map<std::string, std::string> files;
    // When true, every write fails as on a full disk; a failed append still writes half of its
    // bytes.
    bool full = false;
    // When true, truncating fails with an input/output error.
    bool failTruncate = false;
    // When not negative, the process crashes after writing this many bytes of the next append.
    long tearNextAppend = -1;
    // The number of successful calls of replace() and append().
    std::uint64_t writes = 0;
};

// A disk in memory. After a crash of the process its calls that change the disk never complete.
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

    // Simulates a crash of the process that uses this disk.
    void crash()
    {
        m_crashed = true;
    }

private:
    boost::asio::awaitable<void> waitForSync();

    clock_source &m_clock;
    std::shared_ptr<fake_disk_content> m_content;
    bool m_crashed = false;
};

} // namespace mango::test
