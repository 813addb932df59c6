#include "Entry/responses.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/json.hpp>

#include "Entry/admission.h"

namespace mango {

namespace {

struct refusal_details
{
    unsigned status;
    const char *code;
    const char *message;
};

refusal_details detailsOf(refusal_reason reason)
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
    case refusal_reason::routeRemoved:
        return {503, "route_removed", "its route was removed while it waited"};
    case refusal_reason::claimFailed:
        break;
    }
    return {503, "no_claim", "its key could not be claimed in time"};
}

} // namespace

http_response entryResponse(unsigned status, const char *outcome, const std::string &error)
{
    return {status,
            {{"Content-Type", "application/json"}, {"Mango-Outcome", outcome}},
            boost::json::serialize(boost::json::object{{"error", error}, {"outcome", outcome}})
                    + "\n"};
}

http_response workerResponse(http_response response)
{
    // Only the entry sets the outcome: a header of the worker's must not reach the caller.
    std::erase_if(response.headers, [](const auto &header) {
        return boost::algorithm::istarts_with(header.first, "Mango-Outcome");
    });
    response.headers.emplace_back("Mango-Outcome", "answered");
    return response;
}

http_response refusalResponse(entry_state &entry, refusal_reason reason, const std::string &pool)
{
    const refusal_details details = detailsOf(reason);
    ++entry.metricsRegistry.at(std::string("mango_refused_total{reason=\"") + details.code + "\"}");
    http_response response = entryResponse(details.status, "not-run", details.message);
    response.headers.emplace_back("Mango-Reason", details.code);
    if (details.status == 503) {
        response.headers.emplace_back("Retry-After",
                                      std::to_string(retryAfter(entry, pool).count()));
    }
    return response;
}

http_response unknownOutcomeResponse(entry_state &entry, const std::string &reason)
{
    ++entry.metricsRegistry.at("mango_unknown_total");
    http_response response = entryResponse(504, "unknown", reason);
    response.headers.emplace_back("Retry-After", "1");
    return response;
}

} // namespace mango
