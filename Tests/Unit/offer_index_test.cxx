#include <gtest/gtest.h>

#include "Common/random_source.h"
#include "Scheduling/offer_index.h"
#include "Scheduling/offer_ranking.h"

namespace mango::test {

namespace {

// Workers of two services with random resources, some of them in use.
struct indexed_fleet
{
    indexed_fleet(seeded_random &random, std::size_t count)
    {
        records.resize(count);
        offers.resize(count);
        for (std::size_t at = 0; at < count; ++at) {
            worker_record &record = records[at];
            record.incarnation.id = "w" + std::to_string(1000 + at);
            record.failureDomain = std::to_string(random.below(3));
            record.service = random.below(5) == 0 ? "other" : "desk";
            record.capacity = {8000, 8000, static_cast<std::uint32_t>(random.below(2))};
            if (random.below(2) == 0) {
                record.labels.emplace_back("ssd");
            }
            record.labels.push_back("rack-" + std::to_string(random.below(4)));
            offers[at].record = &record;
            change(random, at);
        }
    }

    void change(seeded_random &random, std::size_t at)
    {
        worker_offer offer;
        offer.record = &records[at];
        offer.unavailable = random.below(8) == 0;
        offer.inBackoff = random.below(8) == 0;
        offer.urgentCost = static_cast<std::int64_t>(random.below(3) * 1'000'000);
        offer.otherCost = static_cast<std::int64_t>(random.below(3) * 1'000'000);
        offer.retryCost = static_cast<std::int64_t>(random.below(2) * 1'000'000);
        offer.longRunningMilliCores = static_cast<std::uint32_t>(random.below(3) * 1000);
        offer.used = {static_cast<std::uint32_t>(random.below(17) * 500),
                      static_cast<std::uint32_t>(random.below(17) * 500), 0};
        offer.used.milliCores = std::max(offer.used.milliCores, offer.longRunningMilliCores);
        offer.bestEffortMilliCores = static_cast<std::uint32_t>(random.below(3) * 1000);
        if (offer.longRunningMilliCores > 0) {
            const auto image = static_cast<image_id>(1 + random.below(3));
            offer.longRunningImages[image] = 1;
            latency_critical_task task;
            task.image = image;
            task.milliCores = offer.longRunningMilliCores;
            task.load = static_cast<double>(random.below(90)) / 100;
            task.loadLimit = 0.8;
            offer.latencyCritical.push_back(task);
        }
        offers[at] = offer;
    }

    std::vector<worker_record> records;
    std::vector<worker_offer> offers;
};

job_step drawStep(seeded_random &random)
{
    job_step step;
    const auto kind = random.below(4);
    step.bestEffort = kind == 0;
    step.longRunning = kind == 1;
    step.resources = {static_cast<std::uint32_t>(250 * (1 + random.below(20))),
                      static_cast<std::uint32_t>(250 * random.below(20)),
                      static_cast<std::uint32_t>(random.below(6) == 0 ? 1 : 0)};
    step.requiredLabel = random.below(4) == 0 ? "ssd" : "";
    step.dataRack = random.below(2) == 0 ? "rack-" + std::to_string(random.below(4)) : "";
    step.perWorkerLimit = static_cast<std::uint32_t>(random.below(3) == 0 ? 1 : 0);
    return step;
}

interference_model drawModel(seeded_random &random)
{
    interference_model model;
    for (image_id image = 1; image <= 3; ++image) {
        for (image_id other = 4; other <= 6; ++other) {
            setPressure(model.pressures[image], other, static_cast<double>(random.below(250)) / 100,
                        0);
        }
    }
    return model;
}

} // namespace

// Guards against a task that stays without a worker although one fits, and against another choice.
TEST(offer_index, choosesAsALookAtAllOffersDoes)
{
    int chosen = 0;
    int unplaced = 0;
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        seeded_random random(seed);
        indexed_fleet fleet(random, 1 + random.below(70));
        const interference_model model = drawModel(random);
        const std::array<std::string, 2> services{"desk", "other"};
        offer_index index;
        for (int number = 0; number < 100; ++number) {
            const job_step step = drawStep(random);
            std::map<worker_incarnation, std::uint32_t> runsPerWorker;
            std::set<worker_incarnation> avoidedWorkers;
            for (const worker_record &record : fleet.records) {
                if (random.below(4) == 0) {
                    runsPerWorker[record.incarnation] = 1;
                }
                if (random.below(4) == 0) {
                    avoidedWorkers.insert(record.incarnation);
                }
            }
            const std::map<std::string, std::uint32_t> runsPerDomain{{"1", 1}};
            placement_request request{&step,
                                      &services.at(random.below(4) == 0 ? 1 : 0),
                                      &runsPerWorker,
                                      &runsPerDomain,
                                      random.below(2) == 0 ? &avoidedWorkers : nullptr,
                                      &model,
                                      static_cast<image_id>(step.longRunning
                                                                    ? 1 + random.below(3)
                                                                    : 4 + random.below(3))};
            request.starved = random.below(4) == 0;
            request.urgent = random.below(2) == 0;
            const offer_choice expected = chooseOffer(fleet.offers, request);
            const offer_choice found = chooseIndexed(index, fleet.offers, request);
            ASSERT_EQ(found.index, expected.index) << "seed " << seed << ", step " << number;
            if (found.index >= 0) {
                ++chosen;
                const auto at = static_cast<std::size_t>(found.index);
                reserveResources(fleet.offers[at], request);
                noteOfferChange(index, at);
            } else {
                ++unplaced;
                ASSERT_EQ(found.excludedByRuns, expected.excludedByRuns) << "seed " << seed;
            }
            const std::size_t changed = random.below(fleet.offers.size());
            fleet.change(random, changed);
            noteOfferChange(index, changed);
        }
    }
    EXPECT_GT(chosen, 4000);
    EXPECT_GT(unplaced, 1000);
}

