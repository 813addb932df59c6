#pragma once

#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "Common/result.h"

namespace mango {

// Why a data folder or one of its files could not be used.
struct disk_failure
{
    enum class kind { notWritable, lockedByOther, full, ioError, corrupt };
    kind reason = kind::ioError;
    std::string file;
    std::string detail;
};

// One line for logs and operators: the file, the reason and the detail.
std::string describe(const disk_failure &failure);

// Access to the files of one data folder. A call that modifies a file succeeds only after the
// change has been synced; after a failure the file may contain any part of the change.
class disk
{
public:
    virtual ~disk() = default;
    // Returns the content of a file, or nothing if it does not exist.
    virtual boost::asio::awaitable<result<std::optional<std::string>, disk_failure>>
    read(std::string name) = 0;
    // Replaces the content of a file atomically: after a crash the file has either the old content
    // or the new.
    virtual boost::asio::awaitable<result<done, disk_failure>> replace(std::string name,
                                                                       std::string bytes) = 0;
    // Appends bytes to a file, which is created if it does not exist.
    virtual boost::asio::awaitable<result<done, disk_failure>> append(std::string name,
                                                                      std::string bytes) = 0;
    // Truncates a file to the size in bytes.
    virtual boost::asio::awaitable<result<done, disk_failure>> truncate(std::string name,
                                                                        std::uint64_t size) = 0;
    // Removes a file. Succeeds if the file does not exist.
    virtual boost::asio::awaitable<result<done, disk_failure>> remove(std::string name) = 0;
    // Returns the names of all files in the folder.
    virtual boost::asio::awaitable<result<std::vector<std::string>, disk_failure>> list() = 0;
};

} // namespace mango
