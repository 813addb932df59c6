#include "Entry/control_client.h"

#include <algorithm>

#include "Common/log.h"
#include "Entry/admission.h"

namespace mango {

namespace asio = boost::asio;

namespace {

constexpr auto reportTimeout = std::chrono::milliseconds(300);
constexpr auto proposalTimeout = std::chrono::milliseconds(1500);
constexpr auto retryInterval = std::chrono::milliseconds(30);

} // namespace

control_client::control_client(entry_state &entry, network &links)
    : m_entry(entry)
{
    for (const host_address &address : entry.settings.control) {
        m_clients.push_back(std::make_shared<rpc_client>(entry.executor, entry.clock, links,
                                                         entry.events.stamps(), address));
    }
}

void control_client::tryNextReplica()
{
    m_current = (m_current + 1) % m_clients.size();
}

asio::awaitable<result<response_message, network_failure>>
control_client::invoke(call message, steady_span timeout)
{
    const std::size_t used = m_current;
    auto answered = co_await m_clients[used]->invoke(message, timeout);
    const bool notServed =
            failed(answered) || std::holds_alternative<not_leader>(valueOf(answered));
    if (notServed && m_current == used) {
        tryNextReplica();
    }
    co_return answered;
}

asio::awaitable<bool> control_client::reportOnce(bool complete)
{
    const entry_report report = buildReport(m_entry, complete);
    const steady_time sentAt = m_entry.clock.now();
    const call message{0, report};
    const auto answered = co_await invoke(message, reportTimeout);
    const entry_view *view =
            failed(answered) ? nullptr : std::get_if<entry_view>(&valueOf(answered));
    if (view == nullptr) {
        co_return false;
    }
    if (view->needsCompleteReport) {
        if (complete) {
            co_return false;
        }
        const bool respondedAgain = co_await reportOnce(true);
        co_return respondedAgain;
    }
    const bool hadLease = holdsLease(m_entry);
    acknowledgeReport(m_entry, report);
    applyView(m_entry, *view, sentAt);
    if (!hadLease) {
        m_entry.events.record("entry has a lease", {"", "", m_entry.settings.name, ""});
    }
    co_return true;
}

asio::awaitable<void> control_client::runReports()
{
    bool complete = true;
    while (!m_stopping) {
        const bool hadLease = holdsLease(m_entry);
        const bool answered = co_await reportOnce(complete);
        complete = !answered;
        if (hadLease && !holdsLease(m_entry)) {
            logWarn(log_part::entry,
                    "Lease expired; refusing requests until the control leader renews it.");
            refuseWaitingRequests(m_entry);
            m_entry.events.record("entry lost its lease", {"", "", m_entry.settings.name, ""});
        }
        if (!answered) {
            co_await m_entry.clock.sleepFor(retryInterval);
        } else if (m_entry.announcements.empty()) {
            co_await m_entry.reportWake.waitFor(m_entry.settings.reportInterval);
        }
    }
}

asio::awaitable<void> control_client::deregister()
{
    m_stopping = true;
    entry_report report = buildReport(m_entry, true);
    report.leaving = true;
    report.holdings.clear();
    const call message{0, report};
    for (std::size_t attempt = 0; attempt < m_clients.size(); ++attempt) {
        const auto answered = co_await invoke(message, reportTimeout);
        if (!failed(answered) && std::holds_alternative<entry_view>(valueOf(answered))) {
            co_return;
        }
    }
}

asio::awaitable<result<command_result, control_failure>>
control_client::propose(command change, steady_time deadline)
{
    bool mayBeCommitted = false;
    const call message{0, propose_request{std::move(change)}};
    while (m_entry.clock.now() < deadline) {
        const steady_span left = deadline - m_entry.clock.now();
        const auto answered =
                co_await invoke(message, std::min<steady_span>(left, proposalTimeout));
        if (failed(answered)) {
            const auto reason = failureOf(answered).reason;
            mayBeCommitted = mayBeCommitted || reason != network_failure::kind::connectFailed;
        } else if (const auto *outcome = std::get_if<command_result>(&valueOf(answered))) {
            co_return *outcome;
        } else if (std::holds_alternative<uncertain_outcome>(valueOf(answered))) {
            mayBeCommitted = true;
        }
        co_await m_entry.clock.sleepFor(retryInterval);
    }
    co_return mayBeCommitted ? control_failure::uncertain : control_failure::notCommitted;
}

asio::awaitable<result<std::optional<std::string>, control_failure>>
control_client::queryJob(std::uint64_t job, steady_time deadline)
{
    const call message{0, job_request{job}};
    while (m_entry.clock.now() < deadline) {
        const auto answered = co_await invoke(message, reportTimeout);
        const auto *found =
                failed(answered) ? nullptr : std::get_if<job_response>(&valueOf(answered));
        if (found != nullptr) {
            co_return found->known ? std::optional(found->text) : std::nullopt;
        }
        co_await m_entry.clock.sleepFor(retryInterval);
    }
    co_return control_failure::notCommitted;
}

asio::awaitable<result<key_response, control_failure>>
control_client::queryKey(key_request request, steady_time deadline)
{
    const call message{0, std::move(request)};
    while (m_entry.clock.now() < deadline) {
        const auto answered = co_await invoke(message, reportTimeout);
        const auto *found =
                failed(answered) ? nullptr : std::get_if<key_response>(&valueOf(answered));
        if (found != nullptr) {
            co_return *found;
        }
        co_await m_entry.clock.sleepFor(retryInterval);
    }
    co_return control_failure::notCommitted;
}

} // namespace mango
