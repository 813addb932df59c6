#pragma once

#include "Control/leader_state.h"

namespace mango {

// Throttles and evicts batch tasks on workers whose services are slowed down, and releases them
// when they are calm again; called once a window.
void relieveServices(leader_state &leader);

// Stops, with a checkpoint, the tasks that run in failure domains taken out of service.
void evacuateDomains(leader_state &leader);

// Has a task stopped with a checkpoint, once; `why` labels the counter and the event.
void stopRun(leader_state &leader, worker_state &worker, const task_id &id, const char *why);

// The tasks of a worker that may be chosen as victims.
std::vector<eviction_candidate> candidatesOn(const leader_state &leader,
                                             const worker_state &worker);

// Makes room for an urgent task that fits nowhere: stops the least urgent tasks of one worker and
// keeps the room for it for a while. Does nothing for other tasks.
void makeRoomFor(leader_state &leader, const task_id &id, const job_record &job);

} // namespace mango
