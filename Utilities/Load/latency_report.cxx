#include "Load/latency_report.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include <boost/json.hpp>

namespace mango::load {

namespace {

constexpr double plotWidth = 720;
constexpr double plotHeight = 400;
constexpr double plotMargin = 60;
constexpr const char *curveColours[] = {"#1b6ca8", "#c0392b", "#27774f", "#8e44ad", "#b9770e"};
// Labels of the horizontal axis, on a scale of -log10(1 - fraction), which shows the tail.
constexpr double axisFractions[] = {0.0, 0.5, 0.9, 0.99, 0.999, 0.9999};

double horizontalPosition(double fraction)
{
    const double nines = -std::log10(std::max(1e-4, 1 - fraction));
    return plotMargin + nines / 4 * (plotWidth - 2 * plotMargin);
}

double verticalPosition(double microseconds, double maximum)
{
    const double top = std::log10(std::max(10.0, maximum));
    const double level = std::log10(std::max(10.0, microseconds)) - 1;
    return plotHeight - plotMargin - level / std::max(0.1, top - 1) * (plotHeight - 2 * plotMargin);
}

} // namespace

std::chrono::microseconds percentile(const std::vector<std::chrono::microseconds> &sorted,
                                     double fraction)
{
    if (sorted.empty()) {
        return std::chrono::microseconds(0);
    }
    const auto index = static_cast<std::size_t>(fraction * double(sorted.size() - 1));
    return sorted[index];
}

std::string formatResultLine(const std::string &label, load_result result)
{
    std::sort(result.responseTimes.begin(), result.responseTimes.end());
    const double seconds = std::max(0.001, double(result.elapsed.count()) / 1000);
    return boost::json::serialize(
            boost::json::object{{"label", label},
                                {"answered", result.answered},
                                {"not_run", result.notRun},
                                {"unknown", result.unknown},
                                {"failed", result.failed},
                                {"wrong", result.wrong},
                                {"reasons", boost::json::value_from(result.reasons)},
                                {"per_second", std::round(double(result.answered) / seconds)},
                                {"p50_us", percentile(result.responseTimes, 0.5).count()},
                                {"p90_us", percentile(result.responseTimes, 0.9).count()},
                                {"p99_us", percentile(result.responseTimes, 0.99).count()},
                                {"p999_us", percentile(result.responseTimes, 0.999).count()},
                                {"max_us", percentile(result.responseTimes, 1).count()}});
}

std::string renderLatencyPlot(const std::vector<std::pair<std::string, load_result>> &results)
{
    double maximum = 100;
    for (const auto &[label, result] : results) {
        for (const auto time : result.responseTimes) {
            maximum = std::max(maximum, double(time.count()));
        }
    }
    std::ostringstream plot;
    plot << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << plotWidth << "\" height=\""
         << plotHeight << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
         << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    for (const double fraction : axisFractions) {
        plot << "<text x=\"" << horizontalPosition(fraction) << "\" y=\""
             << plotHeight - plotMargin / 2 << "\" text-anchor=\"middle\">" << fraction * 100
             << "%</text>\n";
    }
    for (double level = 10; level <= maximum * 10; level *= 10) {
        plot << "<text x=\"" << plotMargin - 6 << "\" y=\"" << verticalPosition(level, maximum)
             << "\" text-anchor=\"end\">" << level / 1000 << " ms</text>\n";
    }
    std::size_t curve = 0;
    for (const auto &[label, result] : results) {
        auto responseTimes = result.responseTimes;
        std::sort(responseTimes.begin(), responseTimes.end());
        const char *colour = curveColours[curve % std::size(curveColours)];
        plot << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour << "\" points=\"";
        for (int step = 0; step <= 400; ++step) {
            const double fraction = 1 - std::pow(10, -double(step) / 100);
            plot << horizontalPosition(fraction) << ","
                 << verticalPosition(double(percentile(responseTimes, fraction).count()), maximum)
                 << " ";
        }
        plot << "\"/>\n<text x=\"" << plotMargin + 10 << "\" y=\"" << 20 + 16 * curve
             << "\" fill=\"" << colour << "\">" << label << "</text>\n";
        ++curve;
    }
    plot << "</svg>\n";
    return plot.str();
}

} // namespace mango::load
