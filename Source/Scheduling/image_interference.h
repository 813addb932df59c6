#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Scheduling/load_forecast.h"
#include "Scheduling/pressure_estimate.h"

namespace mango {

// What the scheduler has learned about the interference between images that share workers. The tail
// latency of a latency-critical task is modelled like the response time of a queue, as b / (1 - u),
// where the utilisation u is the sum of the task's own load and the pressure of the best-effort
// tasks beside it. The model keeps utilisations because these add up and tail latencies do not.
struct interference_model
{
    // By latency-critical image.
    std::map<image_id, pressure_estimate> pressures;
    // By job. All tasks of a long-running job are assumed to serve the same users, so that their
    // loads rise and fall together.
    std::map<std::uint64_t, load_forecast> loads;
    // By latency-critical image: the highest load seen, which limits every forecast.
    std::map<image_id, double> peakLoads;
    std::map<std::string, image_id> imageIds;
};

// The pressure of one image on another, in the form that is stored for the next leader.
struct pressure_record
{
    std::string latencyCritical;
    std::string bestEffort;
    double value = 0;
    double variance = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(latencyCritical, bestEffort, value, variance);
    }
};

// Returns the pressures of all pairs of images that the model knows.
std::vector<pressure_record> exportPressures(const interference_model &model);

// Sets the pressures of the given pairs of images.
void importPressures(interference_model &model, const std::vector<pressure_record> &records);

// Returns the id of the image with the given name, and assigns one to a new name.
image_id imageId(interference_model &model, const std::string &name);

// A long-running task on a worker whose tail latency has a bound.
struct latency_critical_task
{
    image_id image = 0;
    std::uint64_t job = 0;
    // The task's number within the job.
    std::uint32_t number = 0;
    // The requested cores, in thousandths.
    std::uint32_t milliCores = 0;
    // The tail latency as a fraction of its bound; 0 when there is no reading.
    double tailRatio = 0;
    // The reading of the tail latency covers only time in which the task was running.
    bool settled = true;
    // For how long the tail latency has been above its bound.
    std::chrono::milliseconds violationTime{0};
    // Set by predictLoads(): the utilisation expected from the task's own load within the horizon,
    // the utilisation that the best-effort tasks add at full speed, and the upper limit for the
    // sum.
    double load = 0;
    double addedLoad = 0;
    double loadLimit = 1;
};

// A best-effort task on the same worker. It uses cores that other tasks leave unused.
struct best_effort_task
{
    image_id image = 0;
    // The cores in use, as a fraction of the worker's.
    double usedShare = 0;
    // The requested cores, as a fraction of the worker's.
    double requestedShare = 0;
    // The percentage of its full speed to which the task is limited.
    std::uint32_t throttlePercent = 100;
    std::chrono::milliseconds sinceThrottleChange{0};
    // The run time that a stop would lose.
    std::chrono::milliseconds unsavedWork{0};
};

// Returns the expected pressure of one image on another: the utilisation that it adds for each
// share of the worker in use. A prior until the two have run on one worker.
double pressureOf(const interference_model &model, image_id latencyCritical, image_id bestEffort);

// Updates the model with one report of a worker.
void learnInterference(interference_model &model,
                       const std::vector<latency_critical_task> &latencyCritical,
                       const std::vector<best_effort_task> &bestEffort, steady_time now);

// Removes the load forecasts of jobs without recent readings.
void dropStaleLoads(interference_model &model, steady_time now);

// The time until a request sent after the next report takes effect: the interval between reports
// and the duration of a call.
inline constexpr auto throttlingHorizon = std::chrono::milliseconds(1200);
// About the time that a best-effort task has to run before it can be evicted at little loss.
inline constexpr auto placementHorizon = std::chrono::milliseconds(1800);

// Sets the predicted load, the added load and the load limit of the latency-critical tasks for the
// time from now to the horizon.
void predictLoads(const interference_model &model,
                  std::vector<latency_critical_task> &latencyCritical,
                  const std::vector<best_effort_task> &bestEffort, steady_time now,
                  std::chrono::milliseconds horizon);

// The expected pressures of one best-effort image on all others, for many workers in a row.
struct image_pressures
{
    // By latency-critical image; those beyond the end have the prior.
    std::vector<double> values;
    double prior = 0;
};

// Returns the pressures of the image as pressureOf() does.
image_pressures pressuresOf(const interference_model &model, image_id bestEffort);

// Returns true when a task of the image can use the given share of the worker without any of the
// latency-critical tasks exceeding its bound. Call predictLoads() first.
bool canColocate(const interference_model &model,
                 const std::vector<latency_critical_task> &latencyCritical, image_id image,
                 double share);
bool canColocate(const image_pressures &pressures,
                 const std::vector<latency_critical_task> &latencyCritical, double share);

// Returns the largest fraction, from 0 to 1, that a task of the image would use of the headroom of
// any of the latency-critical tasks. Call predictLoads() first.
double headroomFraction(const interference_model &model,
                        const std::vector<latency_critical_task> &latencyCritical, image_id image,
                        double share);
double headroomFraction(const image_pressures &pressures,
                        const std::vector<latency_critical_task> &latencyCritical, double share);

enum class throttle_action : std::uint8_t { keep, change, evict };

struct throttle_decision
{
    throttle_action action = throttle_action::keep;
    std::uint32_t throttlePercent = 100;
};

// Returns a decision for each best-effort task, in their order. Handles long-running tasks whose
// loads vary within seconds beside images of which only some interfere with them: the images with
// the highest pressure are slowed down first, and only as far as the latency bounds require it.
// Tasks that could hardly make progress are evicted.
std::vector<throttle_decision>
decideThrottling(const interference_model &model,
                 const std::vector<latency_critical_task> &latencyCritical,
                 const std::vector<best_effort_task> &bestEffort);

} // namespace mango
