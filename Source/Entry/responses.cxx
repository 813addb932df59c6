#include "Entry/responses.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/json.hpp>

#include "Entry/admission.h"

namespace mango {

namespace {

struct refusal_text
{
    unsigned status;
    const char *code;
    const char *sentence;
};

refusal_text textOf(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::noLease:
        return {503, "no_lease", "this entry cannot reach the control program"};
    case refusal_reason::noRoute:
        return {404, "no_route", "no route matches"};
    case refusal_reason::noWorker:
        return {503, "no_worker", "no worker of the pool can take it"};
    case refusal_reason::deadlinePassed:
        return {503, "deadline", "the deadline passed while it waited"};
    case refusal_reason::overloaded:
        return {503, "overloaded", "it could not be served before its deadline"};
    case refusal_reason::claimFailed:
        break;
    }
    return {503, "no_claim", "its key could not be claimed in time"};
}

} // namespace

http_answer ownAnswer(unsigned status, const char *outcome, const std::string &error)
{
    return {status,
            {{"Content-Type", "application/json"}, {"Mango-Outcome", outcome}},
            boost::json::serialize(boost::json::object{{"error", error}, {"outcome", outcome}})
                    + "\n"};
}

http_answer finishedAnswer(http_answer answer)
{
    // The outcome is the entry's word, never the worker's.
    std::erase_if(answer.headers, [](const auto &header) {
        return boost::algorithm::istarts_with(header.first, "Mango-Outcome");
    });
    answer.headers.emplace_back("Mango-Outcome", "answered");
    return answer;
}

http_answer refusedAnswer(entry_state &entry, refusal_reason reason, const std::string &pool)
{
    const refusal_text text = textOf(reason);
    ++entry.counted.at(std::string("mango_refused_total{reason=\"") + text.code + "\"}");
    http_answer answer = ownAnswer(text.status, "not-run", text.sentence);
    answer.headers.emplace_back("Mango-Reason", text.code);
    if (text.status == 503) {
        answer.headers.emplace_back("Retry-After", std::to_string(retryAfter(entry, pool).count()));
    }
    return answer;
}

http_answer unknownAnswer(entry_state &entry, const std::string &reason)
{
    ++entry.counted.at("mango_unknown_total");
    http_answer answer = ownAnswer(504, "unknown", reason);
    answer.headers.emplace_back("Retry-After", "1");
    return answer;
}

} // namespace mango
