#pragma once

#include "Fleet/fleet_state.h"

namespace mango {

// What the path of a caller's call names. A job is named by its id alone, since its tasks on the
// workers are: routes may be removed, added and replaced while the job is kept. A route decides
// about new submissions and names a queue.
struct call_subject
{
    // The route of the path in the current configuration; null when there is none.
    const queue_route *route = nullptr;
    // The path is the one of the route's queue.
    bool isQueue = false;
    // The path is a place for a new job: the id follows the prefix of the route.
    bool isJobOfRoute = false;
    // The id at the end of the path; nothing when the path does not end with one.
    std::optional<std::uint64_t> job;
    // The phase and the customer of the job, also when no route leads to it any more; no phase when
    // the job is unknown, and 0 when it has no customer.
    std::optional<job_phase> phase;
    customer_id owner = 0;
};

// Returns what a path names; `route` points into the state's configuration.
call_subject subjectOf(const fleet_state &state, const std::string &host, const std::string &path);

// Returns the customer of a caller, 0 for a caller without a key; nothing when a key is needed that
// the caller lacks. Known jobs that were accepted without a key need none.
std::optional<customer_id> customerOf(const fleet_configuration &configuration,
                                      const call_subject &subject, const std::string &keyDigest);

// Returns true when the subject's job may be shown to the customer and be cancelled by it. A job
// that was accepted with a key belongs to the customer of that key, whatever the route of the path
// requires.
bool mayAccessJob(const fleet_configuration &configuration, const call_subject &subject,
                  customer_id customer);

} // namespace mango
