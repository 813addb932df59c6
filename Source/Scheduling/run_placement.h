#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/container/flat_map.hpp>

#include "Fleet/worker_record.h"
#include "Scheduling/image_interference.h"

namespace mango {

// The resources that one worker offers in a scheduling round.
struct worker_offer
{
    const worker_record *record = nullptr;
    // Used by all runs that may be on the worker. The cores of best-effort runs do not count.
    resource_amounts used;
    // The part of the used cores that was requested by long-running tasks, in thousandths.
    std::uint32_t longRunningMilliCores = 0;
    // The number of long-running tasks by image.
    boost::container::flat_map<image_id, std::uint32_t> longRunningImages;
    // The cores requested by best-effort runs, in thousandths.
    std::uint32_t bestEffortMilliCores = 0;
    // The latency-critical tasks on the worker, with loads predicted beside its present best-effort
    // tasks.
    std::vector<latency_critical_task> latencyCritical;
    // The last runs failed or stalled, so that the worker gets only tasks of starved steps.
    bool inBackoff = false;
    // It gets one more task, and is in backoff then.
    bool oneAtATime = false;
    // Subtracted from the score for tasks of the highest priority, for others, and for tasks that
    // have failed before.
    std::int64_t urgentCost = 0;
    std::int64_t otherCost = 0;
    std::int64_t retryCost = 0;
    // Set for a worker that gets no new work at all now.
    bool unavailable = false;
};

// A request for a worker for the next task of one step, with its constraints.
struct placement_request
{
    const job_step *step = nullptr;
    const std::string *service = nullptr;
    // The number of runs of the step by worker and by failure domain.
    const std::map<worker_incarnation, std::uint32_t> *runsPerWorker = nullptr;
    const std::map<std::string, std::uint32_t> *runsPerDomain = nullptr;
    // Workers that this task should not run on again, for example because it failed there.
    const std::set<worker_incarnation> *avoidedWorkers = nullptr;
    const interference_model *interference = nullptr;
    image_id image = 0;
    // No task of the step has run for a long time although the service is mostly idle, or a
    // long-running task has waited for a long time. One task may then run beside latency-critical
    // tasks that it interferes with, where it is throttled, or on a worker in backoff.
    bool starved = false;
    // The queue has the highest priority.
    bool urgent = false;
};

// Why a worker cannot run one more task of a step.
enum class placement_obstacle : std::uint8_t {
    none,
    unavailable,
    service,
    label,
    backoff,
    // The free cores, the free memory or accelerators, or both do not suffice.
    cores,
    memory,
    coresAndMemory,
    // A best-effort task would push a latency-critical task over its bound.
    interference,
    triedBefore,
    perWorkerLimit
};
inline constexpr std::size_t placementObstacleCount = 11;

// Returns the name of the obstacle for logs and metrics.
const char *toText(placement_obstacle obstacle);

// Returns the first obstacle, in the order of the enumeration, to one more task of the step on the
// worker.
placement_obstacle findObstacle(const worker_offer &offer, const placement_request &request);

// Returns true when nothing but the resources in use could keep one more task of the step from the
// worker.
bool meetsConstraints(const worker_offer &offer, const placement_request &request);

// Returns true when the worker has enough free resources for one more task of the step and meets
// its constraints.
bool fits(const worker_offer &offer, const placement_request &request);

// Whether and how well an offer suits one more task of a step.
struct scored_offer
{
    bool fits = false;
    // Only the earlier runs of the step or of the task keep the task from the worker.
    bool excludedByRuns = false;
    // Higher is better.
    std::int64_t score = 0;
};

// Returns how well the offer suits one more task of the step.
scored_offer scoreOffer(const worker_offer &offer, const placement_request &request);

// What a short or best-effort task needs to know of an offer that has enough free resources, and
// whose worker has the service and the label and is available.
struct offer_with_room
{
    std::size_t index = 0;
    // The score for a short task, or the highest one for a best-effort task.
    std::int64_t mostScore = 0;
    std::int64_t workerMilliCores = 0;
};

// Returns the same as scoreOffer() without a look at the record of the worker, unless the step is
// long-running or earlier runs matter. `pressures` are those of the image of the request.
scored_offer scoreOfferWithRoom(const worker_offer &offer, const offer_with_room &known,
                                const placement_request &request, const image_pressures &pressures);

// Returns the pressures that scores for the request depend on; none unless it is best-effort.
image_pressures pressuresFor(const placement_request &request);

// Returns the number of workers by obstacle.
std::array<std::uint32_t, placementObstacleCount>
countObstacles(const std::vector<worker_offer> &offers, const placement_request &request);

// The result of a choice among the offers.
struct offer_choice
{
    // The index of the offer; -1 when no worker fits.
    int index = -1;
    // The number of workers that fit.
    std::uint32_t candidates = 0;
    // The number of workers that would fit but for the earlier runs of the step or of the task.
    std::uint32_t excludedByRuns = 0;
};

// A request that no worker meets, whatever runs its step has. The resources on offer only shrink
// within a round, so that until its end no worker meets a request for as much or more.
struct rejected_request
{
    const job_step *step = nullptr;
    const std::string *service = nullptr;
    image_id image = 0;
    bool starved = false;
};

// Returns true when one of the rejected requests shows that no worker meets the request.
bool isRejected(const std::vector<rejected_request> &rejected, const placement_request &request);

// Returns the best offer for one more task of the step. The policy is made for a mix of many short
// tasks and best-effort tasks beside long-running ones. Long-running tasks are spread over the
// failure domains, and those of one image share workers, so that each best-effort image finds
// workers on which it interferes with none of them. Short tasks go to workers with long-running
// tasks first, among these to those with the fewest free cores, so that large tasks find room on a
// service that is nearly full. They are spread over the other workers.
offer_choice chooseOffer(const std::vector<worker_offer> &offers, const placement_request &request);

// Returns the same, without a look at the offers when an earlier request of the round was rejected
// that asked for no more. Adds the request to the rejected ones when no worker meets it.
offer_choice chooseOffer(const std::vector<worker_offer> &offers, const placement_request &request,
                         std::vector<rejected_request> &rejected);

// What decides which doubts about a worker count for a task.
struct placement_doubts
{
    bool urgent = false;
    // The task has run elsewhere before, without success.
    bool isRetry = false;

    auto operator<=>(const placement_doubts &) const = default;
};

// Returns which doubts about a worker count for the request.
placement_doubts doubtsOf(const placement_request &request);

// Returns what earlier runs tell against the worker, to be subtracted from its score.
std::int64_t doubtCost(const worker_offer &offer, const placement_doubts &doubts);

// Returns how well the offer suits a short task whose data is in the rack, if any; higher is
// better.
std::int64_t shortTaskScore(const worker_offer &offer, const std::string &dataRack);

// Returns the highest score that the offer can have for a best-effort task whose data is in the
// rack, if any, whatever the task interferes with.
std::int64_t mostBestEffortScore(const worker_offer &offer, const std::string &dataRack);

// Returns the cores that best-effort tasks can expect on the worker, in thousandths.
std::int64_t reclaimableMilliCores(const worker_offer &offer);

// Subtracts the resources of one more task of the step from the offer.
void reserveResources(worker_offer &offer, const placement_request &request);

} // namespace mango
