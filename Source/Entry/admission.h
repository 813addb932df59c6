#pragma once

#include "Entry/entry_state.h"

namespace mango {

// Takes a credit on a worker of the pool, or queues the request by priority until one is free.
// Fails with noWorker when the pool has no workers, at once with overloaded when the request is not
// expected to be answered before the deadline or the queue is full, later with overloaded when the
// waiting request is shed, and with deadlinePassed when the deadline comes first. Workers in
// `tried` are chosen only when no other one has a free credit.
boost::asio::awaitable<result<credit, refusal_reason>>
acquireCredit(entry_state &entry, std::string pool, priority_class priority, steady_time deadline,
              std::set<std::string> tried);

// Gives a credit back and, while the lease holds, grants free credits to waiting requests. A credit
// of an earlier generation of its worker is dropped.
void releaseCredit(entry_state &entry, const credit &held);

// Grants free credits to waiting requests; to be called after the view has changed.
void grantFreeCredits(entry_state &entry);

// Refuses all waiting requests as overloaded; to be called when the lease has expired.
void refuseWaitingRequests(entry_state &entry);

// The Retry-After time of a refused request: the expected queueing time at low priority, between
// 1 s and 30 s; 5 s when the pool is unknown.
std::chrono::seconds retryAfter(const entry_state &entry, const std::string &pool);

// Whether the worker may get new requests: it is serving and its failure domain is in service.
bool mayDispatchTo(const entry_state &entry, const upstream_worker &worker);

} // namespace mango
