#pragma once

#include <cstdint>
#include <map>
#include <vector>

namespace mango {

// The part of one worker's request slots that one entry session may use.
struct credit_share
{
    // The most that the session may have in use, as far as the leader can know.
    std::uint32_t granted = 0;
    // What it is to have.
    std::uint32_t target = 0;
    // The worker has confirmed that it takes requests of the session.
    bool listed = false;
    // The session's lease has run out; what it holds comes back when the worker has confirmed that
    // it takes no more of its requests.
    bool fenced = false;
};

// Who may use the request slots of one worker. The sum of all grants never exceeds the slots.
struct credit_account
{
    std::uint32_t capacity = 0;
    std::map<std::uint64_t, credit_share> shares;
};

// The need of one session for slots of the pools that a worker serves.
struct session_demand
{
    std::uint64_t session = 0;
    std::uint32_t weight = 1;
};

// The sum of all grants.
std::uint32_t grantedCredits(const credit_account &account);

// Sets the targets of the live sessions, in proportion to their demands; the remainder goes to a
// session chosen by `rotation`, so that it spreads over the workers.
void divideCredits(credit_account &account, const std::vector<session_demand> &demands,
                   std::uint64_t rotation);

// Raises grants towards the targets, as far as slots are free.
void raiseGrants(credit_account &account);

// Takes in what a live session says it holds after it obeyed the last grant.
void updateHeldCredits(credit_account &account, std::uint64_t session, std::uint32_t held);

// Ends a session's share for good.
void fenceSession(credit_account &account, std::uint64_t session);

// The worker confirmed a list of sessions: those on it are listed, and of fenced ones only what
// still runs there remains granted.
void confirmSessions(credit_account &account, const std::vector<std::uint64_t> &confirmed,
                     const std::map<std::uint64_t, std::uint32_t> &running);

} // namespace mango
