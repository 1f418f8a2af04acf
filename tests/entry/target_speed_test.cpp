#include "entry/speed_model.hpp"

#include <gtest/gtest.h>

namespace arbutuscrank::entry::test {

namespace {

    /// Every 600 ms, another part of the targets takes 2.5 times as long as usual.
    double oftenSlow(std::size_t target, double atSeconds)
    {
        constexpr double period = 0.6;
        constexpr double phaseStep = 0.37; // the targets do not change at the same time
        constexpr double slowFraction = 0.15;
        const auto turn = static_cast<std::uint64_t>(atSeconds / period + phaseStep * static_cast<double>(target));
        Random random(turn * 1000 + target);
        return random.unit() < slowFraction ? 2.5 : 1;
    }

} // namespace

// Guards against a choice that treats targets which report the usual time unlike those which report nothing.
TEST(TargetSpeed, UsualFiguresChangeNoChoice)
{
    const auto usual = [](std::size_t, double) { return 1.0; };
    const auto without = SpeedModel({ .reportsWorkTime = false }, usual).run(seconds(4));
    const auto with = SpeedModel({ .reportsWorkTime = true }, usual).run(seconds(4));
    ASSERT_GT(without.order.size(), 1000U);
    EXPECT_EQ(without.order, with.order);
    EXPECT_EQ(without.late, with.late);
}

// Load: one target after the other takes twelve times as long as usual for three seconds. Guards against VMs that do
// not count each other's requests at a target: each of them then sends it the objects of which it is the home.
TEST(TargetSpeed, ATargetThatIsVerySlowForSecondsGetsLessThanItsShare)
{
    constexpr std::size_t targets = 24;
    constexpr double share = 1.0 / targets;
    const auto plan = [](std::size_t target, double atSeconds) {
        return target == static_cast<std::size_t>(atSeconds / 3) * 7 % targets ? 12.0 : 1.0;
    };
    for (const std::size_t vms : { 4, 20 }) {
        const auto result = SpeedModel({ .vms = vms, .targets = targets }, plan).run(seconds(9));
        EXPECT_LT(result.slowShare(), 0.7 * share) << vms;
    }
}

// Load: a sixth of the targets takes five times as long as usual for seconds. Guards against the same fault; these
// targets are not ejected, since they report that work takes long.
TEST(TargetSpeed, TargetsThatAreSlowForSecondsGetLessThanTheirShare)
{
    const auto plan = [](std::size_t target, double) { return target % 6 == 0 ? 5.0 : 1.0; };
    for (const std::size_t vms : { 4, 20 }) {
        const auto result = SpeedModel({ .vms = vms }, plan).run(seconds(8));
        EXPECT_LT(result.slowShare(), 0.6 / 6) << vms;
    }
}

// The reason why the figure has no part in the choice of a target, see docs/design/target-speed.md: with more VMs, each
// of them has a figure for fewer of its attempts. If this changes, the decision is to be measured again.
TEST(TargetSpeed, FewAttemptsHaveARecentFigureInALargeFleet)
{
    const auto few = SpeedModel({ .vms = 4 }, oftenSlow).run(seconds(4));
    const auto many = SpeedModel({ .vms = 40 }, oftenSlow).run(seconds(4));
    EXPECT_GT(few.figureShare(), 0.4);
    EXPECT_LT(many.figureShare(), 0.2);
}

} // namespace arbutuscrank::entry::test
