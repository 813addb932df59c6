#pragma once

#include "Consensus/replica.h"
#include "Http/http_server.h"
#include "Scheduling/placement.h"
#include "Wire/tcp_network.h"

namespace mango {

// What keeps batch tasks from slowing services down: the ladder of throttling and evicting, a
// fixed reservation of cores, or nothing.
enum class interference_policy : std::uint8_t { graduatedMitigation, reservation, none };

// Times that bound how long an old view may be acted on.
struct control_timing
{
    // How long an entry may dispatch on a view, from when it asked for it.
    std::chrono::milliseconds entryLease{1500};
    // How long a worker may run tasks without hearing from the leader.
    std::chrono::milliseconds taskLease{10'000};
    // How often the leader calls each worker.
    std::chrono::milliseconds pollInterval{1000};
    // The longest wait for a worker's answer to a call.
    std::chrono::milliseconds pollTimeout{800};
    // A worker that has not answered for that long gets no new work.
    std::chrono::milliseconds silentAfter{2200};
    // How long after the worker's last word a start order may still be carried out.
    std::chrono::milliseconds startRequestValidity{2500};
    std::chrono::milliseconds claimRetention{24 * 3600 * 1000};
    std::chrono::milliseconds jobRetention{24 * 3600 * 1000};
    std::chrono::milliseconds quarantine{10'000};
};

// The settings of one control process.
struct control_settings
{
    std::string cluster;
    std::string name;
    std::string dataFolder;
    std::string logLevel;
    host_address listen;
    replica_options replicas;
    http_server_options admin;
    std::string tokenFile;
    link_security security;
    control_timing timing;
    placement_policy placement = placement_policy::scored;
    interference_policy interference = interference_policy::graduatedMitigation;
};

// Reads and checks the settings file of mango_control.
result<control_settings, settings_failure> loadControlSettings(const std::string &path);

// Reads a file that only its owner may read, such as a token; the failure says what is wrong.
result<std::string, settings_failure> readSecretFile(const std::string &path);

// Reads the TLS files of the links between processes.
link_security readLinkSecurity(settings_reader &reader);

} // namespace mango
