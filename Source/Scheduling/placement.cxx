#include "Scheduling/placement.h"

#include <algorithm>

namespace mango {

namespace {

// A choice compares at most that many workers that fit.
constexpr std::size_t maximumCandidates = 12;
// And looks at no more than that many before it settles for what it has.
constexpr std::size_t maximumExamined = 64;

constexpr double interferenceWeight = 2.0;
constexpr double rackWeight = 0.10;
constexpr double domainWeight = 0.02;

std::size_t groupOf(const worker_availability &room, std::size_t groupCount)
{
    const double cores = std::clamp(room.free.cores, 0.0, static_cast<double>(groupCount - 1));
    return static_cast<std::size_t>(cores);
}

std::uint32_t countAt(const std::map<std::string, std::uint32_t> &counts, const std::string &key)
{
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

// Higher is better: free share of the cores, less interference and less of the job nearby.
double scoreOf(const worker_availability &room, const job_spread &spread)
{
    const double freeShare = room.totalCores > 0 ? room.free.cores / room.totalCores : 0;
    return freeShare - interferenceWeight * room.interference
           - rackWeight * countAt(spread.tasksByRack, room.rack)
           - domainWeight * countAt(spread.tasksByDomain, room.failureDomain);
}

} // namespace

bool fits(const task_size &size, const worker_availability &room)
{
    return room.usable && size.cores <= room.free.cores && size.memoryBytes <= room.free.memoryBytes
           && size.accelerators <= room.free.accelerators && size.slots <= room.free.slots;
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

void placement_index::update(const worker_availability &room)
{
    const auto found = m_positions.find(room.name);
    const std::size_t group = groupOf(room, groupCount);
    m_rooms[room.name] = room;
    if (found != m_positions.end() && found->second.group == group) {
        return;
    }
    leaveGroup(room.name);
    m_positions[room.name] = {group, m_groups[group].size()};
    m_groups[group].push_back(room.name);
}

void placement_index::leaveGroup(const std::string &name)
{
    const auto found = m_positions.find(name);
    if (found == m_positions.end()) {
        return;
    }
    std::vector<std::string> &group = m_groups[found->second.group];
    m_positions[group.back()].place = found->second.place;
    group[found->second.place] = group.back();
    group.pop_back();
    m_positions.erase(name);
}

void placement_index::remove(const std::string &name)
{
    leaveGroup(name);
    m_rooms.erase(name);
}

const worker_availability *placement_index::find(const std::string &name) const
{
    const auto found = m_rooms.find(name);
    return found == m_rooms.end() ? nullptr : &found->second;
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
    const std::size_t lowest = std::min(groupCount - 1, static_cast<std::size_t>(size.cores));
    const std::size_t wanted = policy == placement_policy::random ? 1 : maximumCandidates;
    // The emptiest groups come first; within one, the start is random so that equal workers share.
    for (std::size_t group = groupCount; group-- > lowest;) {
        const std::vector<std::string> &names = m_groups[group];
        const std::size_t start = names.empty() ? 0 : random.below(names.size());
        for (std::size_t step = 0; step < names.size(); ++step) {
            const worker_availability &room = m_rooms.at(names[(start + step) % names.size()]);
            ++m_examined;
            if (!fits(size, room) || !allowed(room)) {
                continue;
            }
            const double score = policy == placement_policy::leastLoaded
                                         ? -static_cast<double>(room.tasks)
                                         : scoreOf(room, spread);
            ++candidates;
            if (best == nullptr || score > bestScore) {
                best = &room;
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
