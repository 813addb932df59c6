#include "Scheduling/credits.h"

#include <algorithm>

namespace mango {

std::uint32_t grantedCredits(const credit_account &account)
{
    std::uint32_t sum = 0;
    for (const auto &[session, share] : account.shares) {
        sum += share.granted;
    }
    return sum;
}

void divideCredits(credit_account &account, const std::vector<session_demand> &demands,
                   std::uint64_t rotation)
{
    for (auto &[session, share] : account.shares) {
        share.target = 0;
    }
    std::uint64_t total = 0;
    for (const session_demand &demand : demands) {
        total += demand.weight;
    }
    if (total == 0) {
        return;
    }
    std::uint32_t assigned = 0;
    for (const session_demand &demand : demands) {
        credit_share &share = account.shares[demand.session];
        share.target =
                static_cast<std::uint32_t>(std::uint64_t{account.capacity} * demand.weight / total);
        assigned += share.target;
    }
    for (std::size_t step = 0; assigned < account.capacity; ++step, ++assigned) {
        const session_demand &demand = demands[(rotation + step) % demands.size()];
        ++account.shares[demand.session].target;
    }
}

void raiseGrants(credit_account &account)
{
    std::uint32_t granted = grantedCredits(account);
    for (auto &[session, share] : account.shares) {
        if (share.fenced || !share.confirmed || share.target <= share.granted
            || granted >= account.capacity) {
            continue;
        }
        const std::uint32_t raise =
                std::min(share.target - share.granted, account.capacity - granted);
        share.granted += raise;
        granted += raise;
    }
}

void updateHeldCredits(credit_account &account, std::uint64_t session, std::uint32_t held)
{
    const auto found = account.shares.find(session);
    if (found != account.shares.end() && !found->second.fenced) {
        found->second.granted = held;
    }
}

void fenceSession(credit_account &account, std::uint64_t session)
{
    const auto found = account.shares.find(session);
    if (found == account.shares.end()) {
        return;
    }
    found->second.fenced = true;
    found->second.target = 0;
}

void confirmSessions(credit_account &account, const std::vector<std::uint64_t> &confirmed,
                     const std::map<std::uint64_t, std::uint32_t> &running)
{
    // Requests of sessions that this leader does not know were started under an earlier leader.
    for (const auto &[session, count] : running) {
        const auto [share, added] = account.shares.try_emplace(session);
        if (added) {
            share->second.granted = count;
            share->second.fenced = true;
        }
    }
    for (auto share = account.shares.begin(); share != account.shares.end();) {
        const auto current = share++;
        const bool onList =
                std::find(confirmed.begin(), confirmed.end(), current->first) != confirmed.end();
        if (!current->second.fenced) {
            current->second.confirmed = onList;
            continue;
        }
        if (onList) {
            continue;
        }
        const auto remaining = running.find(current->first);
        current->second.granted = remaining == running.end() ? 0 : remaining->second;
        if (current->second.granted == 0) {
            account.shares.erase(current);
        }
    }
}

} // namespace mango
