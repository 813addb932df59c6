#include "Storage/data_folder.h"

#include <cerrno>
#include <cstring>
#include <filesystem>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mango {

namespace asio = boost::asio;

std::string describe(const disk_failure &failure)
{
    static constexpr const char *names[] = {"not writable", "locked by another process",
                                            "disk full", "I/O error", "corrupt"};
    return failure.file + ": " + names[static_cast<int>(failure.reason)]
           + (failure.detail.empty() ? "" : ": " + failure.detail);
}

data_folder_lock::data_folder_lock(int descriptor)
    : m_descriptor(descriptor)
{}

data_folder_lock::~data_folder_lock()
{
    ::close(m_descriptor);
}

result<std::unique_ptr<data_folder_lock>, disk_failure> lockDataFolder(const std::string &path)
{
    std::error_code error;
    std::filesystem::create_directories(path, error);
    const std::string file = path + "/lock";
    const int descriptor = ::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (descriptor < 0) {
        return disk_failure{disk_failure::kind::notWritable, path, std::strerror(errno)};
    }
    if (::flock(descriptor, LOCK_EX | LOCK_NB) != 0) {
        const int error = errno;
        ::close(descriptor);
        if (error == EWOULDBLOCK) {
            return disk_failure{disk_failure::kind::lockedByOther, path, ""};
        }
        return disk_failure{disk_failure::kind::notWritable, path,
                            std::string("cannot be locked: ") + std::strerror(error)};
    }
    return std::make_unique<data_folder_lock>(descriptor);
}

namespace {

// Owns a file descriptor. The descriptor is negative if the file could not be opened.
class open_file
{
public:
    open_file(const std::string &path, int flags)
        : m_descriptor(::open(path.c_str(), flags | O_CLOEXEC, 0600))
    {}
    ~open_file()
    {
        if (m_descriptor >= 0) {
            ::close(m_descriptor);
        }
    }
    open_file(const open_file &) = delete;
    open_file &operator=(const open_file &) = delete;
    [[nodiscard]] int descriptor() const
    {
        return m_descriptor;
    }

private:
    int m_descriptor;
};

disk_failure systemFailure(const std::string &path)
{
    const auto reason = errno == ENOSPC || errno == EDQUOT || errno == EFBIG
                                ? disk_failure::kind::full
                                : disk_failure::kind::ioError;
    return {reason, path, std::strerror(errno)};
}

bool writeAll(int descriptor, const std::string &bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t count = ::write(descriptor, bytes.data() + written, bytes.size() - written);
        if (count < 0 && errno != EINTR) {
            return false;
        }
        written += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    return true;
}

// Stores the files in a directory of the file system.
class folder_disk final : public disk
{
public:
    folder_disk(std::string path, metrics_registry &metricsRegistry)
        : m_path(std::move(path))
        , m_syncCount(metricsRegistry.at("mango_disk_syncs_total"))
        , m_thread(1)
    {}

    asio::awaitable<result<std::optional<std::string>, disk_failure>>
    read(std::string name) override
    {
        return runOnThread<result<std::optional<std::string>, disk_failure>>([path = pathOf(name)] {
            return readBlocking(path);
        });
    }

    asio::awaitable<result<done, disk_failure>> replace(std::string name,
                                                        std::string bytes) override
    {
        m_syncCount += 2;
        return runOnThread<result<done, disk_failure>>(
                [folder = m_path, path = pathOf(name), bytes = std::move(bytes)] {
                    return replaceBlocking(folder, path, bytes);
                });
    }

    asio::awaitable<result<done, disk_failure>> append(std::string name, std::string bytes) override
    {
        ++m_syncCount;
        return runOnThread<result<done, disk_failure>>(
                [path = pathOf(name), bytes = std::move(bytes)]() -> result<done, disk_failure> {
                    const open_file file(path, O_WRONLY | O_CREAT | O_APPEND);
                    if (file.descriptor() < 0 || !writeAll(file.descriptor(), bytes)
                        || ::fdatasync(file.descriptor()) != 0) {
                        return systemFailure(path);
                    }
                    return done{};
                });
    }

