#pragma once

#include <variant>

#include <boost/asio/awaitable.hpp>

#include "Common/clock_source.h"
#include "Fleet/worker_record.h"

namespace mango {

// A time on a worker's own clock.
using worker_time = std::chrono::milliseconds;

// What a worker answered to an order.
enum class worker_call_result : std::uint8_t {
    done,
    // It has obeyed a newer leader.
    staleFencingToken,
    // It has started, stopped or ended this run or a newer one before.
    staleRun,
    // The order came after its deadline.
    deadlineExceeded,
    insufficientResources,
    ticketRejected,
    // The worker did not understand the order.
    malformed,
    // The worker is unhealthy and has done nothing.
    unhealthy,
    // Another life of a worker is at the address.
    wrongIncarnation,
    // The order did not reach the worker.
    neverSent,
    // No answer came: the order may have been carried out, or may be later.
    unanswered
};

std::string toText(worker_call_result result);

struct worker_response
{
    worker_call_result result = worker_call_result::unanswered;
    // The worker's clock when it answered, if it said so.
    std::optional<worker_time> clock;
};

// Which worker is called, and in whose name.
struct worker_call_target
{
    worker_incarnation incarnation;
    host_address address;
    // The leader's term; a worker does nothing for a term that is lower than one it has seen.
    std::uint64_t fencingToken = 0;
};

struct start_run_request
{
    run_key key;
    std::string specification;
    // The order is void after that.
    worker_time deadline{0};
    std::string checkpoint;
    // The permission of a queue's policy; empty when it needs none.
    std::string ticket;
};

// Renews the worker's lease and asks for what runs and what has ended.
struct renew_lease_request
{
    // All that runs is killed when no later deadline has come by then.
    std::optional<worker_time> deadline;
    // Ends up to that number are forgotten by the worker.
    std::uint64_t acknowledgedEnds = 0;
    // The worker may wait that long for an end before it answers.
    std::chrono::milliseconds wait{0};
};

// A run that a worker lists.
struct reported_run
{
    run_key key;
    std::string checkpoint;
    // How much of the work is done; for a lasting task 100 when it is at work.
    std::uint32_t progressPercent = 0;
    // Over the last half second: the tail of response times in milliseconds for a task that
    // serves, else the cores in use in thousandths.
    std::uint32_t recentLoad = 0;
};

// A run's end that a worker lists until it is acknowledged.
struct reported_end
{
    std::uint64_t number = 0;
    run_key key;
    run_outcome outcome = run_outcome::done;
    std::string checkpoint;
};

struct worker_report
{
    worker_time clock{0};
    // The life that answered.
    std::chrono::milliseconds startTime{0};
    std::vector<reported_run> running;
    std::vector<reported_end> ended;
    // Rows that could not be read and were left out.
    std::uint32_t malformedRows = 0;
};

// The calls that the scheduler makes to workers; each fails with a type and none throws.
class worker_client
{
public:
    virtual ~worker_client() = default;
    virtual boost::asio::awaitable<worker_response> start(worker_call_target target,
                                                          start_run_request order) = 0;
    virtual boost::asio::awaitable<worker_response> stop(worker_call_target target,
                                                         run_key key) = 0;
    // Lets a run work at a share of its speed, in percent.
    virtual boost::asio::awaitable<worker_response> throttle(worker_call_target target, run_key key,
                                                             std::uint32_t percent) = 0;
    virtual boost::asio::awaitable<std::variant<worker_report, worker_response>>
    renewLease(worker_call_target target, renew_lease_request order) = 0;
    // Closes the connections to a life of a worker that is gone.
    virtual void closeConnections(const worker_incarnation &incarnation) = 0;
};

} // namespace mango
