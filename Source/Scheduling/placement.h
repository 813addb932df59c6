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

// How a worker is chosen among those that fit a task.
enum class placement_policy : std::uint8_t { scored, random, leastLoaded };

// The free resources of a worker, and what else matters for placing a task on it.
struct worker_availability
{
    std::string name;
    std::string failureDomain;
    std::string rack;
    double totalCores = 0;
    task_size free;
    std::uint32_t tasks = 0;
    // 0 for a worker without interference; 1 or more when its services are slowed down.
    double interference = 0;
    bool usable = true;
};

// The number of tasks of the job being placed by rack and by failure domain.
struct job_spread
{
    std::map<std::string, std::uint32_t> tasksByRack;
    std::map<std::string, std::uint32_t> tasksByDomain;
};

// An index of the workers by their free cores. A choice examines only a few candidates, however
// many workers there are.
class placement_index
{
public:
    // Adds a worker or updates its entry.
    void update(const worker_availability &worker);
    void remove(const std::string &name);
    [[nodiscard]] const worker_availability *find(const std::string &name) const;
    [[nodiscard]] std::size_t size() const
    {
        return m_workers.size();
    }

    // Returns the name of a worker that fits the task, or nothing. Workers for which `allowed`
    // returns false are skipped.
    std::optional<std::string>
    choose(const task_size &size, const job_spread &spread, placement_policy policy,
           random_source &random,
           const std::function<bool(const worker_availability &)> &allowed) const;

    // Returns the number of workers that the last choice examined.
    [[nodiscard]] std::size_t lastExamined() const
    {
        return m_examined;
    }

private:
    static constexpr std::size_t bucketCount = 65;
    struct position
    {
        std::size_t bucket = 0;
        std::size_t index = 0;
    };

    void removeFromBucket(const std::string &name);

    std::map<std::string, worker_availability> m_workers;
    std::map<std::string, position> m_positions;
    std::array<std::vector<std::string>, bucketCount> m_buckets;
    mutable std::size_t m_examined = 0;
};

// Returns true when the worker is usable and its free resources are sufficient for the task.
bool fits(const task_size &size, const worker_availability &worker);

// Returns why none of the workers could ever run the task, or an empty string when one could.
std::string whyNeverFits(const task_size &size, const std::vector<task_size> &workers);

} // namespace mango
