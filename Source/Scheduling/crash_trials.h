#pragma once

#include <functional>

#include "Scheduling/run_placement.h"

namespace mango {

// Returns the number of workers that may have a run on trial at the same time. A worker with one
// takes no other new runs, so that many suspects at once must not close the service.
std::size_t maximumTrials(std::size_t workerCount);

// What a trial on a worker would put at risk.
struct trial_candidate
{
    // Another run has not survived its start yet, so that a crash would tell nothing.
    bool hasUnsettledRuns = false;
    // It was not heard for a while, so that it may be silent.
    bool unheard = false;
    // How often workers at its address have crashed lately.
    std::uint32_t recentCrashes = 0;
    std::uint32_t runs = 0;
    std::uint32_t longRunningRuns = 0;
    // Runs of other tasks under which workers have crashed.
    std::uint32_t suspectRuns = 0;
};

// Describes the worker of the offer with this index.
using trial_source = std::function<trial_candidate(std::size_t)>;

// Whether a trial may share its worker with other runs that have not survived their starts.
enum class trial_company : std::uint8_t { settledRuns, anyRuns };

// Returns the index of the offer for a trial of the task; -1 when there is none. Handles sound work
// beside a task that may crash its worker: takes the worker that would lose least.
int chooseTrialOffer(const std::vector<worker_offer> &offers, const trial_source &candidates,
                     const placement_request &request, trial_company company);

} // namespace mango
