#include <gtest/gtest.h>

#include "Unit/fleet_group.h"
#include "Wire/codec.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What a disk of a core machine holds on the smallest deployment, and half of it.
constexpr std::size_t diskBytes = 128U << 20U;
constexpr std::size_t mostBytes = diskBytes / 2;

// A configuration with so many routes that its command has some 130 KB.
fleet_configuration largeConfiguration(std::uint64_t version)
{
    fleet_configuration made = fleet_group::configuration(version);
    for (int number = 0; number < 350; ++number) {
        queue_route route = made.routes.front();
        route.name = "route-" + std::to_string(number);
        route.pathPrefix = "/added/" + std::to_string(number) + "/";
        made.routes.push_back(route);
    }
    made.source.assign(100'000, ' ');
    made.source += std::to_string(version);
    return made;
}

std::size_t bytesOnDisk(const fake_disk_content &content)
{
    std::size_t bytes = 0;
    for (const auto &[name, file] : content.files) {
        bytes += file.size();
    }
    return bytes;
}

} // namespace

// Snapshots were due by entries only: some hundred changes of a configuration of many routes filled
// the disks of all control processes, none of which could write any more.
TEST(log_size, staysWithinHalfOfADiskForManyLargeChanges)
{
    fleet_group group(3);
    constexpr std::uint64_t changes = 800;
    std::size_t most = 0;
    for (std::uint64_t version = 1; version <= changes; ++version) {
        ASSERT_EQ(group.call(configure_call{largeConfiguration(version)}).outcome,
                  fleet_outcome::accepted)
                << version;
        for (const auto &disk : group.disks) {
            most = std::max(most, bytesOnDisk(*disk));
        }
    }
    EXPECT_LE(most, mostBytes);
    EXPECT_GE(encode(fleet_command(adopt_configuration{largeConfiguration(1)})).size() * changes,
              mostBytes);
    for (std::size_t number = 0; number < group.nodes.size(); ++number) {
        group.crash(number);
        group.start(number, false);
    }
    group.run(seconds(5));
    ASSERT_GE(group.leader(), 0);
    EXPECT_EQ(group.call(read_configuration_call{}).text, largeConfiguration(changes).source);
}

// A process that was away while the others dropped entries by their size catches up.
TEST(log_size, leavesAProcessBehindThatCatchesUp)
{
    fleet_group group(3);
    const auto away = static_cast<std::size_t>((group.leader() + 1) % 3);
    group.crash(away);
    for (std::uint64_t version = 1; version <= 150; ++version) {
        group.call(configure_call{largeConfiguration(version)});
    }
    group.start(away, false);
    group.run(seconds(8));
    EXPECT_EQ(group.nodes[away]->server->state().configuration.version, 150U);
    EXPECT_LE(bytesOnDisk(*group.disks[away]), mostBytes);
}

} // namespace mango::test
