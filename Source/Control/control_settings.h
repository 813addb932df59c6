#pragma once

#include "Consensus/replica.h"
#include "Http/http_server.h"
#include "Scheduling/placement.h"
#include "Wire/tcp_network.h"

namespace mango {

// How batch tasks are kept from slowing services down: by throttling and then evicting them when a
// slowdown is measured, by a fixed reservation of cores, or not at all.
enum class interference_policy : std::uint8_t { graduatedMitigation, reservation, none };

// Leases, time-outs and intervals of the control program.
struct control_timing
{
    // How long an entry may dispatch requests by its view of the cluster, counted from when it
    // requested the view.
    std::chrono::milliseconds entryLease{1500};
    // How long a worker may run tasks without a call from the leader.
    std::chrono::milliseconds taskLease{10'000};
    // The interval between the leader's calls to a worker.
    std::chrono::milliseconds pollInterval{1000};
    // The time-out of a call to a worker.
    std::chrono::milliseconds pollTimeout{800};
    // A worker that has not responded for this time counts as silent and gets no new work.
    std::chrono::milliseconds silentAfter{2200};
    // How long after the worker's last reply it may still execute a start request.
    std::chrono::milliseconds startRequestValidity{2500};
    // How long claims on callers' idempotency keys are kept.
    std::chrono::milliseconds claimRetention{24 * 3600 * 1000};
    // How long jobs are kept after their end.
    std::chrono::milliseconds jobRetention{24 * 3600 * 1000};
    // The first quarantine of a worker that fails its tasks; repeated ones double up to a limit.
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
    tls_options security;
    control_timing timing;
    placement_policy placement = placement_policy::scored;
    interference_policy interference = interference_policy::graduatedMitigation;
};

// Reads and checks the settings file of mango_control. Returns the first failure.
result<control_settings, settings_failure> loadControlSettings(const std::string &path);

// Reads a secret, such as a token, without the white space around it. Fails if the file is
// accessible to group or others, or if the secret has fewer than 16 characters.
result<std::string, settings_failure> readSecretFile(const std::string &path);

// Reads and checks the settings for TLS between the processes. Failures are recorded in `reader`.
tls_options readLinkSecurity(settings_reader &reader);

} // namespace mango
