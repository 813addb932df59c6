#pragma once

#include "Dispatch/dispatch_state.h"

namespace mango {

// Records that the worker has refused the start of the run for lack of resources, and limits what
// it is offered with.
void recordRoomRefusal(dispatch_state &state, const tracked_worker_handle &worker,
                       const tracked_run &run);

// Records that the worker has accepted the start of the run.
void recordRoomAccepted(dispatch_state &state, const tracked_worker_handle &worker,
                        const tracked_run &run);

// Takes over the record that a worker has announced.
void adoptAnnouncedRecord(const dispatch_state &state, tracked_worker &worker,
                          const worker_record &record);

// Returns true while a worker that has refused a start for lack of resources has not answered the
// next one.
bool awaitsStartAnswer(const tracked_worker &worker);

// Returns true while the worker is offered with less than it announces.
bool isLimited(const tracked_worker &worker, steady_time now);

// Returns the resources that count as used in the worker's offer: those of its runs, and what it
// announces beyond its observed capacity.
resource_amounts usedInOffer(const tracked_worker &worker, steady_time now);

} // namespace mango
