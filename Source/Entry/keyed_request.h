#pragma once

#include "Entry/control_client.h"
#include "Entry/dispatch.h"

namespace mango {

// Returns the key under which a request is recorded: its Idempotency-Key with its method and path,
// which stay the same when the routes change. Empty when the request has no Idempotency-Key.
std::string recordKeyOf(const http_request &request);

// Returns the request as it was matched with its route, for the commands that are refused once the
// route has been removed.
routed_request routedRequestOf(const dispatched_request &request);

// Returns the response to a request that is not run because its route was removed while it waited.
// Its caller may send it again if another route leads to a pool by now.
http_response routeRemovedResponse(entry_state &entry, const http_request &request,
                                   const std::string &pool);

// Serves a request that must run at most once and has an Idempotency-Key. Claims the key for one
// attempt on one worker before dispatching the request, and stores the response before sending it
// to the caller, so that a resend to any entry gets the same response.
boost::asio::awaitable<http_response> serveKeyed(entry_state &entry, control_client &control,
                                                 const route row, dispatched_request request);

// Serves a request for which there is no route. One with an Idempotency-Key may be the resend of a
// request that ran, or of a job that was accepted, before its route was removed: it gets that
// response.
boost::asio::awaitable<http_response> serveWithoutRoute(entry_state &entry, control_client &control,
                                                        http_request request);

} // namespace mango
