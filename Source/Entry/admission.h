#pragma once

#include "Entry/entry_state.h"

namespace mango {

// Waits for a credit on a worker of the pool, the most urgent request first. Refuses at once when
// the wait would outlast the deadline. `tried` names workers to avoid when there are others.
boost::asio::awaitable<result<credit, refusal_reason>>
acquireCredit(entry_state &entry, std::string pool, priority_class priority, steady_time deadline,
              std::set<std::string> tried);

// Gives a credit back and passes it to a request that waits.
void releaseCredit(entry_state &entry, const credit &held);

// Gives free credits to requests that wait, after the view changed.
void serveWaiting(entry_state &entry);

// Refuses every request that waits, after the lease ran out.
void refuseWaiting(entry_state &entry);

// When a refused caller should come back, by the requests that wait and their service time.
std::chrono::seconds retryAfter(const entry_state &entry, const std::string &pool);

// True when the worker may be given new requests.
bool mayDispatchTo(const entry_state &entry, const worker_link &worker);

} // namespace mango
