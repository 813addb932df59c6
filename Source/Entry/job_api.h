#pragma once

#include "Entry/control_client.h"
#include "Entry/dispatch.h"

namespace mango {

// Submits a request of a batch route as a job. Responds with 202 and the job id, 400 for an invalid
// body, 422 when the job is refused, and 503 or 504 when the command was not or may not have been
// committed.
boost::asio::awaitable<http_response> submitJob(entry_state &entry, control_client &control,
                                                const route row, dispatched_request request);

// The response for a caller whose job has that id, with the path of the job.
http_response jobResponse(unsigned status, std::uint64_t job);

// Serves GET and DELETE of a job's path: returns the job's state or cancels the job.
boost::asio::awaitable<http_response> serveJobRequest(entry_state &entry, control_client &control,
                                                      http_request request);

} // namespace mango
