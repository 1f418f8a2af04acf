#include "entry/entry_harness.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <cmath>

namespace arbutuscrank::entry::test {

namespace {

    /// Latency objectives of three routes of one service, least slack first.
    constexpr std::array<Duration, 3> objectives { milliseconds(250), milliseconds(400), milliseconds(1000) };
    using PerSecond = std::array<double, 3>; ///< requests per second by route

    /// A region with few targets whose callers ask three routes of one service.
    struct FullRegion {
        FullRegion()
        {
            std::vector<TargetRecord> records;
            const std::map<std::string, int> targetsOf { { "north", 2 }, { "south", 12 }, { "west", 9 } };
            for (const auto& [region, n] : targetsOf) {
                for (int i = 0; i < n; ++i)
                    records.push_back(makeTarget(region + std::to_string(i), region));
            }
            (void)targets.applySnapshot(records, now);
        }

        void advance(Duration duration, const PerSecond& north, bool reportsClasses = true)
        {
            double total = 0;
            MovableDemand movable;
            for (std::size_t i = 0; i < objectives.size(); ++i) {
                total += north[i];
                if (reportsClasses && north[i] > 0)
                    movable["cart"][slackClass(objectives[i])] = north[i];
            }
            const DemandByRegion demand { { "cart", { { "north", total }, { "south", 400 }, { "west", 300 } } } };
            for (Duration done {}; done < duration; done += milliseconds(200)) {
                now += milliseconds(200);
                selection.updateSplits(targets, demand, {}, movable, now);
            }
        }

        /// Region selected for each of many affinity values of a route.
        std::vector<std::string> regions(std::size_t route)
        {
            std::vector<std::string> out;
            for (int i = 0; i < 1000; ++i) {
                const auto affinity = std::to_string(route) + '\n' + std::to_string(i);
                const Placement placement { .service = "cart",
                    .affinity = affinity,
                    .idempotent = true,
                    .slackClass = slackClass(objectives.at(route)) };
                out.push_back(selection.choose(targets, placement, now).target->record.region);
            }
            return out;
        }

        /// Fraction of a route's affinity values that stay.
        double local(std::size_t route)
        {
            const auto all = regions(route);
            return static_cast<double>(std::ranges::count(all, "north")) / static_cast<double>(all.size());
        }

        /// Fraction of all requests that stay.
        double local(const PerSecond& north)
        {
            double stays = 0;
            double all = 0;
            for (std::size_t i = 0; i < objectives.size(); ++i) {
                stays += north[i] > 0 ? north[i] * local(i) : 0;
                all += north[i];
            }
            return stays / all;
        }

        /// Largest fraction of the requests whose region changes from one window of 2 s to the next.
        double largestShift(Duration duration, const PerSecond& north, bool reportsClasses = true)
        {
            double largest = 0;
            std::array<std::vector<std::string>, 3> before;
            for (std::size_t i = 0; i < before.size(); ++i)
                before[i] = regions(i);
            for (Duration done {}; done < duration; done += seconds(2)) {
                advance(seconds(2), north, reportsClasses);
                double changed = 0;
                double all = 0;
                for (std::size_t i = 0; i < before.size(); ++i) {
                    const auto after = regions(i);
                    for (std::size_t k = 0; k < after.size(); ++k)
                        changed += after[k] != before[i][k] ? north[i] : 0;
                    all += north[i] * static_cast<double>(after.size());
                    before[i] = after;
                }
                largest = std::max(largest, changed / all);
            }
            return largest;
        }

