#pragma once

#include <map>
#include <optional>
#include <set>

#include "Common/clock_source.h"
#include "Fleet/customer.h"

namespace mango {

// What the configuration grants a customer.
struct customer_terms
{
    std::string name;
    double weight = 1;
    resource_totals quota;
};

// Adds the resources of tasks to a total, or takes them off.
void addResources(resource_totals &total, const resource_amounts &task);
void subtractResources(resource_totals &total, const resource_amounts &task);

// Returns true when a customer that has `running` may start that many tasks more. A single task may
// start beside nothing, also when it alone exceeds the quota, since it would never run otherwise.
bool isWithinQuota(const resource_totals &quota, const resource_totals &running,
                   const resource_amounts &task, std::uint64_t tasks);

// Returns the customers that have more running than their share. Handles workers that are full: the
// waiting steps of these customers go after those of the others of the same priority. The share of
// a customer is the greatest of its shares of cores, memory and accelerators among all that
// customers have running (dominant resource fairness), compared with its weight among those of the
// customers that have work. A customer counts as above its share only beyond a tolerance, so that
// the deadlines of jobs decide among customers that are about even.
std::set<customer_id> customersAboveShare(const std::map<customer_id, resource_totals> &running,
                                          const std::map<customer_id, customer_terms> &terms);

// Counts the jobs that a customer hands in against its weight, in jobs a second.
struct submission_rate
{
    // The jobs that may be handed in at `updatedAt`.
    double allowance = 0;
    std::optional<steady_time> updatedAt;
};

// Counts a job and returns true when it is within the rate. Handles a customer that floods its
// queue: what it hands in beyond its weight goes after the jobs of others. The allowance for one
// second can be saved.
bool countSubmission(submission_rate &rate, double weight, steady_time now);

} // namespace mango
