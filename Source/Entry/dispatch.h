#pragma once

#include "Entry/entry_state.h"

namespace mango {

// What became of one attempt to have a worker run a request.
enum class attempt_result : std::uint8_t { answered, notRun, unknown };

struct attempt_outcome
{
    attempt_result result = attempt_result::notRun;
    http_answer answer;
    std::string reason;
};

// One request on its way to a worker.
struct dispatched_request
{
    std::string id;
    http_request request;
    bool idempotent = false;
    steady_time deadline;
};

// Sends the request to the worker of the credit, once, and gives the credit back: at once when the
// worker has certainly nothing of it any more, else when the worker has confirmed so.
boost::asio::awaitable<attempt_outcome>
attemptOn(entry_state &entry, credit held, dispatched_request request, std::uint32_t attempt);

// What a worker knows of an attempt.
enum class attempt_state : std::uint8_t { neverRan, running, ended, answered, unreachable };

struct resolved_attempt
{
    attempt_state state = attempt_state::unreachable;
    http_answer answer;
};

// Asks a worker what became of an attempt. One that never started is barred from starting later;
// `cancel` also stops one that runs.
boost::asio::awaitable<resolved_attempt> resolveAttempt(entry_state &entry, worker_handle worker,
                                                        std::string attempt, bool cancel);

// The id that a worker knows an attempt by.
std::string attemptId(const std::string &request, std::uint32_t attempt);

} // namespace mango
