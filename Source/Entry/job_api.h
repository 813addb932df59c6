#pragma once

#include "Entry/control_client.h"
#include "Entry/dispatch.h"

namespace mango {

// Makes a request of a batch route a job and answers with its id.
boost::asio::awaitable<http_answer> submitJob(entry_state &entry, control_client &control,
                                              const route row, dispatched_request request);

// Shows or cancels a job.
boost::asio::awaitable<http_answer> serveJobRequest(entry_state &entry, control_client &control,
                                                    http_request request);

} // namespace mango
