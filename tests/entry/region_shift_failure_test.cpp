#include "entry/entry_harness.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace arbutuscrank::entry::test {

namespace {

    using Demand = std::map<std::string, std::map<std::string, double>>;

    /// A region with few targets, most of whose requests are sent to two other regions.
    struct RegionShift : testing::Test {
        RegionShift()
        {
            std::vector<TargetRecord> records;
            const std::map<std::string, int> targetsOf { { "north", 2 }, { "south", 12 }, { "west", 9 } };
            for (const auto& [region, n] : targetsOf) {
                for (int i = 0; i < n; ++i)
                    records.push_back(makeTarget(region + std::to_string(i), region));
            }
            (void)targets.applySnapshot(records, now);
        }

        void advance(Duration duration, const Demand& demand, const RestrictedDemand& restricted = {})
        {
            for (Duration done {}; done < duration; done += milliseconds(200)) {
                now += milliseconds(200);
                selection.updateSplits(targets, demand, restricted, {}, now);
            }
        }

        /// Region selected for each of many affinity values.
        /// \param permitted regions of the account; empty means all
        std::vector<std::string> regions(const std::vector<std::string>& permitted = {})
        {
            std::vector<std::string> out;
            for (int i = 0; i < 3000; ++i) {
                const auto affinity = "read\n" + std::to_string(i);
                const Placement placement {
                    .service = "cart", .affinity = affinity, .accountRegions = &permitted, .idempotent = true
                };
                out.push_back(selection.choose(targets, placement, now).target->record.region);
            }
            return out;
        }

        /// Largest fraction of the affinity values that change their region from one window of 2 s to the next.
        double largestShift(Duration duration, const Demand& demand, const RestrictedDemand& restricted = {},
            const std::vector<std::string>& permitted = {})
        {
            double largest = 0;
            auto before = regions(permitted);
            for (Duration done {}; done < duration; done += seconds(2)) {
                advance(seconds(2), demand, restricted);
                const auto after = regions(permitted);
                double changed = 0;
                for (std::size_t i = 0; i < after.size(); ++i)
                    changed += after[i] != before[i] ? 1 : 0;
                largest = std::max(largest, changed / static_cast<double>(after.size()));
                before = after;
            }
            return largest;
        }

        TimePoint now { std::chrono::hours(1) };
        TargetTable targets;
        TargetSelection selection { "north", Bounds {}, 1 };
    };

} // namespace

// Guards against a shift above the maximum when the first demand is reported: the spare capacity of the other regions
// then changes at once.
TEST_F(RegionShift, KeepsToTheMaximumShiftWhenDemandBecomesKnown)
{
    advance(seconds(8), {});
    const Demand demand { { "cart", { { "north", 300 }, { "south", 900 }, { "west", 60 } } } };
    EXPECT_LE(largestShift(seconds(10), demand), Bounds {}.maxRegionShift);
}

// Guards against a shift above the maximum when callers move from one region to another.
TEST_F(RegionShift, KeepsToTheMaximumShiftWhenCallersMove)
{
    const Demand before { { "cart", { { "north", 300 }, { "south", 500 }, { "west", 300 } } } };
    advance(seconds(8), before);
    const Demand after { { "cart", { { "north", 300 }, { "south", 50 }, { "west", 750 } } } };
    EXPECT_LE(largestShift(seconds(10), after), Bounds {}.maxRegionShift);
}

// Guards against a split that never reaches the regions with spare capacity.
TEST_F(RegionShift, ConvergesToTheSpareCapacity)
{
    advance(seconds(8), { { "cart", { { "north", 300 }, { "south", 900 }, { "west", 60 } } } });
    advance(seconds(20), { { "cart", { { "north", 300 }, { "south", 60 }, { "west", 900 } } } });
    const auto& fractions = selection.splits().at("cart").fractions;
    EXPECT_GT(fractions.at("south"), fractions.at("west"));
}

// Guards against a region that keeps its own callers' requests although requests which no other region may serve fill
// it.
TEST_F(RegionShift, LeavesARegionToTheRequestsThatAreRestrictedToIt)
{
    const Demand demand { { "cart", { { "north", 300 }, { "south", 400 }, { "west", 300 } } } };
    advance(seconds(8), demand);
    EXPECT_GT(selection.splits().at("cart").fractions.at("north"), 0.25);
    const RestrictedDemand restricted { { "cart",
        { { "south", { { "north", 80 } } }, { "west", { { "north", 40 } } } } } };
    EXPECT_LE(largestShift(seconds(10), demand, restricted), Bounds {}.maxRegionShift);
    EXPECT_LT(selection.splits().at("cart").fractions.at("north"), 0.06);
}