    asio::awaitable<result<done, disk_failure>> truncate(std::string name,
                                                         std::uint64_t size) override
    {
        ++m_syncCount;
        return runOnThread<result<done, disk_failure>>(
                [path = pathOf(name), size]() -> result<done, disk_failure> {
                    const open_file file(path, O_WRONLY);
                    if (file.descriptor() < 0
                        || ::ftruncate(file.descriptor(), static_cast<off_t>(size)) != 0
                        || ::fsync(file.descriptor()) != 0) {
                        return systemFailure(path);
                    }
                    return done{};
                });
    }

    asio::awaitable<result<done, disk_failure>> remove(std::string name) override
    {
        return runOnThread<result<done, disk_failure>>(
                [path = pathOf(name)]() -> result<done, disk_failure> {
                    if (::unlink(path.c_str()) != 0 && errno != ENOENT) {
                        return systemFailure(path);
                    }
                    return done{};
                });
    }

    asio::awaitable<result<std::vector<std::string>, disk_failure>> list() override
    {
        return runOnThread<result<std::vector<std::string>, disk_failure>>([path = m_path] {
            std::vector<std::string> names;
            std::error_code error;
            for (const auto &item : std::filesystem::directory_iterator(path, error)) {
                names.push_back(item.path().filename().string());
            }
            return result<std::vector<std::string>, disk_failure>(std::move(names));
        });
    }

private:
    [[nodiscard]] std::string pathOf(const std::string &name) const
    {
        return m_path + "/" + name;
    }

    // Runs a blocking function on the disk's thread and resumes the caller on its own executor.
    template<class Outcome, class Function>
    asio::awaitable<Outcome> runOnThread(Function function)
    {
        return asio::co_spawn(
                m_thread,
                [](Function call) -> asio::awaitable<Outcome> {
                    co_return call();
                }(std::move(function)),
                asio::use_awaitable);
    }

    static result<std::optional<std::string>, disk_failure> readBlocking(const std::string &path)
    {
        const open_file file(path, O_RDONLY);
        if (file.descriptor() < 0) {
            if (errno == ENOENT) {
                return std::optional<std::string>{};
            }
            return systemFailure(path);
        }
        std::string content;
        std::string buffer(1U << 16U, '\0');
        while (true) {
            const ssize_t count = ::read(file.descriptor(), buffer.data(), buffer.size());
            if (count < 0) {
                return systemFailure(path);
            }
            if (count == 0) {
                return std::optional<std::string>(std::move(content));
            }
            content.append(buffer, 0, static_cast<std::size_t>(count));
        }
    }

    static result<done, disk_failure>
    replaceBlocking(const std::string &folder, const std::string &path, const std::string &bytes)
    {
        const std::string temporary = path + ".new";
        {
            const open_file file(temporary, O_WRONLY | O_CREAT | O_TRUNC);
            if (file.descriptor() < 0 || !writeAll(file.descriptor(), bytes)
                || ::fsync(file.descriptor()) != 0) {
                return systemFailure(temporary);
            }
        }
        const open_file parent(folder, O_RDONLY | O_DIRECTORY);
        if (::rename(temporary.c_str(), path.c_str()) != 0 || parent.descriptor() < 0
            || ::fsync(parent.descriptor()) != 0) {
            return systemFailure(path);
        }
        return done{};
    }

    std::string m_path;
    std::uint64_t &m_syncCount;
    asio::thread_pool m_thread;
};

} // namespace

std::unique_ptr<disk> makeFolderDisk(const std::string &path, metrics_registry &metricsRegistry)
{
    return std::make_unique<folder_disk>(path, metricsRegistry);
}

} // namespace mango
