#pragma once

#include <variant>

#include <boost/asio/awaitable.hpp>

#include "Common/clock_source.h"
#include "Fleet/worker_record.h"

namespace mango {

// A point in time on a worker's own clock, not comparable with local times.
using worker_time = std::chrono::milliseconds;

// Result of a request to a worker.
enum class worker_call_result : std::uint8_t {
    done,
    // The worker has seen a higher fencing token, that is, a newer leader.
    staleFencingToken,
    // The worker has already started, stopped or ended this run or a newer run of the task.
    staleRun,
    // The request arrived after its deadline.
    deadlineExceeded,
    // The free resources of the worker do not suffice for the task.
    insufficientResources,
    // The admission ticket was rejected.
    ticketRejected,
    // The worker rejected the request as malformed.
    malformed,
    // The worker is unhealthy and has not acted on the request.
    unhealthy,
    // Another incarnation or another worker is listening at the address.
    wrongIncarnation,
    // The request was not sent, so the worker cannot have acted on it.
    neverSent,
    // No response arrived: the worker may have acted on the request, or may still do so.
    unanswered
};

// Returns the name of the result in log lines and metric labels.
std::string toText(worker_call_result result);

// A worker's response to a request that returns no data, or the reason why there is none.
struct worker_response
{
    worker_call_result result = worker_call_result::unanswered;
    // The worker's clock when it answered, if the response contained it.
    std::optional<worker_time> clock;
    // There is no response because a relay failed, which says nothing about the worker.
    bool relayFailed = false;
    // There is no response because no process listens at the worker's address.
    bool notListening = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(result, clock, relayFailed, notListening);
    }
};

// The worker that a request is sent to, and the leader that sends it.
struct worker_call_target
{
    worker_incarnation incarnation;
    host_address address;
    // A worker refuses requests with a lower token than one it has seen.
    std::uint64_t fencingToken = 0;
    // The leader's term.
    std::uint64_t term = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(incarnation, address, fencingToken, term);
    }
};

// Returns the fencing token of a leader's requests to one incarnation of a worker. A worker that
// has restarted under its id accepts requests for its earlier incarnation, since requests name only
// the id. The first request for the new incarnation puts an end to that: tokens are ordered by the
// term and then by the number of the incarnation (see incarnationNumber()).
std::uint64_t fencingTokenOf(std::uint64_t term, std::uint64_t incarnationNumber);

// Asks a worker to start a run.
struct start_run_request
{
    run_key key;
    std::string specification;
    // The worker refuses the request after this time.
    worker_time deadline{0};
    // Checkpoint to resume from; empty to start from the beginning.
    std::string checkpoint;
    // Admission ticket issued under the queue's policy; empty when the policy requires none.
    std::string ticket;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(key, specification, deadline, checkpoint, ticket);
    }
};

// Renews the worker's lease and asks for a report of running and ended runs.
struct renew_lease_request
{
    // End of the lease: the worker kills all runs then unless the lease is renewed. nullopt leaves
    // the lease as it is.
    std::optional<worker_time> deadline;
    // Cursor: the worker drops the ended runs with numbers up to this one.
    std::uint64_t acknowledgedEnds = 0;
    // Long polling: the worker may delay its response this long until a run ends.
    std::chrono::milliseconds wait{0};

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(deadline, acknowledgedEnds, wait);
    }
};

// A running run in a worker's report.
struct reported_run
{
    run_key key;
    std::string checkpoint;
    // Progress from 0 to 100; a long-running task reports 100 once it is working.
    std::uint32_t progressPercent = 0;
    // Measured over the last half second: the tail latency in milliseconds for a latency-critical
    // task, the CPU use in thousandths of a core for any other.
    std::uint32_t recentLoad = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(key, checkpoint, progressPercent, recentLoad);
    }
};

// An ended run in a worker's report. The worker repeats it until it is acknowledged.
struct reported_end
{
    // Position in the worker's list of ended runs, the value to acknowledge.
    std::uint64_t number = 0;
    run_key key;
    run_outcome outcome = run_outcome::done;
    std::string checkpoint;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(number, key, outcome, checkpoint);
    }
};

// A worker's response to a renewal of its lease.
struct worker_report
{
    worker_time clock{0};
    // Start time of the incarnation that answered.
    std::chrono::milliseconds startTime{0};
    std::vector<reported_run> running;
    std::vector<reported_end> ended;
    // Number of entries that could not be parsed and were skipped.
    std::uint32_t malformedRows = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(clock, startTime, running, ended, malformedRows);
    }
};

// Client for the requests that the scheduler sends to workers. Failures are reported through
// worker_call_result; no method throws. Only the incarnation that a request is meant for carries it
// out. A renewal that reaches a restarted one yields a report and changes nothing there, any other
// request yields `neverSent`.
class worker_client
{
public:
    virtual ~worker_client() = default;
    // Starts a run.
    virtual boost::asio::awaitable<worker_response> start(worker_call_target target,
                                                          start_run_request request) = 0;
    // Stops a run, and prevents it from being started later.
    virtual boost::asio::awaitable<worker_response> stop(worker_call_target target,
                                                         run_key key) = 0;
    // Limits a run to a share of its full speed, in percent; 100 removes the limit.
    virtual boost::asio::awaitable<worker_response> throttle(worker_call_target target, run_key key,
                                                             std::uint32_t percent) = 0;
    // Renews the lease and returns the worker's report, or a worker_response on failure.
    virtual boost::asio::awaitable<std::variant<worker_report, worker_response>>
    renewLease(worker_call_target target, renew_lease_request request) = 0;
    // Closes the connections to an incarnation that has exited.
    virtual void closeConnections(const worker_incarnation &incarnation) = 0;
};

} // namespace mango
