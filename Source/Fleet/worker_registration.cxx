#include "Fleet/worker_registration.h"

#include <algorithm>
#include <numeric>

#include "Common/heap_bytes.h"

namespace mango {

namespace {

// The machine's memory is divided by this for the registered workers.
constexpr std::uint64_t memoryDivisor = 8;
// The leader's session of a worker: its tracked state, coroutines and connection.
constexpr std::uint64_t sessionBytes = 12U << 10U;
// Nodes of the maps that hold a worker's record, sequence and incarnation numbers.
constexpr std::uint64_t indexBytes = 512;

std::string describeName(const char *field, const std::string &name)
{
    if (name.size() <= maximumWorkerNameBytes) {
        return "";
    }
    return std::string(field) + " has " + std::to_string(name.size()) + " bytes; at most "
           + std::to_string(maximumWorkerNameBytes) + " are allowed";
}

std::string describeLabels(const std::vector<std::string> &labels)
{
    if (labels.size() > maximumWorkerLabels) {
        return std::to_string(labels.size()) + " labels; at most "
               + std::to_string(maximumWorkerLabels) + " are allowed";
    }
    const auto bytes = std::accumulate(labels.begin(), labels.end(), std::size_t{0},
                                       [](std::size_t sum, const std::string &label) {
                                           return sum + label.size();
                                       });
    if (bytes > maximumWorkerLabelBytes) {
        return "labels have " + std::to_string(bytes) + " bytes; at most "
               + std::to_string(maximumWorkerLabelBytes) + " are allowed";
    }
    return "";
}

// Jobs keep the service that they were submitted for, which the configuration may have dropped.
bool isServiceInUse(const fleet_state &state, const std::string &service)
{
    const auto &configured = state.configuration.services;
    return std::any_of(configured.begin(), configured.end(),
                       [&service](const worker_service &one) {
                           return one.name == service;
                       })
           || std::any_of(state.jobs.begin(), state.jobs.end(), [&service](const auto &item) {
                  return item.second.queueParameters.service == service;
              });
}

} // namespace

registration_limits limitRegistrations(std::uint64_t memoryBytes)
{
    return {memoryBytes / memoryDivisor};
}

std::string describeExcess(const worker_record &record)
{
    for (const std::string &excess : {describeName("the id", record.incarnation.id),
                                      describeName("the service", record.service),
                                      describeName("the failure domain", record.failureDomain),
                                      describeLabels(record.labels)}) {
        if (!excess.empty()) {
            return excess;
        }
    }
    return "";
}

std::uint64_t heapBytesOf(const worker_record &record)
{
    std::uint64_t bytes = heapBytesOf(record.incarnation.id) + heapBytesOf(record.address.ip)
                          + heapBytesOf(record.failureDomain) + heapBytesOf(record.service)
                          + allocatedBytes(record.labels.capacity() * sizeof(std::string));
    for (const std::string &label : record.labels) {
        bytes += heapBytesOf(label);
    }
    return bytes;
}

std::uint64_t registeredBytes(const worker_record &record)
{
    return sessionBytes + indexBytes + 2 * (sizeof(worker_record) + heapBytesOf(record));
}

registration_verdict judgeRegistration(const fleet_state &state, const worker_record &record,
                                       std::uint64_t heldBytes, const registration_limits &limits)
{
    const auto known = state.workers.find(record.incarnation.id);
    const bool isKnown = known != state.workers.end();
    if (!isKnown && state.configuration.version > 0 && !isServiceInUse(state, record.service)) {
        return registration_verdict::unknownService;
    }
    const std::uint64_t before = isKnown ? registeredBytes(known->second) : 0;
    const std::uint64_t after = registeredBytes(record);
    const bool fits = after <= before || heldBytes + (after - before) <= limits.bytes;
    return fits ? registration_verdict::admitted : registration_verdict::noRoom;
}

} // namespace mango
