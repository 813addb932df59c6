#pragma once

#include <cstdint>
#include <map>
#include <vector>

namespace mango {

// The request slots of one worker that one entry session may use.
struct credit_share
{
    // Upper bound, as far as the leader can know, of the slots that the session uses.
    std::uint32_t granted = 0;
    // The slots that the session should have.
    std::uint32_t target = 0;
    // The worker has confirmed that it accepts requests of the session.
    bool confirmed = false;
    // The session's lease has expired. Its slots become free again once the worker has confirmed
    // that it accepts no more of the session's requests.
    bool fenced = false;
};

// The request slots of one worker by session. A grant is raised only as long as the sum of all
// grants stays within the capacity, so that sessions never overcommit the worker.
struct credit_account
{
    std::uint32_t capacity = 0;
    std::map<std::uint64_t, credit_share> shares;
};

// The demand of one session for the pools that a worker serves.
struct session_demand
{
    std::uint64_t session = 0;
    std::uint32_t weight = 1;
};

// Returns the sum of all grants.
std::uint32_t grantedCredits(const credit_account &account);

// Sets the targets of the live sessions in proportion to their demands. The slots left over by
// rounding go to sessions starting at index `rotation`, so that they are spread over sessions when
// each worker passes another value.
void divideCredits(credit_account &account, const std::vector<session_demand> &demands,
                   std::uint64_t rotation);

// Raises the grants of confirmed sessions towards their targets as far as slots are free.
void raiseGrants(credit_account &account);

// Records the number of slots that a live session reports to hold after it applied its last grant.
// Ignored for fenced and unknown sessions.
void updateHeldCredits(credit_account &account, std::uint64_t session, std::uint32_t held);

// Marks a session as expired. It gets no further slots.
void fenceSession(credit_account &account, std::uint64_t session);

// Applies a session list that the worker has confirmed, with the number of requests of each session
// that still run there. Live sessions count as confirmed when they are on the list; fenced ones
// that are not on it keep only the slots of their running requests.
void confirmSessions(credit_account &account, const std::vector<std::uint64_t> &confirmed,
                     const std::map<std::uint64_t, std::uint32_t> &running);

} // namespace mango
