#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Fleet/worker_record.h"
#include "Scheduling/image_interference.h"

namespace mango {

// What one worker offers in a scheduling round.
struct worker_offer
{
    const worker_record *record = nullptr;
    // Taken by all runs that may be there; the cores are those of runs that do not fill gaps.
    resource_amounts used;
    // The part of the used cores that lasting tasks have asked for.
    std::uint32_t lastingMilliCores = 0;
    // The lasting tasks by image.
    std::map<image_id, std::uint32_t> longRunningImages;
    // Asked for by runs that fill gaps.
    std::uint32_t fillingMilliCores = 0;
    // The lasting tasks with a bound on it, assessed beside what fills the gaps now.
    std::vector<serving_task> serving;
    // Its last runs failed or stood still, so that it gets no work but that of starved steps.
    bool resting = false;
};

// The constraints of the next task of one step.
struct placement_need
{
    const job_step *step = nullptr;
    const std::string *service = nullptr;
    // The runs of the step by worker and by failure domain.
    const std::map<worker_incarnation, std::uint32_t> *onWorkers = nullptr;
    const std::map<std::string, std::uint32_t> *onDomains = nullptr;
    // Workers that this task should not go to again, such as those where it has failed.
    const std::set<worker_incarnation> *avoided = nullptr;
    // What is known of tasks that disturb each other.
    const interference_model *interference = nullptr;
    image_id image = 0;
    // Nothing of the step has run for long while the service is mostly idle, or a lasting task has
    // waited for long: one task may come beside lasting tasks that it disturbs, and is paced there,
    // or try a worker that rests.
    bool starved = false;
};

// True when the worker has room for one more task of the step and may run it.
bool fits(const worker_offer &offer, const placement_need &need);

// A worker chosen in a round.
struct offer_choice
{
    // Its index; -1 when no worker fits.
    int at = -1;
    // The workers that fitted.
    std::uint32_t candidates = 0;
};

// The best worker for one more task of the step. Answers the load
// of many short tasks and tasks that fill gaps beside lasting ones: lasting tasks are spread over
// the failure domains, and those of one image share workers, so that each image that fills gaps
// finds workers where it disturbs none; short tasks go beside lasting ones first.
offer_choice chooseOffer(const std::vector<worker_offer> &offers, const placement_need &need);

// The cores that tasks which fill gaps can expect on the worker, in thousandths.
std::int64_t gapMilliCores(const worker_offer &offer);

// Takes the room of one more task of the step.
void takeRoom(worker_offer &offer, const placement_need &need);

} // namespace mango