// Guards against restricted requests that count twice: the demand that any region may serve is what is left of all.
TEST_F(RegionShift, KeepsItsCallersWhereOnlyTheirOwnRequestsAreRestricted)
{
    const Demand demand { { "cart", { { "north", 120 }, { "south", 500 }, { "west", 400 } } } };
    advance(seconds(8), demand, { { "cart", { { "north", { { "north", 120 } } } } } });
    EXPECT_DOUBLE_EQ(selection.splits().at("cart").fractions.at("north"), 1);
}

// Guards against requests that all go to one region because their callers' region, which may not serve them, keeps all
// others: the other regions then have no part of the split.
TEST_F(RegionShift, SpreadsWhatItsRegionMayNotServeBySpareCapacity)
{
    const Demand demand { { "cart", { { "north", 50 }, { "south", 300 }, { "west", 350 } } } };
    advance(seconds(8), demand);
    ASSERT_DOUBLE_EQ(selection.splits().at("cart").fractions.at("north"), 1);
    const std::vector<std::string> permitted { "south", "west" };
    const auto chosen = regions(permitted);
    const auto inSouth = std::ranges::count(chosen, "south");
    // By their slots, south would take 402 requests per second and west 301.
    EXPECT_GT(inSouth, 2550);
    EXPECT_GT(std::ranges::count(chosen, "west"), 10);
    // Spare capacity that moves to the other region moves the requests by steps.
    const Demand after { { "cart", { { "north", 50 }, { "south", 400 }, { "west", 150 } } } };
    EXPECT_LE(largestShift(seconds(20), after, {}, permitted), Bounds {}.maxRegionShift);
    EXPECT_LT(std::ranges::count(regions(permitted), "south"), inSouth / 2);
}

// Guards against objects that evict each other: a region that has to serve the objects of all regions' callers gives
// each of them one target, although it is busy.
TEST_F(RegionShift, AnObjectUsesOneTargetInARegionThatRestrictedRequestsShare)
{
    const std::vector<std::string> onlyNorth { "north" };
    const Placement placement {
        .service = "cart", .affinity = "read\n7", .accountRegions = &onlyNorth, .idempotent = true, .maxLoad = 1.6
    };
    const auto targetsUsed = [&](const RestrictedDemand& restricted) {
        advance(seconds(8), { { "cart", { { "north", 300 }, { "south", 400 }, { "west", 300 } } } }, restricted);
        for (auto& [id, target] : targets.all())
            target.inFlight = 0;
        std::set<std::string> used;
        while (auto* target = selection.choose(targets, placement, now).target) {
            ++target->inFlight;
            used.insert(target->record.id);
        }
        return used.size();
    };
    EXPECT_EQ(targetsUsed({}), 2U);
    EXPECT_EQ(targetsUsed({ { "cart", { { "south", { { "north", 80 } } } } } }), 1U);
}

// Guards against one target for each object where every account is restricted to the region of its callers: no region
// then holds the objects of others.
TEST_F(RegionShift, RequestsRestrictedToTheirOwnRegionShareNoRegion)
{
    const Demand demand { { "cart", { { "north", 87 }, { "south", 522 }, { "west", 391 } } } };
    advance(seconds(8), demand,
        { { "cart",
            { { "north", { { "north", 87 } } }, { "south", { { "south", 522 } } },
                { "west", { { "west", 391 } } } } } });
    EXPECT_TRUE(selection.splits().at("cart").sharedRegions.empty());
}

// Guards against demand that is booked on a region which cannot serve it, so that others look emptier than they are.
TEST_F(RegionShift, DemandForARegionWithoutTargetsDoesNotCount)
{
    const Demand demand { { "cart", { { "north", 100 }, { "south", 400 }, { "west", 300 } } } };
    advance(seconds(8), demand);
    const auto before = selection.splits().at("cart").fractions;
    const Demand withLost { { "cart", { { "north", 100 }, { "south", 900 }, { "west", 300 } } } };
    advance(seconds(8), withLost, { { "cart", { { "south", { { "east", 500 } } } } } });
    EXPECT_EQ(selection.splits().at("cart").fractions, before);
}

} // namespace arbutuscrank::entry::test
