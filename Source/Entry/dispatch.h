#pragma once

#include "Entry/entry_state.h"

namespace mango {

// The result of one attempt to run a request on a worker; `unknown` when it may have run.
enum class attempt_result : std::uint8_t { answered, notRun, unknown };

struct attempt_outcome
{
    attempt_result result = attempt_result::notRun;
    // Only for `answered`.
    http_response response;
    // Why there is no response, as text for the caller.
    std::string reason;
};

// A request to be sent to workers.
struct dispatched_request
{
    std::string id;
    http_request request;
    // The version of the configuration in which it was matched with its route.
    std::uint64_t configVersion = 0;
    bool idempotent = false;
    steady_time deadline;
};

// Sends the request once to the worker of the credit. Gives the credit back at once when the
// attempt has certainly ended, else after the worker has confirmed that it has.
boost::asio::awaitable<attempt_outcome>
sendAttempt(entry_state &entry, credit held, dispatched_request request, std::uint32_t attempt);

// What a worker says about an attempt; `unreachable` when it gave no valid response.
enum class attempt_state : std::uint8_t { neverRan, running, ended, answered, unreachable };

struct resolved_attempt
{
    attempt_state state = attempt_state::unreachable;
    http_response response;
};

// Asks a worker about the state of an attempt. The worker blocks an attempt that has not started,
// so that it never runs later. `cancel` also stops a running one.
boost::asio::awaitable<resolved_attempt> resolveAttempt(entry_state &entry, worker_handle worker,
                                                        std::string attempt, bool cancel);

// The id of an attempt of a request, as sent to workers in Mango-Attempt.
std::string attemptId(const std::string &request, std::uint32_t attempt);

} // namespace mango
