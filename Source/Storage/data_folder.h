#pragma once

#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "Common/counters.h"
#include "Storage/disk.h"

namespace mango {

// Holds the lock on a data folder for as long as the object lives.
class data_folder_lock
{
public:
    explicit data_folder_lock(int descriptor);
    ~data_folder_lock();
    data_folder_lock(const data_folder_lock &) = delete;
    data_folder_lock &operator=(const data_folder_lock &) = delete;

private:
    int m_descriptor;
};

// Makes the folder when missing and locks it; fails when it cannot be written or another process
// holds it.
result<std::unique_ptr<data_folder_lock>, disk_failure> lockDataFolder(const std::string &path);

// The files of a folder of the operating system. Blocking calls run on a thread of their own, one
// after the other; synced writes are counted as mango_disk_syncs_total.
std::unique_ptr<disk> makeFolderDisk(const std::string &path, counters &metricsRegistry);

} // namespace mango
