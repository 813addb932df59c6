#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace mango::load {

// The answer times of one run, and how its requests ended.
struct load_result
{
    std::vector<std::chrono::microseconds> times;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t failed = 0;
    std::uint64_t wrong = 0;
    // Why requests got no answer or a refusal, by Mango-Reason or what failed.
    std::map<std::string, std::uint64_t> reasons;
    std::chrono::milliseconds elapsed{0};
};

// The time below which the share of requests was answered; the times must be sorted.
std::chrono::microseconds percentile(const std::vector<std::chrono::microseconds> &sorted,
                                     double share);

// The result as one JSON line.
std::string resultLine(const std::string &label, load_result result);

// A plot of the answer times by share, as an SVG document with one curve a result.
std::string latencyPlot(const std::vector<std::pair<std::string, load_result>> &results);

} // namespace mango::load
