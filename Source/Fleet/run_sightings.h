#pragma once

#include <map>

#include "Common/clock_source.h"
#include "Fleet/fleet_state.h"

namespace mango {

// When this process applied the begins of the runs in progress, and the last end that each worker
// reported. Local times, which are not replicated; they tell a new leader how long the runs of a
// worker had lasted that it never heard of.
struct run_sightings
{
    std::map<run_key, steady_time> begunAt;
    std::map<worker_incarnation, steady_time> lastEndAt;
};

// Records the runs of a command that is about to be applied to the state.
void noteBegins(run_sightings &sightings, const begin_runs &change, steady_time now);
void noteEnds(run_sightings &sightings, const fleet_state &state, const end_runs &change,
              steady_time now);

// Forgets workers that the state does not contain any more.
void forgetWorkers(run_sightings &sightings, const fleet_state &state);

// Returns how long the run had lasted when its worker last reported an end; 0 when that is unknown.
std::chrono::milliseconds survivalOf(const run_sightings &sightings, const run_key &key,
                                     const worker_incarnation &worker);

} // namespace mango
