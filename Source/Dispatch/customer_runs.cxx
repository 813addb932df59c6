#include "Dispatch/customer_runs.h"

#include <algorithm>

#include "Common/event_log.h"
#include "Common/log.h"
#include "Dispatch/task_placement.h"

namespace mango {

namespace {

constexpr auto quotaLogInterval = std::chrono::seconds(1);
// Metrics have labels for at most this many customers.
constexpr std::size_t maximumCustomersInMetrics = 200;

std::string labelOf(const std::string &metric, const customer_terms &terms)
{
    std::string name = terms.name;
    std::replace_if(
            name.begin(), name.end(),
            [](unsigned char character) {
                return character == '"' || character == '\\' || character < ' ';
            },
            '_');
    return metric + "{customer=\"" + name + "\"}";
}

void reportQuotaWait(dispatch_state &state, const ready_step &ready, const customer_terms &terms,
                     const resource_totals &running)
{
    const customer_id id = ready.committedJob->queueParameters.customer;
    const steady_time now = state.context.clock.now();
    ++state.context.metricsRegistry.at("mango_starts_kept_by_quota_total");
    steady_time &loggedAt = state.customers.quotaLoggedAt[id];
    if (now - loggedAt < quotaLogInterval) {
        return;
    }
    loggedAt = now;
    logEvent(log_part::scheduler, "quota-reached",
             {{"customer", terms.name},
              {"job", formatJobId(ready.job)},
              {"waiting", ready.tracked->waiting.size()},
              {"running_milli_cores", running.milliCores},
              {"running_memory_mb", running.memoryMb},
              {"quota_milli_cores", terms.quota.milliCores},
              {"quota_memory_mb", terms.quota.memoryMb}});
}

} // namespace

void updateCustomers(dispatch_state &state)
{
    customer_ledger &ledger = state.customers;
    const fleet_configuration &configuration = state.context.machine.state().configuration;
    if (configuration.version != ledger.configurationVersion) {
        ledger.configurationVersion = configuration.version;
        for (const customer &one : configuration.customers) {
            ledger.terms[customerId(one.name)] = {one.name, one.weight, one.quota};
        }
    }
    ledger.aboveShare = customersAboveShare(ledger.running, ledger.terms);
}

void countCustomerJob(dispatch_state &state, std::uint64_t job, const queue_parameters &queue,
                      steady_time knownSince)
{
    if (queue.customer == 0 || knownSince < state.leaderSince) {
        return;
    }
    customer_ledger &ledger = state.customers;
    const auto granted = ledger.terms.find(queue.customer);
    if (granted != ledger.terms.end()
        && !countSubmission(ledger.rates[queue.customer], granted->second.weight, knownSince)) {
        ledger.jobsBeyondRate.insert(job);
        ++state.context.metricsRegistry.at("mango_jobs_beyond_rate_total");
    }
}

void forgetCustomerJob(dispatch_state &state, std::uint64_t job)
{
    state.customers.jobsBeyondRate.erase(job);
}

void countCustomerRun(dispatch_state &state, const run_key &key, const resource_amounts &resources)
{
    const auto &jobs = state.context.machine.state().jobs;
    const auto job = jobs.find(key.task.job);
    const customer_id id = job == jobs.end() ? 0 : job->second.queueParameters.customer;
    if (id != 0 && state.customers.runs.emplace(key, std::pair(id, resources)).second) {
        addResources(state.customers.running[id], resources);
    }
}

void forgetCustomerRun(dispatch_state &state, const run_key &key)
{
    customer_ledger &ledger = state.customers;
    const auto found = ledger.runs.find(key);
    if (found == ledger.runs.end()) {
        return;
    }
    const auto &[id, resources] = found->second;
    // There is no entry for runs that use nothing.
    const auto running = ledger.running.find(id);
    if (running != ledger.running.end()) {
        subtractResources(running->second, resources);
        if (running->second == resource_totals{}) {
            ledger.running.erase(running);
        }
    }
    ledger.runs.erase(found);
}

bool mayStart(dispatch_state &state, const ready_step &ready, std::uint64_t tasks)
{
    const customer_id id = ready.committedJob->queueParameters.customer;
    const auto granted = state.customers.terms.find(id);
    if (id == 0 || granted == state.customers.terms.end()) {
        return true;
    }
    const auto running = state.customers.running.find(id);
    const resource_totals none;
    const resource_totals &used = running == state.customers.running.end() ? none : running->second;
    const job_step &step = ready.committedJob->graph.steps[ready.step];
    if (isWithinQuota(granted->second.quota, used, step.resources, tasks)) {
        return true;
    }
    reportQuotaWait(state, ready, granted->second, used);
    return false;
}

bool yieldsToOthers(const dispatch_state &state, std::uint64_t job, const queue_parameters &queue)
{
    return queue.customer != 0
           && (state.customers.aboveShare.contains(queue.customer)
               || state.customers.jobsBeyondRate.contains(job));
}

void exportCustomers(dispatch_state &state)
{
    metrics_registry &metrics = state.context.metricsRegistry;
    std::size_t exported = 0;
    for (const auto &[id, terms] : state.customers.terms) {
        if (++exported > maximumCustomersInMetrics) {
            break;
        }
        const auto found = state.customers.running.find(id);
        const resource_totals running =
                found == state.customers.running.end() ? resource_totals{} : found->second;
        metrics.at(labelOf("mango_customer_running_milli_cores", terms)) = running.milliCores;
        metrics.at(labelOf("mango_customer_running_memory_mb", terms)) = running.memoryMb;
        metrics.at(labelOf("mango_customer_quota_milli_cores", terms)) = terms.quota.milliCores;
        metrics.at(labelOf("mango_customer_above_share", terms)) =
                state.customers.aboveShare.contains(id) ? 1 : 0;
    }
}

} // namespace mango
