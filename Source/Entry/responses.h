#pragma once

#include "Entry/entry_state.h"

namespace mango {

// A worker's answer as the caller gets it.
http_answer finishedAnswer(http_answer answer);

// A refusal: the request certainly did not run. Says when to come back.
http_answer refusedAnswer(entry_state &entry, refusal_reason reason, const std::string &pool);

// Nobody can tell whether the request ran.
http_answer unknownAnswer(entry_state &entry, const std::string &reason);

// A JSON answer of the entry itself.
http_answer ownAnswer(unsigned status, const char *outcome, const std::string &error);

} // namespace mango
