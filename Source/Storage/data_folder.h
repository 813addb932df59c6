#pragma once

#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "Common/metrics_registry.h"
#include "Storage/disk.h"

namespace mango {

// Holds the exclusive lock on a data folder until it is destroyed.
class data_folder_lock
{
public:
    // Takes ownership of the descriptor of the locked file.
    explicit data_folder_lock(int descriptor);
    ~data_folder_lock();
    data_folder_lock(const data_folder_lock &) = delete;
    data_folder_lock &operator=(const data_folder_lock &) = delete;

private:
    int m_descriptor;
};

// Creates the folder if it does not exist, and locks it. Fails if the folder is not writable or
// another process holds the lock.
result<std::unique_ptr<data_folder_lock>, disk_failure> lockDataFolder(const std::string &path);

// Returns a disk whose files are in a directory of the file system. Blocking calls run one after
// the other on a dedicated thread. Synced writes are counted in mango_disk_syncs_total.
std::unique_ptr<disk> makeFolderDisk(const std::string &path, metrics_registry &metricsRegistry);

} // namespace mango
