#include "Scheduling/customer_shares.h"

#include <algorithm>

namespace mango {

namespace {

// How far a customer may be above its share before others go first.
constexpr double shareTolerance = 1.25;

bool fits(std::uint64_t limit, std::uint64_t running, std::uint64_t task, std::uint64_t tasks)
{
    return limit == 0 || task == 0 || running + task * tasks <= limit;
}

double partOf(std::uint64_t amount, std::uint64_t total)
{
    return total == 0 ? 0 : static_cast<double>(amount) / static_cast<double>(total);
}

} // namespace

void addResources(resource_totals &total, const resource_amounts &task)
{
    total.milliCores += task.milliCores;
    total.memoryMb += task.memoryMb;
    total.accelerators += task.accelerators;
}

void subtractResources(resource_totals &total, const resource_amounts &task)
{
    total.milliCores -= std::min<std::uint64_t>(total.milliCores, task.milliCores);
    total.memoryMb -= std::min<std::uint64_t>(total.memoryMb, task.memoryMb);
    total.accelerators -= std::min<std::uint64_t>(total.accelerators, task.accelerators);
}

bool isWithinQuota(const resource_totals &quota, const resource_totals &running,
                   const resource_amounts &task, std::uint64_t tasks)
{
    if (tasks == 1 && running == resource_totals{}) {
        return true;
    }
    return fits(quota.milliCores, running.milliCores, task.milliCores, tasks)
           && fits(quota.memoryMb, running.memoryMb, task.memoryMb, tasks)
           && fits(quota.accelerators, running.accelerators, task.accelerators, tasks);
}

std::set<customer_id> customersAboveShare(const std::map<customer_id, resource_totals> &running,
                                          const std::map<customer_id, customer_terms> &terms)
{
    resource_totals all;
    double weights = 0;
    for (const auto &[id, amounts] : running) {
        all.milliCores += amounts.milliCores;
        all.memoryMb += amounts.memoryMb;
        all.accelerators += amounts.accelerators;
        const auto granted = terms.find(id);
        weights += granted == terms.end() ? 0 : granted->second.weight;
    }
    std::set<customer_id> above;
    for (const auto &[id, amounts] : running) {
        const auto granted = terms.find(id);
        if (granted == terms.end() || weights <= 0) {
            continue;
        }
        const double dominant = std::max({partOf(amounts.milliCores, all.milliCores),
                                          partOf(amounts.memoryMb, all.memoryMb),
                                          partOf(amounts.accelerators, all.accelerators)});
        if (dominant > shareTolerance * granted->second.weight / weights) {
            above.insert(id);
        }
    }
    return above;
}

bool countSubmission(submission_rate &rate, double weight, steady_time now)
{
    const double most = std::max(1.0, weight);
    if (!rate.updatedAt) {
        rate.allowance = most;
    } else if (now > *rate.updatedAt) {
        const std::chrono::duration<double> passed = now - *rate.updatedAt;
        rate.allowance = std::min(most, rate.allowance + passed.count() * weight);
    }
    rate.updatedAt = rate.updatedAt ? std::max(now, *rate.updatedAt) : now;
    if (rate.allowance < 1) {
        return false;
    }
    rate.allowance -= 1;
    return true;
}

} // namespace mango
