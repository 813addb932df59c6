#include <gtest/gtest.h>

#include <malloc.h>

#include "Fleet/worker_registration.h"
#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

worker_record foreignWorker(const std::string &service, int number, std::size_t labels,
                            std::size_t labelBytes = 1)
{
    worker_record record;
    record.incarnation = {"p-" + std::to_string(number), milliseconds(1)};
    record.address = {"10.9.0.1", static_cast<std::uint16_t>(20'000 + number)};
    record.service = service;
    record.failureDomain = "a";
    record.capacity = {32'000, 125'000, 0};
    record.labels.assign(labels, std::string(labelBytes, 'a'));
    return record;
}

fleet_response beat(fleet_group &group, const worker_record &record, std::uint64_t sequence = 4)
{
    return group.call(heartbeat_call{{record, sequence}});
}

const std::map<std::string, worker_record> &registered(const fleet_group &group)
{
    return group.leading().state().workers;
}

// A group of one process with one service, whose registered workers may hold as much as `workers`
// of them with few labels do.
struct small_group : fleet_group
{
    explicit small_group(std::uint64_t workers)
        : fleet_group(1, 0, 1)
    {
        registrations.bytes = workers * registeredBytes(foreignWorker("desk", 0, 1));
        start(0, true);
        run(seconds(3));
        configure();
    }
};

std::size_t heapInUse()
{
    const struct mallinfo2 heap = mallinfo2();
    return heap.uordblks + heap.hblkhd;
}

} // namespace

// Each heartbeat of another writer became a record of all replicas and a session of the leader, for
// a service that no route leads to; 60 of 260,000 bytes ended all control processes.
TEST(worker_registration, keepsWorkersOfServicesThatNobodyConfigured)
{
    fleet_group group(3);
    group.configure();
    group.workers.add("w1");
    group.announce("w1");
    const std::uint64_t commands = group.leading().state().commandsApplied;
    for (int number = 0; number < 200; ++number) {
        const worker_record record = foreignWorker("plant-desk", number, 50);
        EXPECT_EQ(beat(group, record).outcome, fleet_outcome::accepted);
    }
    EXPECT_EQ(registered(group).size(), 1U);
    EXPECT_EQ(group.leading().state().commandsApplied, commands);
    group.submit(1, fleet_group::oneStep(4));
    group.run(seconds(3));
    EXPECT_EQ(group.phase(1), job_phase::completed);
}

// The service of a configured queue admits a writer, whatever it sends.
TEST(worker_registration, keepsRecordsOfAnySize)
{
    fleet_group group(3);
    group.configure();
    worker_record longName = foreignWorker("desk", 2, 1);
    longName.incarnation.id.assign(maximumWorkerNameBytes + 1, 'i');
    worker_record longDomain = foreignWorker("desk", 3, 1);
    longDomain.failureDomain.assign(maximumWorkerNameBytes + 1, 'z');
    const std::map<std::string, worker_record> excessive{
            {"52000 labels; at most 256 are allowed", foreignWorker("desk", 0, 52'000)},
            {"labels have 16500 bytes; at most 16384 are allowed",
             foreignWorker("desk", 1, 10, 1650)},
            {"the id has 256 bytes; at most 255 are allowed", longName},
            {"the failure domain has 256 bytes; at most 255 are allowed", longDomain}};
    for (const auto &[reason, record] : excessive) {
        for (std::size_t process = 0; process < group.nodes.size(); ++process) {
            const fleet_response response = group.call(process, heartbeat_call{{record, 4}});
            EXPECT_EQ(response.outcome, fleet_outcome::invalid);
            EXPECT_EQ(response.text, reason);
        }
    }
    EXPECT_TRUE(registered(group).empty());
    EXPECT_EQ(beat(group, foreignWorker("desk", 4, maximumWorkerLabels)).outcome,
              fleet_outcome::accepted);
    EXPECT_EQ(registered(group).size(), 1U);
}

// Small records without end fill the memory as well. Workers that are registered go on to be heard,
// and to announce that they drain.
TEST(worker_registration, growsWithoutEndByTheNumberOfWorkers)
{
    small_group group(100);
    for (int number = 0; number < 150; ++number) {
        const auto outcome = beat(group, foreignWorker("desk", number, 1)).outcome;
        EXPECT_EQ(outcome, number < 100 ? fleet_outcome::accepted : fleet_outcome::unavailable);
    }
    EXPECT_EQ(registered(group).size(), 100U);
    worker_record draining = foreignWorker("desk", 7, 1);
    draining.draining = true;
    EXPECT_EQ(beat(group, draining, 5).outcome, fleet_outcome::accepted);
    EXPECT_TRUE(registered(group).at("p-7").draining);
    worker_record larger = foreignWorker("desk", 8, 200, 30);
    EXPECT_EQ(beat(group, larger, 5).outcome, fleet_outcome::unavailable);
    EXPECT_EQ(registered(group).at("p-8").labels.size(), 1U);
}

// Workers that have gone leave their room to others, and a process that starts again counts what
// its log and snapshot hold.
TEST(worker_registration, neverFreesTheRoomOfFormerWorkers)
{
    small_group group(10);
    for (int number = 0; number < 10; ++number) {
        beat(group, foreignWorker("desk", number, 1));
    }
    group.crash(0);
    group.start(0, false);
    group.run(seconds(3));
    EXPECT_EQ(beat(group, foreignWorker("desk", 10, 1)).outcome, fleet_outcome::unavailable);
    group.run(seconds(70));
    EXPECT_EQ(beat(group, foreignWorker("desk", 10, 1)).outcome, fleet_outcome::accepted);
}

// A worker may be started before the operator configures its service, and a job goes on to need
// workers of a service that the configuration has dropped.
TEST(worker_registration, leavesOutWorkersThatAreNeeded)
{
    fleet_group group(3);
    EXPECT_EQ(beat(group, foreignWorker("desk", 0, 1)).outcome, fleet_outcome::accepted);
    EXPECT_EQ(registered(group).size(), 1U);
    group.configure();
    group.submit(1, fleet_group::oneStep(1));
    fleet_configuration changed = fleet_group::configuration(2);
    changed.services[0].name = "counter";
    changed.routes[0].service = "counter";
    group.call(configure_call{changed});
    beat(group, foreignWorker("desk", 1, 1));
    EXPECT_EQ(registered(group).size(), 2U);
    beat(group, foreignWorker("plant-desk", 2, 1));
    EXPECT_EQ(registered(group).size(), 2U);
    changed.version = 3;
    changed.services.push_back({"plant-desk", true});
    group.call(configure_call{changed});
    beat(group, foreignWorker("plant-desk", 2, 1), 5);
    EXPECT_EQ(registered(group).size(), 3U);
}

// The account of the records was a third of what they held.
TEST(worker_registration, countsRecordsByTheirText)
{
    const std::vector<std::pair<std::size_t, std::size_t>> shapes{{2, 4}, {50, 30}, {256, 64}};
    for (const auto &[labels, labelBytes] : shapes) {
        const worker_record record = foreignWorker("desk", 0, labels, labelBytes);
        std::vector<worker_record> copies;
        copies.reserve(400);
        const std::size_t before = heapInUse();
        std::uint64_t counted = 0;
        for (int number = 0; number < 400; ++number) {
            copies.push_back(record);
            counted += heapBytesOf(copies.back());
        }
        const auto held = static_cast<double>(heapInUse() - before);
        EXPECT_NEAR(static_cast<double>(counted), held, held / 5)
                << labels << " labels of " << labelBytes;
    }
}

} // namespace mango::test
