#pragma once

#include <queue>
#include <unordered_map>
#include <vector>

#include <boost/asio/use_awaitable.hpp>

#include "Wire/messages.h"
#include "Wire/network.h"

namespace mango {

// The response to a call, or why there is none.
using call_outcome = result<response_message, network_failure>;

// A call of which the caller waits for the outcome.
struct pending_call
{
    steady_time deadline{};
    // The connection that it was sent on, and how many frames the client had received before.
    std::shared_ptr<frame_connection> connection;
    std::uint64_t framesBefore = 0;
    std::optional<call_outcome> outcome;
};

// The calls of one client that have no outcome yet, by correlation. Each call is a variable of the
// coroutine that waits for it.
class pending_calls
{
public:
    // What resumes the coroutine of a call.
    using continuation =
            boost::asio::async_result<boost::asio::use_awaitable_t<>, void()>::handler_type;

    // Adds a call whose coroutine has been suspended.
    void add(std::uint64_t correlation, pending_call &call, continuation resume);
    // The call with that correlation; null when it has an outcome or is unknown.
    [[nodiscard]] pending_call *find(std::uint64_t correlation);
    // Sets the outcome of a call that has none and returns what resumes its coroutine.
    [[nodiscard]] continuation complete(std::uint64_t correlation, call_outcome outcome);
    // The correlations of all calls.
    [[nodiscard]] std::vector<std::uint64_t> correlations() const;
    // The earliest deadline of a call; nothing when there are no calls.
    [[nodiscard]] std::optional<steady_time> earliestDeadline();
    // The correlations of the calls whose deadline has passed at `now`, the earliest deadline
    // first.
    [[nodiscard]] std::vector<std::uint64_t> takeOverdue(steady_time now);
    // Destroys the coroutines of all calls.
    void clear();

private:
    struct waiting_call
    {
        pending_call *call = nullptr;
        continuation resume;
    };
    // A deadline and the correlation of its call, which may have an outcome by now.
    using deadline_entry = std::pair<steady_time, std::uint64_t>;

    std::unordered_map<std::uint64_t, waiting_call> m_calls;
    std::priority_queue<deadline_entry, std::vector<deadline_entry>, std::greater<>> m_deadlines;
};

} // namespace mango
