#include "Wire/pending_calls.h"

#include <algorithm>

namespace mango {

void pending_calls::add(std::uint64_t correlation, pending_call &call, continuation resume)
{
    m_deadlines.emplace(call.deadline, correlation);
    m_calls.emplace(correlation, waiting_call{&call, std::move(resume)});
}

pending_call *pending_calls::find(std::uint64_t correlation)
{
    const auto found = m_calls.find(correlation);
    return found == m_calls.end() ? nullptr : found->second.call;
}

pending_calls::continuation pending_calls::complete(std::uint64_t correlation, call_outcome outcome)
{
    auto taken = m_calls.extract(correlation);
    taken.mapped().call->outcome = std::move(outcome);
    return std::move(taken.mapped().resume);
}

std::vector<std::uint64_t> pending_calls::correlations() const
{
    std::vector<std::uint64_t> all;
    all.reserve(m_calls.size());
    for (const auto &[correlation, waiting] : m_calls) {
        all.push_back(correlation);
    }
    std::sort(all.begin(), all.end());
    return all;
}

std::optional<steady_time> pending_calls::earliestDeadline()
{
    while (!m_deadlines.empty() && !m_calls.contains(m_deadlines.top().second)) {
        m_deadlines.pop();
    }
    return m_deadlines.empty() ? std::nullopt : std::optional(m_deadlines.top().first);
}

std::vector<std::uint64_t> pending_calls::takeOverdue(steady_time now)
{
    std::vector<std::uint64_t> overdue;
    while (!m_deadlines.empty() && m_deadlines.top().first <= now) {
        if (m_calls.contains(m_deadlines.top().second)) {
            overdue.push_back(m_deadlines.top().second);
        }
        m_deadlines.pop();
    }
    return overdue;
}

void pending_calls::clear()
{
    // A coroutine that is destroyed may own the client and with it these calls.
    const auto calls = std::exchange(m_calls, {});
    m_deadlines = {};
}

} // namespace mango
