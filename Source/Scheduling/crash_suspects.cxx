#include "Scheduling/crash_suspects.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mango {

namespace {

using seconds = std::chrono::duration<double>;

// A worker with a trial is heard every 100 ms, others when a run ends, so that simultaneous crashes
// appear this far apart.
constexpr auto burstBefore = std::chrono::milliseconds(600);
constexpr auto burstAfter = std::chrono::milliseconds(300);
constexpr std::size_t minimumBurst = 4;
// The smallest share of the workers that counts as a burst, as a divisor.
constexpr std::size_t burstDivisor = 8;

// Crashes a second of one worker: of any, of one whose address had several crashes, and of one that
// became silent together with many others.
constexpr double usualRate = 1e-4;
constexpr double unstableRate = 0.05;
constexpr double burstRate = 1;
constexpr std::uint32_t unstableAfterCrashes = 2;

// When a task that crashes its workers does so: half of such tasks right after the start, the
// others with the same probability in each interval of the same ratio up to an hour.
constexpr double startShare = 0.5;
constexpr seconds startSpan{0.2};
constexpr seconds smallestSpan{0.5};
constexpr seconds longestSpan{3600};
// The share of such tasks that crash their workers after about the same time again.
constexpr double repeatedShare = 0.5;
constexpr double repeatedFactor = 2;

// The largest weights of a crash, in hundredths: soon after the start, later, and without a
// confirmation of the start.
constexpr double startWeight = 670;
constexpr double laterWeight = 340;
constexpr double unknownWeight = 200;
constexpr double unansweredWeight = 100;

// A task of this probability that explains this share of the chances of a crash is to blame, unless
// another one has at least that share of its own.
constexpr double blamedProbability = 0.5;
constexpr double blamedShare = 0.9;
constexpr double unrelatedShare = 0.05;

std::size_t countNear(const std::vector<steady_time> &silentSince, steady_time at)
{
    return static_cast<std::size_t>(
            std::count_if(silentSince.begin(), silentSince.end(), [at](steady_time since) {
                return since >= at - burstBefore && since <= at + burstAfter;
            }));
}

// The probability density, for each second, that a task of which nothing is known crashes its
// worker when its run has lasted for this time.
double usualDensity(seconds lasted)
{
    static const double span = std::log((longestSpan + smallestSpan) / smallestSpan);
    const double atStart = lasted < startSpan ? startShare / startSpan.count() : 0;
    return atStart + (1 - startShare) / span / (lasted + smallestSpan).count();
}

// The same for a task under which workers have crashed before.
double densityOf(const run_at_crash &run)
{
    const seconds lasted = run.survivedFor;
    const double usual = usualDensity(lasted);
    if (!run.record.longestRun) {
        return usual;
    }
    const seconds before = *run.record.longestRun;
    const seconds earliest = std::max(seconds(0), before / repeatedFactor - smallestSpan / 2);
    const seconds latest = before * repeatedFactor + smallestSpan;
    const bool isSimilar = lasted >= earliest && lasted <= latest;
    return (1 - repeatedShare) * usual
           + (isSimilar ? repeatedShare / (latest - earliest).count() : 0);
}

// How likely it is that the worker had begun the run before it crashed.
double shareBegun(run_confirmation confirmation)
{
    switch (confirmation) {
    case run_confirmation::confirmed:
        return 1;
    case run_confirmation::unknown:
        return 0.5;
    case run_confirmation::unanswered:
        return 0.1;
    }
    return 1;
}

double largestWeight(const run_at_crash &run)
{
    switch (run.confirmation) {
    case run_confirmation::confirmed:
        break;
    case run_confirmation::unknown:
        return unknownWeight;
    case run_confirmation::unanswered:
        return unansweredWeight;
    }
    return run.survivedFor < startSurvivedAfter ? startWeight : laterWeight;
}

std::uint32_t weightOf(const run_at_crash &run, double ifCulprit, double otherwise)
{
    constexpr double perUnit = 100;
    const double weight = perUnit * std::log(ifCulprit / otherwise);
    return static_cast<std::uint32_t>(std::clamp(weight, 0.0, largestWeight(run)));
}

} // namespace

double ordinaryCrashRate(const crash_surroundings &surroundings)
{
    const auto &others = surroundings.othersSilentSince;
    const auto workers = static_cast<double>(std::max<std::size_t>(1, surroundings.workerCount));
    const std::size_t near = countNear(others, surroundings.silentSince);
    const double recently =
            static_cast<double>(others.size()) / (workers * seconds(exitMemory).count());
    const double atOnce =
            static_cast<double>(near) / (workers * seconds(burstBefore + burstAfter).count());
    double rate = std::max({usualRate, recently, atOnce});
    if (surroundings.recentCrashesAtAddress >= unstableAfterCrashes) {
        rate = std::max(rate, unstableRate);
    }
    if (isCrashBurst(others, surroundings.silentSince, surroundings.workerCount)) {
        rate = std::max(rate, burstRate);
    }
    return rate;
}

std::vector<crash_evidence> weighCrash(const std::vector<run_at_crash> &runs, double ordinaryRate)
{
    std::vector<double> densities;
    std::vector<double> chances;
    for (const run_at_crash &run : runs) {
        densities.push_back(densityOf(run) * shareBegun(run.confirmation));
        chances.push_back(densities.back() * probabilityOf(run.record));
    }
    const double ofRuns = std::accumulate(chances.begin(), chances.end(), 0.0);
    std::size_t blamed = runs.size();
    for (std::size_t at = 0; at < runs.size(); ++at) {
        if (probabilityOf(runs[at].record) >= blamedProbability
            && chances[at] > blamedShare * (ordinaryRate + ofRuns)) {
            blamed = at;
        }
    }
    std::vector<crash_evidence> weighed;
    for (std::size_t at = 0; at < runs.size(); ++at) {
        const double ofOthers = ofRuns - chances[at];
        crash_evidence evidence;
        evidence.confirmation = runs[at].confirmation;
        evidence.lastedFor = runs[at].survivedFor;
        evidence.weight = weightOf(runs[at], densities[at], ordinaryRate + ofOthers);
        evidence.explained =
                blamed != runs.size() && blamed != at && chances[at] < unrelatedShare * ofOthers;
        weighed.push_back(evidence);
    }
    return weighed;
}

bool isCrashBurst(const std::vector<steady_time> &silentSince, steady_time at,
                  std::size_t workerCount)
{
    return countNear(silentSince, at) >= std::max(minimumBurst, workerCount / burstDivisor);
}

} // namespace mango
