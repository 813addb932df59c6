#pragma once

#include "Entry/entry_state.h"

namespace mango {

// Turns a worker's response into the one for the caller, with `Mango-Outcome: answered`.
http_response workerResponse(http_response response);

// A refusal of a request that certainly did not run, with `Mango-Outcome: not-run` and the reason.
// With status 503 it has a Retry-After for the pool. Counts the refusal.
http_response refusalResponse(entry_state &entry, refusal_reason reason, const std::string &pool);

// A 504 with `Mango-Outcome: unknown`, for a request that may have run. Counts it.
http_response unknownOutcomeResponse(entry_state &entry, const std::string &reason);

// A JSON response made by the entry itself, with the outcome in the body and in Mango-Outcome.
http_response entryResponse(unsigned status, const char *outcome, const std::string &error);

} // namespace mango
