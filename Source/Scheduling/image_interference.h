#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Scheduling/load_forecast.h"
#include "Scheduling/pressure_estimate.h"

namespace mango {

// What is learned of images that share workers. The tail of a lasting task grows like that of a
// queue: it is b / (1 - u), with the utilisation u as the sum of the task's own load and of what
// the tasks that fill gaps beside it add. Utilisations add up, tails don't, so that all is kept as
// utilisation.
struct interference_model
{
    // By serving image.
    std::map<image_id, pressure_estimate> pressure;
    // By job. All tasks of a lasting job are taken to serve the same users, so that their loads
    // rise and fall together.
    std::map<std::uint64_t, load_forecast> loads;
    // By serving image: the highest load seen, beyond which no forecast goes.
    std::map<image_id, double> highestLoad;
    std::map<std::string, image_id> ids;
};

// One pair of images as it is kept beyond one leader.
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

// What the model knows of pairs, and back.
std::vector<pressure_record> exportPressures(const interference_model &model);
void importPressures(interference_model &model, const std::vector<pressure_record> &known);

// The id of an image's name, new when it was never seen.
image_id imageId(interference_model &model, const std::string &name);

// A lasting task that serves users on a worker.
struct latency_critical_task
{
    image_id image = 0;
    // Its job, and its number there.
    std::uint64_t job = 0;
    std::uint32_t number = 0;
    // The cores that it asks for, in thousandths.
    std::uint32_t milliCores = 0;
    // The tail of its response times as a share of its bound.
    double tail = 0;
    // The tail covers only time in which the task was at work.
    bool settled = true;
    // For how long it has been over its bound.
    std::chrono::milliseconds violationTime{0};
    // Filled in by predictLoads(): the utilisation that is to be expected from its own load in
    // the next seconds, what the filling tasks add at full speed, and the most that is allowed.
    double load = 0;
    double added = 0;
    double limit = 1;
};

// A task that fills gaps on the same worker.
struct best_effort_task
{
    image_id image = 0;
    // The cores in use, as a share of the worker's.
    double share = 0;
    // The cores that it asks for, as a share of the worker's.
    double requestedShare = 0;
    // The share of its speed at which it may work, in percent.
    std::uint32_t pace = 100;
    std::chrono::milliseconds sincePaceChange{0};
    // The time for which it worked that a stop would lose.
    std::chrono::milliseconds unsavedWork{0};
};

// What a pair of images is taken to do; a guess until the two were seen together.
double pressureOf(const interference_model &model, image_id latencyCritical, image_id bestEffort);

// Learns from one listing of a worker.
void learnInterference(interference_model &model,
                       const std::vector<latency_critical_task> &latencyCritical,
                       const std::vector<best_effort_task> &bestEffort, steady_time now);

// Forgets the loads of jobs that were not heard of lately.
void dropStaleLoads(interference_model &model, steady_time now);

// Until an order that follows the next listing has an effect: its interval and the time of a call.
inline constexpr auto pacingHorizon = std::chrono::milliseconds(1200);
// About as long as a task that fills gaps works before it can leave again at little loss.
inline constexpr auto placementHorizon = std::chrono::milliseconds(1800);

// Fills in what is to be expected of the serving tasks from now until the horizon.
void predictLoads(const interference_model &model,
                  std::vector<latency_critical_task> &latencyCritical,
                  const std::vector<best_effort_task> &bestEffort, steady_time now,
                  std::chrono::milliseconds horizon);

// True when a task of the image can work beside the assessed serving tasks at the share of the
// worker given, without any of them passing its bound.
bool canJoin(const interference_model &model,
             const std::vector<latency_critical_task> &latencyCritical, image_id image,
             double share);

// How much of what the serving tasks may bear a task of the image would take, from 0 to 1.
double strainOf(const interference_model &model,
                const std::vector<latency_critical_task> &latencyCritical, image_id image,
                double share);

enum class pacing_action : std::uint8_t { keep, change, evict };

struct pacing_decision
{
    pacing_action step = pacing_action::keep;
    std::uint32_t pace = 100;
};

// What to do with each filling task, in their order. Answers the load of lasting tasks whose loads
// swing within seconds beside tasks of images that disturb some of them: those that disturb most
// are slowed first, and only as far as the bounds need it; those that could hardly work leave.
std::vector<pacing_decision> decidePaces(const interference_model &model,
                                         const std::vector<latency_critical_task> &latencyCritical,
                                         const std::vector<best_effort_task> &bestEffort);

} // namespace mango
