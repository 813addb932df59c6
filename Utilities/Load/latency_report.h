#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace mango::load {

// Response times of one load run and the number of its requests by outcome.
struct load_result
{
    std::vector<std::chrono::microseconds> responseTimes;
    // Responses with status 200 that echo their request.
    std::uint64_t answered = 0;
    // Error responses which state that the request was not executed.
    std::uint64_t notRun = 0;
    // Error responses that leave open whether the request was executed.
    std::uint64_t unknown = 0;
    // Requests without a response: connection failures and time-outs.
    std::uint64_t failed = 0;
    // Responses with status 200 that do not echo their request.
    std::uint64_t wrong = 0;
    // Number of unsuccessful requests by Mango-Reason header or connection error.
    std::map<std::string, std::uint64_t> reasons;
    std::chrono::milliseconds elapsed{0};
};

// Response time at a percentile, given as a fraction from 0 to 1. The times must be sorted in
// ascending order; zero if there are none.
std::chrono::microseconds percentile(const std::vector<std::chrono::microseconds> &sorted,
                                     double fraction);

// Formats the outcome counts, throughput and latency percentiles as a JSON object on one line.
std::string formatResultLine(const std::string &label, load_result result);

// Plots response time against percentile, with one curve per result. Returns an SVG document.
std::string renderLatencyPlot(const std::vector<std::pair<std::string, load_result>> &results);

} // namespace mango::load
