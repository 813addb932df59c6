#pragma once

#include "Control/leader_state.h"

namespace mango {

// Throttles and evicts batch tasks on workers whose services are slowed down, and releases them
// when they are calm again; called once a window.
void relieveServices(leader_state &leader);

// Stops, with a checkpoint, the tasks that run in failure domains taken out of service.
void evacuateDomains(leader_state &leader);

// Makes room for an urgent task that fits nowhere: stops the least urgent tasks of one worker and
// keeps the room for it for a while. Does nothing for other tasks.
void makeRoomFor(leader_state &leader, const task_id &id, const job_record &job);

} // namespace mango
