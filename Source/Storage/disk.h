#pragma once

#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "Common/result.h"

namespace mango {

// Why the data folder could not be used.
struct disk_failure
{
    enum class kind { notWritable, lockedByOther, full, ioError, corrupt };
    kind reason = kind::ioError;
    std::string file;
    std::string detail;
};

std::string describe(const disk_failure &failure);

// The files of one data folder. A call that changes a file has succeeded only once the change is
// synced; after a failure the file may hold any part of the change.
class disk
{
public:
    virtual ~disk() = default;
    // The content of a file, or nothing when there is no such file.
    virtual boost::asio::awaitable<result<std::optional<std::string>, disk_failure>>
    read(std::string name) = 0;
    // Replaces a whole file; after a crash it holds the old content or the new.
    virtual boost::asio::awaitable<result<done, disk_failure>> replace(std::string name,
                                                                       std::string bytes) = 0;
    // Adds bytes to the end of a file, which is made when missing.
    virtual boost::asio::awaitable<result<done, disk_failure>> append(std::string name,
                                                                      std::string bytes) = 0;
    // Cuts a file to the size in bytes.
    virtual boost::asio::awaitable<result<done, disk_failure>> truncate(std::string name,
                                                                        std::uint64_t size) = 0;
    virtual boost::asio::awaitable<result<done, disk_failure>> remove(std::string name) = 0;
    // The names of all files of the folder.
    virtual boost::asio::awaitable<result<std::vector<std::string>, disk_failure>> list() = 0;
};

} // namespace mango
