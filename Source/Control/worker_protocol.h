#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Wire/messages.h"

namespace mango {

// What the leader asks a worker to do with one run of a task.
enum class run_request_kind : std::uint8_t { start, stop, throttle, forget };

// A request of the leader that concerns one run of a task, which `task` and `epoch` identify.
// Requests are idempotent: a worker executes a request with the same task, epoch and kind only
// once, however often it is sent.
struct run_request
{
    run_request_kind kind = run_request_kind::start;
    task_id task;
    std::uint64_t epoch = 0;
    task_size size;
    std::uint64_t runTimeMs = 0;
    std::string payload;
    // For start: the checkpoint to resume from; empty to start from the beginning.
    std::string checkpoint;
    // For stop: whether the worker takes a checkpoint first.
    bool withCheckpoint = false;
    // For throttle: the share of its cores that the run may use, from 0 to 1.
    double share = 1;
};

// The entry sessions whose requests a worker accepts. A higher version supersedes a lower one.
struct session_list
{
    std::uint64_t version = 0;
    std::vector<std::uint64_t> sessions;
};

// The body of the leader's periodic call to a worker. `nonce` repeats the nonce of the worker's
// last reply. The worker counts the lease and the validity of start requests from when it issued
// that nonce, so that a call that is delayed in the network cannot renew a lease that has expired.
struct agent_poll
{
    std::uint64_t term = 0;
    std::string nonce;
    std::uint64_t leaseMs = 0;
    // How long start requests may be executed.
    std::uint64_t validForMs = 0;
    // Asks for a reply that lists every run.
    bool complete = false;
    std::optional<session_list> sessions;
    std::vector<run_request> requests;
};

// The state of a run on a worker. `unknown` stands for a run that the worker never started since
// the stop request came first.
enum class run_state : std::uint8_t { running, stopped, finished, failed, unknown };

// What a worker reports about one run of a task. `cores` and `memoryBytes` are measured usage,
// `share` is the throttle in force, and `lostMs` is the work lost since the last checkpoint.
struct run_status
{
    task_id task;
    std::uint64_t epoch = 0;
    run_state state = run_state::running;
    std::string checkpoint;
    std::uint64_t progressMs = 0;
    std::uint64_t lostMs = 0;
    double cores = 0;
    std::uint64_t memoryBytes = 0;
    double share = 1;
    std::string outcome;
};

// A worker's reply to a poll. If `complete` is set, `runs` lists every run that the worker knows.
struct agent_reply
{
    std::string incarnation;
    std::string nonce;
    bool leaving = false;
    bool complete = false;
    session_list sessions;
    // The number of requests in progress for each entry session.
    std::map<std::uint64_t, std::uint32_t> requests;
    std::vector<run_status> runs;
};

// A message that could not be decoded, with the name of the first field that is wrong.
struct protocol_failure
{
    std::string field;
};

// Convert polls and replies to and from JSON. Unknown fields are ignored, and most missing fields
// get their default value.
std::string encodePoll(const agent_poll &poll);
result<agent_poll, protocol_failure> decodePoll(const std::string &text);
std::string encodeReply(const agent_reply &reply);
result<agent_reply, protocol_failure> decodeReply(const std::string &text);

// Convert a worker's announcement to and from JSON. Name, incarnation, failure domain and address
// are required.
std::string encodeAnnouncement(const worker_announcement &announcement);
result<worker_announcement, protocol_failure> decodeAnnouncement(const std::string &text);

} // namespace mango
