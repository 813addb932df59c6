#include "Fleet/fleet_state_machine.h"

#include "Fleet/worker_registration.h"
#include "Jobs/job_memory.h"
#include "Wire/codec.h"

namespace mango {

namespace {

// Returns the id of the worker whose record the command may change; empty when there is none.
std::string workerOf(const fleet_command &change)
{
    if (const auto *registered = std::get_if<register_worker>(&change)) {
        return registered->record.incarnation.id;
    }
    const auto *removed = std::get_if<remove_worker>(&change);
    return removed == nullptr ? "" : removed->incarnation.id;
}

// Returns the jobs that the command may add or end, or whose occurrences it may open or close.
std::set<std::uint64_t> jobsOf(const fleet_command &change)
{
    std::set<std::uint64_t> jobs;
    if (const auto *submitted = std::get_if<submit_job>(&change)) {
        jobs.insert(submitted->job);
    } else if (const auto *cancelled = std::get_if<cancel_job>(&change)) {
        jobs.insert(cancelled->job);
    } else if (const auto *opened = std::get_if<open_occurrences>(&change)) {
        for (const open_occurrences::opening &one : opened->openings) {
            jobs.insert(one.job);
        }
    } else if (const auto *ended = std::get_if<end_runs>(&change)) {
        for (const end_runs::run_end &end : ended->ends) {
            jobs.insert(end.key.task.job);
        }
    } else if (const auto *explained = std::get_if<explain_silences>(&change)) {
        for (const explain_silences::explanation &one : explained->explanations) {
            jobs.insert(one.key.task.job);
        }
    }
    return jobs;
}

std::uint64_t openJobBytes(const job_state &job)
{
    return jobMemory(job.graph, job.occurrences.size()).sum();
}

} // namespace

std::optional<std::any> fleet_state_machine::apply(std::uint64_t /*index*/,
                                                   const std::string &payload)
{
    fleet_command change;
    if (!decodeFleetCommand(payload, change)) {
        return std::nullopt;
    }
    if (const auto *begun = std::get_if<begin_runs>(&change)) {
        noteBegins(m_sightings, *begun, m_clock.now());
    } else if (const auto *ended = std::get_if<end_runs>(&change)) {
        noteEnds(m_sightings, m_state, *ended, m_clock.now());
    }
    const std::string worker = workerOf(change);
    m_workerBytes -= workerBytesOf(worker);
    const fleet_command_result outcome = mango::apply(m_state, change);
    m_workerBytes += workerBytesOf(worker);
    updateOpenJobs(change);
    if (const auto *submitted = std::get_if<submit_job>(&change)) {
        m_knownSince.try_emplace(submitted->job, m_clock.now());
    }
    if (m_observer) {
        m_observer(change, outcome);
    }
    if (std::holds_alternative<remove_worker>(change)) {
        forgetWorkers(m_sightings, m_state);
    }
    // Finished jobs need no entry. Sweep only when most entries are of finished jobs, so that the
    // cost is amortized.
    if (m_knownSince.size() > 2 * m_state.jobs.size() + 1000) {
        std::erase_if(m_knownSince, [this](const auto &item) {
            return !m_state.jobs.contains(item.first);
        });
    }
    return std::any(outcome);
}

std::string fleet_state_machine::saveSnapshot()
{
    return encode(m_state);
}

bool fleet_state_machine::loadSnapshot(const std::string &bytes)
{
    fleet_state loaded;
    if (!decode(bytes, loaded)) {
        return false;
    }
    m_state = std::move(loaded);
    m_workerBytes = 0;
    for (const auto &[id, record] : m_state.workers) {
        m_workerBytes += registeredBytes(record);
    }
    m_sightings = {};
    clearOpenJobs(m_openJobs);
    for (const auto &[job, content] : m_state.jobs) {
        recordOpenJob(m_openJobs, job, openJobBytes(content));
        m_knownSince.try_emplace(job, m_clock.now());
    }
    return true;
}

void fleet_state_machine::updateOpenJobs(const fleet_command &change)
{
    for (const std::uint64_t number : jobsOf(change)) {
        const auto job = m_state.jobs.find(number);
        if (job == m_state.jobs.end()) {
            removeOpenJob(m_openJobs, number, m_clock.now());
        } else if (job->second.graph.schedule || !m_openJobs.bytesByJob.contains(number)) {
            recordOpenJob(m_openJobs, number, openJobBytes(job->second));
        }
    }
}

std::uint64_t fleet_state_machine::workerBytesOf(const std::string &id) const
{
    const auto known = m_state.workers.find(id);
    return known == m_state.workers.end() ? 0 : registeredBytes(known->second);
}

void fleet_state_machine::observe(observer callback)
{
    m_observer = std::move(callback);
}

steady_time fleet_state_machine::knownSince(std::uint64_t job) const
{
    const auto found = m_knownSince.find(job);
    return found == m_knownSince.end() ? m_clock.now() : found->second;
}

std::string encodeFleetCommand(const fleet_command &change)
{
    return encode(change);
}

bool decodeFleetCommand(const std::string &bytes, fleet_command &change)
{
    return decode(bytes, change);
}

} // namespace mango
