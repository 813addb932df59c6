#pragma once

#include <array>
#include <optional>

#include "Dispatch/dispatch_state.h"
#include "Scheduling/offer_index.h"
#include "Scheduling/room_forecast.h"

namespace mango {

// Why a worker gets no new work now; the first reason that applies.
enum class worker_exclusion : std::uint8_t {
    none,
    // The process has ended or was replaced.
    gone,
    draining,
    domainOutOfService,
    // Not heard by this leader yet.
    unanswered,
    silent,
    // Refused a request or could not be reached a short time ago, or refused a start for lack of
    // resources and has not answered the next one.
    refusing,
    // A run on trial has not survived its start yet.
    onTrial
};
inline constexpr std::size_t workerExclusionCount = 8;

// The workers and what they offer to scheduling rounds. It lasts as long as the leadership; a round
// updates the offers of the workers that have changed, so that its cost does not grow with the
// number of workers.
struct round_offers
{
    // One offer for each worker, in the order of their incarnations.
    std::vector<worker_offer> offers;
    // In the order of the offers.
    std::vector<tracked_worker_handle> workers;
    // What each offer adds to the sums below; in the order of the offers.
    struct contribution
    {
        worker_exclusion exclusion = worker_exclusion::none;
        std::uint32_t usedMilliCores = 0;
        std::uint32_t capacityMilliCores = 0;
    };
    std::vector<contribution> contributions;
    std::array<std::uint32_t, workerExclusionCount> workersByExclusion{};
    std::uint64_t usedMilliCores = 0;
    std::uint64_t capacityMilliCores = 0;
    // The offer with which the next round begins to update those whose workers have not changed.
    std::size_t nextUnchanged = 0;
    steady_time unchangedUpdatedAt{};
    // Follows the changes of the offers from round to round.
    offer_index index;

    // Valid for one round.
    //
    // Less than half of the cores are in use by runs that are not best-effort.
    bool mostlyIdle = false;
    // The requests of this round that no worker meets.
    std::vector<rejected_request> rejected;
    // In the order of the offers: what the runs of a worker are expected to release, once known.
    std::vector<std::optional<std::vector<expected_release>>> releases;
    // The number of tasks for which room is held, and of those among them that are neither restarts
    // nor members of gangs.
    std::uint32_t held = 0;
    std::uint32_t heldFirstRuns = 0;
};

// Begins a round: updates the offers of all workers that have changed, and of some others, since
// silence and predicted loads change with time alone.
void updateOffers(dispatch_state &state, round_offers &round);

// Returns the most unused cores of a worker when the round began, in thousandths.
std::int64_t mostFreeMilliCores(const round_offers &round);

} // namespace mango