// Guards against wide steps that place their tasks elsewhere than single tasks would go.
TEST(offer_index, ranksAsALookAtAllOffersDoes)
{
    int chosen = 0;
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        seeded_random random(seed);
        indexed_fleet fleet(random, 1 + random.below(70));
        const interference_model model = drawModel(random);
        const std::string service = "desk";
        offer_index index;
        for (int number = 0; number < 20; ++number) {
            const job_step step = drawStep(random);
            std::map<worker_incarnation, std::uint32_t> runsPerWorker;
            std::map<std::string, std::uint32_t> runsPerDomain;
            placement_request request{&step,
                                      &service,
                                      &runsPerWorker,
                                      &runsPerDomain,
                                      nullptr,
                                      &model,
                                      static_cast<image_id>(step.longRunning
                                                                    ? 1 + random.below(3)
                                                                    : 4 + random.below(4))};
            request.urgent = random.below(2) == 0;
            offer_ranking ranking =
                    rankOffers(fleet.offers, offersWithRoom(index, fleet.offers, request), request);
            ASSERT_EQ(isRoomFor(index, fleet.offers, request),
                      !offersWithRoom(index, fleet.offers, request).empty());
            for (int task = 0; task < 10; ++task) {
                const offer_choice expected = chooseOffer(fleet.offers, request);
                ASSERT_EQ(ranking.excludedByRuns, expected.excludedByRuns) << "seed " << seed;
                const int found = takeBestOffer(ranking, fleet.offers, request);
                ASSERT_EQ(found, expected.index) << "seed " << seed << ", step " << number;
                if (found < 0) {
                    break;
                }
                ++chosen;
                const auto at = static_cast<std::size_t>(found);
                reserveResources(fleet.offers[at], request);
                noteOfferChange(index, at);
                ++runsPerWorker[fleet.records[at].incarnation];
                ++runsPerDomain[fleet.records[at].failureDomain];
                returnOffer(ranking, fleet.offers, request, at);
            }
            const std::size_t changed = random.below(fleet.offers.size());
            fleet.change(random, changed);
            noteOfferChange(index, changed);
        }
    }
    EXPECT_GT(chosen, 4000);
}

// Guards against a large service on which each task costs a look at every worker.
TEST(offer_index, looksAtFewOffersOfALargeFleet)
{
    for (const std::size_t count : {1800U, 5000U}) {
        seeded_random random(7);
        indexed_fleet fleet(random, count);
        const interference_model model;
        const std::string service = "desk";
        const std::map<worker_incarnation, std::uint32_t> runsPerWorker;
        const std::map<std::string, std::uint32_t> runsPerDomain;
        offer_index index;
        job_step step;
        step.resources = {1000, 500, 0};
        const placement_request request{&step,  &service, &runsPerWorker, &runsPerDomain, nullptr,
                                        &model, 4};
        constexpr std::uint64_t tasks = 1000;
        for (std::uint64_t task = 0; task < tasks; ++task) {
            const auto at =
                    static_cast<std::size_t>(chooseIndexed(index, fleet.offers, request).index);
            ASSERT_LT(at, count);
            reserveResources(fleet.offers[at], request);
            noteOfferChange(index, at);
        }
        EXPECT_LT(index.offersScored, tasks * 40);
        EXPECT_LT(index.changesFollowed, count + tasks);
        // A task that fits nowhere costs no look at any offer.
        step.resources = {8001, 500, 0};
        const std::uint64_t before = index.offersScored;
        EXPECT_LT(chooseIndexed(index, fleet.offers, request).index, 0);
        EXPECT_EQ(index.offersScored, before);
    }
}

} // namespace mango::test
