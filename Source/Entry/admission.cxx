#include "Entry/admission.h"

#include <algorithm>

namespace mango {

namespace {

constexpr std::size_t minimumQueueLimit = 32;
constexpr std::size_t queueLimitPerCredit = 8;
constexpr auto maximumRetryAfter = std::chrono::seconds(30);

std::uint32_t usableCredits(const entry_state &entry, const pool_state &state)
{
    std::uint32_t sum = 0;
    for (const worker_handle &worker : state.workers) {
        sum += mayDispatchTo(entry, *worker) ? worker->view.credit : 0;
    }
    return sum;
}

std::optional<credit> takeCredit(entry_state &entry, pool_state &state,
                                 const std::set<std::string> &tried)
{
    std::vector<selection_candidate> candidates;
    candidates.reserve(state.workers.size());
    const steady_time now = entry.clock.now();
    for (const worker_handle &worker : state.workers) {
        const bool available = mayDispatchTo(entry, *worker);
        const bool avoided = now < worker->backoffUntil
                             || (!tried.empty() && tried.contains(worker->view.announced.name));
        candidates.push_back({worker->inUse, available ? worker->view.credit : 0,
                              worker->responseMicroseconds, worker->view.preferred, avoided});
    }
    const auto chosen = selectWorker(candidates, entry.settings.selection, entry.random);
    if (!chosen) {
        return std::nullopt;
    }
    const worker_handle &worker = state.workers[*chosen];
    ++worker->inUse;
    return credit{worker, worker->generation};
}

double meanResponseMicroseconds(const pool_state &state)
{
    double sum = 0;
    std::size_t known = 0;
    for (const worker_handle &worker : state.workers) {
        sum += worker->responseMicroseconds;
        known += worker->responseMicroseconds > 0 ? 1 : 0;
    }
    return known == 0 ? 0 : sum / double(known);
}

// Estimates the queueing time of a new request from the waiting requests of the same or a higher
// priority.
double expectedWaitMicroseconds(const pool_state &state, priority_class priority,
                                std::uint32_t credits)
{
    std::size_t ahead = 1;
    for (const waiting_request *other : state.waiting) {
        ahead += other->priority >= priority ? 1 : 0;
    }
    return meanResponseMicroseconds(state) * double(ahead) / std::max(1U, credits);
}

// The waiting request to shed in favour of one of the given priority: the newest of the lowest
// priority, or null when none has a lower priority.
waiting_request *lowestPriorityBelow(const pool_state &state, priority_class priority)
{
    if (state.waiting.empty() || state.waiting.back()->priority >= priority) {
        return nullptr;
    }
    return state.waiting.back();
}

void enqueue(pool_state &state, waiting_request &waiting)
{
    const auto position = std::find_if(state.waiting.begin(), state.waiting.end(),
                                       [&](const waiting_request *other) {
                                           return other->priority < waiting.priority;
                                       });
    state.waiting.insert(position, &waiting);
}

// Whether the mean response time is longer than the time left. Such a request is shed before it
// uses capacity of a worker.
bool cannotMeetDeadline(const entry_state &entry, const pool_state &state, steady_time deadline)
{
    const double leftMicroseconds =
            std::chrono::duration<double, std::micro>(deadline - entry.clock.now()).count();
    return leftMicroseconds < meanResponseMicroseconds(state);
}

void grantCredits(entry_state &entry, pool_state &state)
{
    while (!state.waiting.empty()) {
        if (cannotMeetDeadline(entry, state, state.waiting.front()->deadline)) {
            waiting_request *late = state.waiting.front();
            state.waiting.pop_front();
            late->shed = true;
            late->timer->cancel();
            continue;
        }
        const auto granted = takeCredit(entry, state, {});
        if (!granted) {
            return;
        }
        waiting_request *first = state.waiting.front();
        state.waiting.pop_front();
        first->granted = granted;
        first->timer->cancel();
    }
}

} // namespace

bool mayDispatchTo(const entry_state &entry, const upstream_worker &worker)
{
    return worker.view.serving
           && !entry.domainsOutOfService.contains(worker.view.announced.failureDomain);
}

boost::asio::awaitable<result<credit, refusal_reason>>
acquireCredit(entry_state &entry, std::string pool, priority_class priority, steady_time deadline,
              std::set<std::string> tried)
{
    const auto found = entry.poolStates.find(pool);
    if (found == entry.poolStates.end() || found->second.workers.empty()) {
        co_return refusal_reason::noWorker;
    }
    pool_state &state = found->second;
    if (state.waiting.empty()) {
        if (const auto granted = takeCredit(entry, state, tried)) {
            co_return *granted;
        }
    }
    const std::uint32_t credits = usableCredits(entry, state);
    const double leftMicroseconds =
            std::chrono::duration<double, std::micro>(deadline - entry.clock.now()).count();
    const double expectedMicroseconds =
            expectedWaitMicroseconds(state, priority, credits) + meanResponseMicroseconds(state);
    if (expectedMicroseconds > leftMicroseconds) {
        co_return refusal_reason::overloaded;
    }
    if (state.waiting.size() >= minimumQueueLimit + queueLimitPerCredit * credits) {
        waiting_request *shed = lowestPriorityBelow(state, priority);
        if (shed == nullptr) {
            co_return refusal_reason::overloaded;
        }
        state.waiting.remove(shed);
        shed->shed = true;
        shed->timer->cancel();
    }
    waiting_request waiting{priority, deadline, entry.clock.makeTimer(), {}, false};
    enqueue(state, waiting);
    co_await waiting.timer->waitFor(std::max(deadline - entry.clock.now(), steady_span(0)));
    if (waiting.granted) {
        co_return *waiting.granted;
    }
    state.waiting.remove(&waiting);
    co_return waiting.shed ? refusal_reason::overloaded : refusal_reason::deadlinePassed;
}

void releaseCredit(entry_state &entry, const credit &held)
{
    upstream_worker &worker = *held.worker;
    if (worker.generation == held.generation && worker.inUse > 0) {
        --worker.inUse;
    }
    for (auto &[name, state] : entry.poolStates) {
        if (!state.waiting.empty() && holdsLease(entry)) {
            grantCredits(entry, state);
        }
    }
}

void grantFreeCredits(entry_state &entry)
{
    for (auto &[name, state] : entry.poolStates) {
        grantCredits(entry, state);
    }
}

void refuseWaitingRequests(entry_state &entry)
{
    for (auto &[name, state] : entry.poolStates) {
        for (waiting_request *waiting : std::exchange(state.waiting, {})) {
            waiting->shed = true;
            waiting->timer->cancel();
        }
    }
}

std::chrono::seconds retryAfter(const entry_state &entry, const std::string &pool)
{
    const auto found = entry.poolStates.find(pool);
    if (found == entry.poolStates.end()) {
        return std::chrono::seconds(5);
    }
    const double wait = expectedWaitMicroseconds(found->second, priority_class::low,
                                                 usableCredits(entry, found->second));
    const auto seconds = std::chrono::seconds(1 + static_cast<long>(wait / 1e6));
    return std::min(seconds, maximumRetryAfter);
}

} // namespace mango
