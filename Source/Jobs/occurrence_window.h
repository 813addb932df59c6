#pragma once

#include "Jobs/job_records.h"

namespace mango {

// Only a window of the occurrences of a scheduled job exists at any time, so that what the job
// costs does not grow with their number. An occurrence is opened shortly before it is due, and
// closed when its tasks are done.

// Returns the number of occurrences of a job; 1 for a job without a schedule.
std::uint32_t countOccurrences(const job_graph &graph);

// Returns when an occurrence is due, since the Unix epoch; the greatest time when it exceeds what
// can be represented.
std::chrono::milliseconds dueTimeOf(const job_schedule &schedule, std::uint32_t occurrence);

// Returns the number of occurrences that are due at a time since the Unix epoch.
std::uint32_t countDueOccurrences(const job_schedule &schedule, std::chrono::milliseconds at);

// Returns how many occurrences of a job may be open at the same time: as many as have together no
// more tasks than a single job may have, but at least one.
std::uint32_t maximumOpenOccurrences(const job_graph &graph);

// Returns the number of occurrences of a scheduled job that should have been opened at a time since
// the Unix epoch: those that are due then or shortly afterwards, as far as the window has room.
std::uint32_t occurrencesToOpen(const job_state &job, std::chrono::milliseconds at);

// Opens occurrences in order until `count` have been opened or the window is full. Returns false
// and changes nothing when there is none to open.
bool openOccurrences(job_state &job, std::uint32_t count);

} // namespace mango
