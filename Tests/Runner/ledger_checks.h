#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mango::test {

// One line of the ledger that a stand-in worker keeps of the requests and tasks it runs.
struct ledger_event
{
    std::int64_t wallTimeUs = 0; // Since 1970.
    std::string worker;
    std::string event;
    std::string subject;
    std::uint64_t number = 0;
};

// Reads the ledgers and sorts their events by time. Skips lines that are not complete JSON objects,
// as a killed worker may leave one at the end.
std::vector<ledger_event> readLedgers(const std::vector<std::string> &files);

// P1: a line for each time a worker held more work than the capacity it announced.
std::vector<std::string> findCapacityViolations(const std::vector<ledger_event> &events);

// P2: a line for each pair of runs of one task that overlapped in time, on any workers.
std::vector<std::string> findConcurrentRuns(const std::vector<ledger_event> &events);

// P7: a line for each further execution of a request with the same idempotency key.
std::vector<std::string> findDuplicateExecutions(const std::vector<ledger_event> &events);

// The number of events whose name starts with `eventPrefix`, on workers whose name starts with
// `workerPrefix`, from `fromUs` to `toUs` (wall time in microseconds, both inclusive).
std::size_t countEvents(const std::vector<ledger_event> &events, const std::string &eventPrefix,
                        const std::string &workerPrefix, std::int64_t fromUs, std::int64_t toUs);

} // namespace mango::test
