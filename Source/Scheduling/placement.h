#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/random_source.h"
#include "State/records.h"

namespace mango {

// How a worker is chosen among those that can hold a task.
enum class placement_policy : std::uint8_t { scored, random, leastLoaded };

// What is left of a worker, and what speaks against using it.
struct worker_availability
{
    std::string name;
    std::string failureDomain;
    std::string rack;
    double totalCores = 0;
    task_size free;
    std::uint32_t tasks = 0;
    // 0 for a quiet worker; 1 and more for one whose services are slowed down.
    double interference = 0;
    bool usable = true;
};

// How many tasks of the job being placed run in each rack and domain.
struct job_spread
{
    std::map<std::string, std::uint32_t> tasksByRack;
    std::map<std::string, std::uint32_t> tasksByDomain;
};

// Workers sorted into groups by their free cores, so that a choice looks at a few candidates only,
// however many workers there are.
class placement_index
{
public:
    // Adds a worker or replaces what is known of it.
    void update(const worker_availability &room);
    void remove(const std::string &name);
    [[nodiscard]] const worker_availability *find(const std::string &name) const;
    [[nodiscard]] std::size_t size() const
    {
        return m_rooms.size();
    }

    // A worker that can hold the task, or nothing; `allowed` may veto a worker by name.
    std::optional<std::string>
    choose(const task_size &size, const job_spread &spread, placement_policy policy,
           random_source &random,
           const std::function<bool(const worker_availability &)> &allowed) const;

    // The last choice's number of workers looked at, for the benchmark.
    [[nodiscard]] std::size_t lastExamined() const
    {
        return m_examined;
    }

private:
    static constexpr std::size_t groupCount = 65;
    struct position
    {
        std::size_t group = 0;
        std::size_t place = 0;
    };

    void leaveGroup(const std::string &name);

    std::map<std::string, worker_availability> m_rooms;
    std::map<std::string, position> m_positions;
    std::array<std::vector<std::string>, groupCount> m_groups;
    mutable std::size_t m_examined = 0;
};

// True when the room is enough for the task.
bool fits(const task_size &size, const worker_availability &room);

// Why no worker of the list could ever run the task, or an empty text when one can.
std::string whyNeverFits(const task_size &size, const std::vector<task_size> &workers);

} // namespace mango
