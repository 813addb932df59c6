#include "Common/timeline.h"

#include <algorithm>
#include <cstdio>

#include <boost/json.hpp>

namespace mango {

namespace {

constexpr std::uint64_t maximumFileBytes = 64ULL << 20U;

} // namespace

causal_clock::causal_clock(clock_source &clock)
    : m_clock(clock)
{}

std::uint64_t causal_clock::tick()
{
    const auto wall = std::chrono::duration_cast<std::chrono::microseconds>(
            m_clock.wallTime().time_since_epoch());
    m_last = std::max<std::uint64_t>(m_last + 1, static_cast<std::uint64_t>(wall.count()));
    return m_last;
}

void causal_clock::observe(std::uint64_t stamp)
{
    m_last = std::max(m_last, stamp);
}

timeline::timeline(std::string process, std::string path, causal_clock &causalClock)
    : m_process(std::move(process))
    , m_path(std::move(path))
    , m_causalClock(causalClock)
    , m_file(m_path, std::ios::app)
{}

void timeline::record(const std::string &event, const event_subject &subject)
{
    boost::json::object line;
    line["at"] = m_causalClock.tick();
    line["process"] = m_process;
    line["event"] = event;
    if (!subject.task.empty()) {
        line["task"] = subject.task;
    }
    if (!subject.request.empty()) {
        line["request"] = subject.request;
    }
    if (!subject.host.empty()) {
        line["host"] = subject.host;
    }
    if (!subject.detail.empty()) {
        line["detail"] = subject.detail;
    }
    const std::string text = boost::json::serialize(line) + "\n";
    m_bytes += text.size();
    m_file << text << std::flush;
    if (m_bytes > maximumFileBytes) {
        m_file.close();
        std::rename(m_path.c_str(), (m_path + ".1").c_str());
        m_file.open(m_path, std::ios::trunc);
        m_bytes = 0;
    }
}

} // namespace mango
