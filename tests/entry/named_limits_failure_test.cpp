#include "entry/fleet_harness.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace arbutuscrank::entry::test {

namespace {

    constexpr double requestsPerSecond = 120;
    constexpr double namedLimit = 3; ///< requests per second
    /// Sliding window over which the limit is checked.
    constexpr Duration window = seconds(4);
    /// Time after the first answer with a limit from which the limit binds.
    constexpr Duration contactTime = seconds(3);

    /// Requests that may reach a limited target in a window: one and a half times its limit, and five more.
    constexpr double allowedRequests = 1.5 * namedLimit * 4 + 5;

    /// Largest number of requests that a target got within a window that began at \p from or later.
    std::size_t largestWindow(Fleet& fleet, const std::string& target, TimePoint from)
    {
        const auto& times = fleet.sendTimes[target];
        std::size_t largest = 0;
        for (auto first = std::ranges::lower_bound(times, from); first != times.end(); ++first) {
            const auto end = std::lower_bound(first, times.end(), *first + window);
            largest = std::max(largest, static_cast<std::size_t>(std::distance(first, end)));
        }
        return largest;
    }

    std::size_t requestsSince(Fleet& fleet, const std::string& target, TimePoint from)
    {
        const auto& times = fleet.sendTimes[target];
        return static_cast<std::size_t>(std::distance(std::ranges::lower_bound(times, from), times.end()));
    }

} // namespace

// Guards against requests beyond the limit that a target names, summed over all VMs.
TEST(NamedLimitFailure, FleetKeepsToTheLimitAndUsesIt)
{
    Fleet fleet({ 4, 4 }, makePolicy());
    fleet.run(seconds(4), requestsPerSecond);
    fleet.setNamedLimit("t1", namedLimit);
    fleet.run(contactTime, requestsPerSecond);
    const auto boundFrom = fleet.now;
    fleet.run(seconds(20), requestsPerSecond);
    EXPECT_LE(static_cast<double>(largestWindow(fleet, "t1", boundFrom)), allowedRequests);
    // What the target still takes is used: at least three quarters of it.
    EXPECT_GE(static_cast<double>(requestsSince(fleet, "t1", boundFrom)), 0.75 * namedLimit * 20);
}

// Guards against a limit that VMs forget when they restart, lose each other, or stop.
TEST(NamedLimitFailure, LimitHoldsWhileVmsRestartAndLoseEachOther)
{
    Fleet fleet({ 4, 4 }, makePolicy());
    fleet.setNamedLimit("t1", namedLimit);
    fleet.run(contactTime + seconds(2), requestsPerSecond);
    const auto boundFrom = fleet.now;
    for (const auto* vm : { "a2", "b1", "b3" }) {
        fleet.run(seconds(2), requestsPerSecond);
        fleet.start(vm);
    }
    for (const auto* vm : { "a1", "b4" }) {
        fleet.isolate(vm);
        fleet.run(seconds(3), requestsPerSecond);
    }
    // A VM that restarts may send until it has passed on an answer with the limit, and those requests are not counted.
    constexpr double uncountedPerRestart = 2;
    EXPECT_LE(static_cast<double>(largestWindow(fleet, "t1", boundFrom)), allowedRequests + 3 * uncountedPerRestart);
}

// Guards against a target that stays limited after its answers have stopped naming a limit.
TEST(NamedLimitFailure, LimitEndsWithTheFirstAnswerWithoutIt)
{
    Fleet fleet({ 4, 4 }, makePolicy());
    fleet.setNamedLimit("t1", namedLimit);
    fleet.run(contactTime + seconds(4), requestsPerSecond);
    EXPECT_LE(static_cast<double>(largestWindow(fleet, "t1", fleet.now - window)), allowedRequests);
    fleet.setNamedLimit("t1", std::nullopt);
    fleet.run(seconds(3), requestsPerSecond);
    const auto liftedAt = fleet.now;
    fleet.run(seconds(4), requestsPerSecond);
    EXPECT_GT(static_cast<double>(requestsSince(fleet, "t1", liftedAt)), 0.75 * requestsPerSecond / 3 * 4);
}

// Guards against the ejection of a limited target for refusals that follow from its limit.
TEST(NamedLimitFailure, RefusalsOfALimitedTargetAreNotFailures)
{
    Entry entry;
    entry.useTargets({ makeTarget("t1") });
    for (int i = 0; i < 12; ++i) {
        entry.advance(seconds(2));
        const auto id = entry.request("/write/1");
        const auto sent = entry.last<SendAttempt>();
        ASSERT_TRUE(sent) << "request " << i;
        entry.handle(AttemptAnswered { .request = id,
            .attempt = sent->attempt,
            .kind = AnswerKind::NotRun,
            .status = 503,
            .rateLimit = { RateLimitStatement::Kind::Limited, namedLimit } });
    }
    EXPECT_EQ(entry.state.targets.find("t1")->ejection, Ejection::None);
}

} // namespace arbutuscrank::entry::test
