#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Wire/messages.h"

namespace mango {

// What the leader asks a worker to do with a task.
enum class run_request_kind : std::uint8_t { start, stop, throttle, forget };

// One order about one run of a task. A worker carries out an order for the same task, epoch and
// kind once, however often it arrives.
struct run_request
{
    run_request_kind kind = run_request_kind::start;
    task_id task;
    std::uint64_t epoch = 0;
    task_size size;
    std::uint64_t runTimeMs = 0;
    std::string payload;
    // For start: the checkpoint to resume from, empty for none.
    std::string checkpoint;
    // For stop: whether to take a checkpoint first.
    bool withCheckpoint = false;
    // For throttle: the share of its cores that the task may use, from 0 to 1.
    double share = 1;
};

// The sessions whose requests a worker may take, with the version of the list.
struct session_list
{
    std::uint64_t version = 0;
    std::vector<std::uint64_t> sessions;
};

// The leader's regular call to a worker. `nonce` is the worker's last one: leases and orders count
// from when the worker issued it, so that a call delayed on its way cannot revive anything.
struct agent_poll
{
    std::uint64_t term = 0;
    std::string nonce;
    std::uint64_t leaseMs = 0;
    std::uint64_t validForMs = 0;
    bool complete = false;
    std::optional<session_list> sessions;
    std::vector<run_request> orders;
};

enum class run_state : std::uint8_t { running, stopped, finished, failed, unknown };

// A worker's word on one run of a task.
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

// A worker's answer. `complete` says that `tasks` lists every run it knows.
struct agent_reply
{
    std::string incarnation;
    std::string nonce;
    bool leaving = false;
    bool complete = false;
    session_list sessions;
    std::map<std::uint64_t, std::uint32_t> requests;
    std::vector<run_status> tasks;
};

// Why a worker's or leader's message was not understood.
struct protocol_failure
{
    std::string field;
};

std::string encodePoll(const agent_poll &poll);
result<agent_poll, protocol_failure> decodePoll(const std::string &text);
std::string encodeReply(const agent_reply &reply);
result<agent_reply, protocol_failure> decodeReply(const std::string &text);

std::string encodeAnnouncement(const worker_announcement &announcement);
result<worker_announcement, protocol_failure> decodeAnnouncement(const std::string &text);

} // namespace mango
