#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <string>

#include "Common/clock_source.h"

namespace mango {

// Orders the events of all processes: it moves past every stamp that a message brings in, so
// that an event always stands after what it was caused by (a hybrid logical clock, in microseconds
// of wall time).
class causal_clock
{
public:
    explicit causal_clock(clock_source &clock);
    // The stamp of an event or message of this process.
    std::uint64_t tick();
    // Takes in the stamp of a message that arrived.
    void observe(std::uint64_t stamp);

private:
    clock_source &m_clock;
    std::uint64_t m_last = 0;
};

// What an event is about; empty fields are left out of the record.
struct event_subject
{
    std::string task;
    std::string request;
    std::string host;
    std::string detail;
};

// Writes the events of one process as JSON lines for mango_timeline. Past the size limit the
// file is renamed to *.1, so that at most two files are kept.
class timeline
{
public:
    timeline(std::string process, std::string path, causal_clock &causalClock);
    // Adds one event; written through to the file, not synced.
    void record(const std::string &event, const event_subject &subject);
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
