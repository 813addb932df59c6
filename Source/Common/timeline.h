#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <string>

#include "Common/clock_source.h"

namespace mango {

// A hybrid logical clock in microseconds of wall-clock time. Its time stamps order the events of
// all processes so that an event is always later than its causes, even if the wall clocks differ.
class causal_clock
{
public:
    explicit causal_clock(clock_source &clock);
    // Returns the time stamp for an event or an outgoing message; each is later than all before it.
    std::uint64_t tick();
    // Advances the clock to the time stamp of a message received.
    void observe(std::uint64_t stamp);

private:
    clock_source &m_clock;
    std::uint64_t m_last = 0;
};

// What an event is about; empty fields are omitted from the record.
struct event_subject
{
    std::string task;
    std::string request;
    std::string host;
    std::string detail;
};

// Writes the events of one process as JSON lines for mango_timeline. Once 64 MB have been written,
// the file is renamed to *.1 and a new one started, so that at most two files are kept.
class timeline
{
public:
    timeline(std::string process, std::string path, causal_clock &causalClock);
    // Appends one event and flushes it to the file, without fsync.
    void record(const std::string &event, const event_subject &subject);
    // Returns the clock, for the time stamps of messages.
    [[nodiscard]] causal_clock &stamps()
    {
        return m_causalClock;
    }

private:
    std::string m_process;
    std::string m_path;
    causal_clock &m_causalClock;
    std::ofstream m_file;
    std::uint64_t m_bytes = 0;
};

} // namespace mango
