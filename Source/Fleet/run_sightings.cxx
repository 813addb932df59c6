#include "Fleet/run_sightings.h"

#include <algorithm>

namespace mango {

namespace {

const active_run *findActiveRun(const fleet_state &state, const run_key &key)
{
    const auto job = state.jobs.find(key.task.job);
    const task_state *task = job == state.jobs.end() ? nullptr : findTask(job->second, key.task);
    if (task == nullptr) {
        return nullptr;
    }
    const auto run =
            std::find_if(task->active.begin(), task->active.end(), [&key](const active_run &one) {
                return one.run == key.run;
            });
    return run == task->active.end() ? nullptr : &*run;
}

} // namespace

void noteBegins(run_sightings &sightings, const begin_runs &change, steady_time now)
{
    for (const begin_runs::run_start &run : change.runs) {
        sightings.begunAt.try_emplace(run.key, now);
    }
}

void noteEnds(run_sightings &sightings, const fleet_state &state, const end_runs &change,
              steady_time now)
{
    for (const end_runs::run_end &end : change.ends) {
        sightings.begunAt.erase(end.key);
        const active_run *run = findActiveRun(state, end.key);
        if (run != nullptr && isReported(end.outcome)) {
            sightings.lastEndAt[run->worker] = now;
        }
    }
}

void forgetWorkers(run_sightings &sightings, const fleet_state &state)
{
    std::erase_if(sightings.lastEndAt, [&state](const auto &item) {
        const auto known = state.workers.find(item.first.id);
        return known == state.workers.end() || known->second.incarnation != item.first;
    });
}

std::chrono::milliseconds survivalOf(const run_sightings &sightings, const run_key &key,
                                     const worker_incarnation &worker)
{
    const auto begun = sightings.begunAt.find(key);
    const auto end = sightings.lastEndAt.find(worker);
    if (begun == sightings.begunAt.end() || end == sightings.lastEndAt.end()) {
        return std::chrono::milliseconds(0);
    }
    return std::max(
            std::chrono::milliseconds(0),
            std::chrono::duration_cast<std::chrono::milliseconds>(end->second - begun->second));
}

} // namespace mango
