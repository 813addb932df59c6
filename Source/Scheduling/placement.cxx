#include "Scheduling/placement.h"

#include <algorithm>

namespace mango {

namespace {

// The number of workers that fit among which a choice is made.
constexpr std::size_t maximumCandidates = 12;
// After this number of examined workers the best candidate found so far is taken.
constexpr std::size_t maximumExamined = 64;

constexpr double interferenceWeight = 2.0;
constexpr double rackWeight = 0.10;
constexpr double domainWeight = 0.02;

std::size_t bucketOf(const worker_availability &worker, std::size_t bucketCount)
{
    const double cores = std::clamp(worker.free.cores, 0.0, static_cast<double>(bucketCount - 1));
    return static_cast<std::size_t>(cores);
}

std::uint32_t countAt(const std::map<std::string, std::uint32_t> &counts, const std::string &key)
{
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

// Returns a score, where higher is better: the free fraction of the cores, minus penalties for
// interference and for tasks of the same job in the same rack or failure domain.
double scoreOf(const worker_availability &worker, const job_spread &spread)
{
    const double freeShare = worker.totalCores > 0 ? worker.free.cores / worker.totalCores : 0;
    return freeShare - interferenceWeight * worker.interference
           - rackWeight * countAt(spread.tasksByRack, worker.rack)
           - domainWeight * countAt(spread.tasksByDomain, worker.failureDomain);
}

} // namespace

bool fits(const task_size &size, const worker_availability &worker)
{
    return worker.usable && size.cores <= worker.free.cores
           && size.memoryBytes <= worker.free.memoryBytes
           && size.accelerators <= worker.free.accelerators && size.slots <= worker.free.slots;
}

std::string whyNeverFits(const task_size &size, const std::vector<task_size> &workers)
{
    task_size largest{0, 0, 0, 0};
    for (const task_size &worker : workers) {
        largest.cores = std::max(largest.cores, worker.cores);
        largest.memoryBytes = std::max(largest.memoryBytes, worker.memoryBytes);
        largest.accelerators = std::max(largest.accelerators, worker.accelerators);
        largest.slots = std::max(largest.slots, worker.slots);
        if (size.cores <= worker.cores && size.memoryBytes <= worker.memoryBytes
            && size.accelerators <= worker.accelerators && size.slots <= worker.slots) {
            return "";
        }
    }
    if (size.cores > largest.cores) {
        return "no worker of the pool has that many cores";
    }
    if (size.memoryBytes > largest.memoryBytes) {
        return "no worker of the pool has that much memory";
    }
    if (size.accelerators > largest.accelerators) {
        return "no worker of the pool has that many accelerators";
    }
    if (size.slots > largest.slots) {
        return "no worker of the pool has that many slots for batch work";
    }
    return "no single worker of the pool has all that the task needs";
}

void placement_index::update(const worker_availability &worker)
{
    const auto found = m_positions.find(worker.name);
    const std::size_t bucket = bucketOf(worker, bucketCount);
    m_workers[worker.name] = worker;
    if (found != m_positions.end() && found->second.bucket == bucket) {
        return;
    }
    removeFromBucket(worker.name);
    m_positions[worker.name] = {bucket, m_buckets[bucket].size()};
    m_buckets[bucket].push_back(worker.name);
}

void placement_index::removeFromBucket(const std::string &name)
{
    const auto found = m_positions.find(name);
    if (found == m_positions.end()) {
        return;
    }
    std::vector<std::string> &bucket = m_buckets[found->second.bucket];
    m_positions[bucket.back()].index = found->second.index;
    bucket[found->second.index] = bucket.back();
    bucket.pop_back();
    m_positions.erase(name);
}

void placement_index::remove(const std::string &name)
{
    removeFromBucket(name);
    m_workers.erase(name);
}

const worker_availability *placement_index::find(const std::string &name) const
{
    const auto found = m_workers.find(name);
    return found == m_workers.end() ? nullptr : &found->second;
}

std::optional<std::string>
placement_index::choose(const task_size &size, const job_spread &spread, placement_policy policy,
                        random_source &random,
                        const std::function<bool(const worker_availability &)> &allowed) const
{
    m_examined = 0;
    const worker_availability *best = nullptr;
    double bestScore = 0;
    std::size_t candidates = 0;
    const std::size_t lowest = std::min(bucketCount - 1, static_cast<std::size_t>(size.cores));
    const std::size_t wanted = policy == placement_policy::random ? 1 : maximumCandidates;
    // Start with the workers that have the most free cores, and at a random position within each
    // bucket, to distribute the load among equal workers.
    for (std::size_t bucket = bucketCount; bucket-- > lowest;) {
        const std::vector<std::string> &names = m_buckets[bucket];
        const std::size_t start = names.empty() ? 0 : random.below(names.size());
        for (std::size_t offset = 0; offset < names.size(); ++offset) {
            const worker_availability &worker =
                    m_workers.at(names[(start + offset) % names.size()]);
            ++m_examined;
            if (!fits(size, worker) || !allowed(worker)) {
                continue;
            }
            const double score = policy == placement_policy::leastLoaded
                                         ? -static_cast<double>(worker.tasks)
                                         : scoreOf(worker, spread);
            ++candidates;
            if (best == nullptr || score > bestScore) {
                best = &worker;
                bestScore = score;
            }
            if (candidates >= wanted || (m_examined >= maximumExamined && candidates > 0)) {
                return best->name;
            }
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->name);
}

} // namespace mango