        TimePoint now { std::chrono::hours(1) };
        TargetTable targets;
        TargetSelection selection { "north", Bounds {}, 1 };
    };

} // namespace

// Guards against requests with little time that leave a full region while others with much time stay.
TEST(RegionOverflow, TheRouteWithTheMostSlackLeavesFirst)
{
    FullRegion it;
    const PerSecond north { 30, 30, 240 };
    it.advance(seconds(8), north, false);
    const double before = it.local(north);
    ASSERT_LT(it.local(0), 0.4);
    it.advance(seconds(30), north);
    EXPECT_GT(it.local(0), 0.9);
    EXPECT_GT(it.local(1), 0.6);
    EXPECT_LT(it.local(2), 0.2);
    EXPECT_NEAR(it.local(north), before, 0.06);
}

// Guards against values that move between regions at once when the demand by route becomes known or changes.
TEST(RegionOverflow, TheOrderChangesBySteps)
{
    FullRegion it;
    it.advance(seconds(8), { 30, 30, 240 }, false);
    EXPECT_LE(it.largestShift(seconds(20), { 30, 30, 240 }), Bounds {}.maxRegionShift);
    EXPECT_LE(it.largestShift(seconds(20), { 240, 30, 30 }), Bounds {}.maxRegionShift);
    EXPECT_LE(it.largestShift(seconds(20), { 0, 150, 150 }), Bounds {}.maxRegionShift);
}

// Guards against values that move although only one class of routes exists, or although the region has room for all.
TEST(RegionOverflow, NothingChangesWithOneClassOrWithRoomForAll)
{
    for (const double n : { 300.0, 50.0 }) {
        FullRegion it;
        const PerSecond oneClass { 0, n, 0 };
        it.advance(seconds(8), oneClass, false);
        const auto before = it.regions(1);
        it.advance(seconds(8), oneClass);
        EXPECT_EQ(it.regions(1), before);
    }
    FullRegion it;
    const PerSecond all { 20, 20, 10 };
    it.advance(seconds(8), all);
    EXPECT_DOUBLE_EQ(it.local(all), 1);
}

// Guards against a part of the requests that stays or leaves beyond the split of the service, and against too large
// steps, whatever the routes are asked.
RC_GTEST_PROP(RegionOverflow, KeepsTheSplitOfTheServiceAndTheMaximumShift, ())
{
    const auto draw = [] {
        PerSecond out {};
        for (auto& n : out)
            n = *rc::gen::inRange(1, 300);
        return out;
    };
    const auto first = draw();
    const auto second = draw();
    FullRegion it;
    it.advance(seconds(8), first);
    double all = 0;
    for (const auto n : second)
        all += n;
    double stays = 0;
    for (int window = 0; window < 10; ++window) {
        const auto before = it.selection.splits().at("cart").fractionsByClass;
        it.advance(seconds(2), second);
        const auto& after = it.selection.splits().at("cart").fractionsByClass;
        double shift = 0;
        stays = 0;
        for (std::size_t i = 0; i < second.size(); ++i) {
            const auto slack = slackClass(objectives.at(i));
            for (const auto& [region, fraction] : after.at(slack))
                shift += second.at(i) / all * std::abs(fraction - before.at(slack).at(region)) / 2;
            stays += second.at(i) / all * after.at(slack).at("north");
        }
        RC_ASSERT(shift <= Bounds {}.maxRegionShift);
    }
    // Both follow the desired split up to the dead band of 0.05.
    RC_ASSERT(std::abs(stays - it.selection.splits().at("cart").fractions.at("north")) <= 0.1);
}

// Guards against a route without an objective that keeps the place of one whose callers wait.
TEST(RegionOverflow, ARouteWithoutAnObjectiveHasTheMostSlack)
{
    EXPECT_GT(slackClass(Duration::zero()), slackClass(std::chrono::hours(1)));
    EXPECT_LT(slackClass(objectives[0]), slackClass(objectives[1]));
    EXPECT_LT(slackClass(objectives[1]), slackClass(objectives[2]));
}

// Guards against requests that the region must serve, or may not serve, in the demand that is split by class.
TEST(RegionOverflow, CountsRequestsThatTheRegionAndAnotherMayServe)
{
    const std::map<std::vector<std::string>, bool> countsFor { { {}, true }, { { "north", "south" }, true },
        { { "north" }, false }, { { "south" }, false }, { { "south", "west" }, false } };
    for (const auto& [permitted, counts] : countsFor) {
        auto policy = makePolicy();
        policy.accounts.front().regions = permitted;
        Entry entry(1, policy);
        entry.useTargets({ makeTarget("t1"), makeTarget("t2", "south"), makeTarget("t3", "west") });
        entry.request("/read/1");
        entry.advance(milliseconds(200));
        const auto& mix = entry.state.serviceDemand["cart"].mix.movableByClass;
        EXPECT_EQ(mix.contains(slackClass(milliseconds(500))), counts);
        EXPECT_EQ(mix.empty(), !counts);
    }
}

} // namespace arbutuscrank::entry::test
