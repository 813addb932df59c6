#pragma once

#include <memory>

#include "Jobs/job_records.h"
#include "Scheduling/customer_shares.h"

namespace mango {

struct dispatch_state;
struct ready_step;

// What the customers of the configuration have running and have handed in, as the leader knows it.
// Each leadership builds it anew: runs from the replicated state, which holds them before they are
// started, and the rates from the jobs that are handed in from then on.
struct customer_ledger
{
    std::uint64_t configurationVersion = 0;
    std::map<customer_id, customer_terms> terms;
    std::map<customer_id, resource_totals> running;
    std::map<customer_id, submission_rate> rates;
    // The customers above their share in this round.
    std::set<customer_id> aboveShare;
    // The open jobs beyond the rate of their customers.
    std::set<std::uint64_t> jobsBeyondRate;
    // The customers and resources of the runs.
    std::map<run_key, std::pair<customer_id, resource_amounts>> runs;
    // By customer: when the log last reported that its quota keeps tasks waiting.
    std::map<customer_id, steady_time> quotaLoggedAt;
};

// Takes over the terms of a new configuration and decides who is above its share; at the beginning
// of a scheduling round. A customer that the configuration does not have any more keeps its terms
// for what it has left.
void updateCustomers(dispatch_state &state);

// Counts a job against the rate of its customer. One that this leader did not see arrive counts as
// within it.
void countCustomerJob(dispatch_state &state, std::uint64_t job, const queue_parameters &queue,
                      steady_time knownSince);
void forgetCustomerJob(dispatch_state &state, std::uint64_t job);

// Adds a run to what its customer has running, and takes it off again.
void countCustomerRun(dispatch_state &state, const run_key &key, const resource_amounts &resources);
void forgetCustomerRun(dispatch_state &state, const run_key &key);

// Returns true when the quota of the job's customer lets that many tasks of the step start; if not,
// reports it.
bool mayStart(dispatch_state &state, const ready_step &ready, std::uint64_t tasks);

// Returns true when steps of the job go after those of other customers.
bool yieldsToOthers(const dispatch_state &state, std::uint64_t job, const queue_parameters &queue);

// Sets the metrics of the customers.
void exportCustomers(dispatch_state &state);

} // namespace mango
