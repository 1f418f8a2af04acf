#include "core/routing_test_support.hpp"

// Faults of owners: hand-over, silence, isolation, churn.

namespace arbutuscrank::routing_test {
namespace {

    /// Fills all slots that an entry lets itself use on its targets.
    void fill(Fleet& fleet, std::size_t n)
    {
        while (std::holds_alternative<routing::RunHere>(fleet.request(fleet[n]))) { }
        fleet.cancelQueued(fleet[n]);
    }

    /// Makes every other entry learn that one leaves.
    void leave(Fleet& fleet, std::size_t n)
    {
        fleet[n].state.membership.selfLeaving = true;
        fleet.call(fleet[n], [](State& s, Context& c) { routing::startLeaving(s, c); });
        for (std::size_t at = 0; at < fleet.all.size(); ++at) {
            if (at == n)
                continue;
            Fleet::record(fleet[at], fleet[n]).member.leaving = true;
            fleet.changed(at, n, MemberChange::Leaving);
        }
    }

    // A new owner that starts with all slots while the old one's requests run overloads the target.
    TEST(RoutingOwnerFailure, GracefulLeaveHandsSlotsOverAsRequestsEnd)
    {
        Fleet fleet(3, makeDocument(1, 6));
        const auto old = fleet.ownerOf("t0");
        fill(fleet, old);
        ASSERT_EQ(fleet[old].running.size(), 6U);
        leave(fleet, old);
        fleet.advance(100 * ms);
        const auto owner = fleet.ownerOf("t0");
        ASSERT_NE(owner, old);
        EXPECT_EQ(fleet[owner].target("t0").allowedSlots, 0U);
        for (std::uint32_t ended = 1; ended <= 6; ++ended) {
            fleet.end(fleet[old], fleet[old].running.begin()->first);
            fleet.advance(300 * ms);
            EXPECT_EQ(fleet[owner].target("t0").allowedSlots, ended);
            fill(fleet, owner);
        }
        EXPECT_FALSE(std::holds_alternative<routing::RunHere>(fleet.request(fleet[old])));
    }

    // The old owner's answer must stay in force when it dies afterwards: its requests may still run on the target.
    TEST(RoutingOwnerFailure, OwnerDiesDuringHandOver)
    {
        Fleet fleet(3, makeDocument(1, 6));
        const auto old = fleet.ownerOf("t0");
        fill(fleet, old);
        for (int n = 0; n < 4; ++n)
            fleet.end(fleet[old], fleet[old].running.begin()->first);
        leave(fleet, old);
        fleet.advance(100 * ms);
        const auto owner = fleet.ownerOf("t0");
        EXPECT_EQ(fleet[owner].target("t0").allowedSlots, 4U);
        fleet.kill(old);
        for (std::size_t n = 0; n < 3; ++n) {
            if (n != old)
                fleet.view(n, old, false);
        }
        fleet.advance(20'000 * ms);
        EXPECT_EQ(fleet[owner].target("t0").allowedSlots, 4U) << "silence is not evidence";
        fleet.advance(11'000 * ms);
        EXPECT_EQ(fleet[owner].target("t0").allowedSlots, 6U) << "no request outlives the hold";
    }

    // A dead owner must not block its targets, and half of the slots must become all of them on positive evidence.
    TEST(RoutingOwnerFailure, SilentOwnerLeavesHalfUntilEvidence)
    {
        for (std::uint32_t slots = 1; slots <= 6; ++slots) {
            Fleet fleet(3, makeDocument(1, slots));
            const auto old = fleet.ownerOf("t0");
            fleet.kill(old);
            for (std::size_t n = 0; n < 3; ++n) {
                if (n != old)
                    fleet.view(n, old, false);
            }
            const auto owner = fleet.ownerOf("t0");
            fleet.advance(1000 * ms);
            EXPECT_EQ(fleet[owner].target("t0").allowedSlots, (slots + 1) / 2);
            auto& record = Fleet::record(fleet[owner], fleet[old]);
            record.gone = true;
            record.goneThrough = 100;
            fleet.changed(owner, old, MemberChange::Gone);
            EXPECT_EQ(fleet[owner].target("t0").allowedSlots, slots);
        }
    }

    // Both owners active: whichever way the region splits, their shares together must not exceed the slots until the
    // hold is over, also not while the split heals.
    TEST(RoutingOwnerFailure, SplitRegionSharesOneTarget)
    {
        for (std::size_t size = 2; size <= 6; ++size) {
            for (std::uint32_t slots = 1; slots <= 6; ++slots) {
                for (std::uint32_t side = 1; side + 1 < (1U << size); ++side) {
                    Fleet fleet(size, makeDocument(2, slots));
                    const auto split = [&](bool apart) {
                        for (std::size_t a = 0; a < size; ++a) {
                            for (std::size_t b = a + 1; b < size; ++b) {
                                if (((side >> a) & 1U) != ((side >> b) & 1U))
                                    fleet.separate(a, b, apart);
                            }
                        }
                    };
                    split(true);
                    fleet.advance(1000 * ms);
                    EXPECT_LE(fleet.sumOfAllowedSlots("t0"), slots) << "size " << size << " side " << side;
                    EXPECT_LE(fleet.sumOfAllowedSlots("t1"), slots) << "size " << size << " side " << side;
                    for (std::size_t n = 0; n < size; ++n)
                        fill(fleet, n);
                    split(false);
                    fleet.advance(500 * ms);
                    EXPECT_LE(fleet.sumOfAllowedSlots("t0"), slots);
                    for (auto& entry : fleet.all) {
                        while (!entry->running.empty())
                            fleet.end(*entry, entry->running.begin()->first);
                    }
                    fleet.advance(1000 * ms);
                    EXPECT_EQ(fleet.sumOfAllowedSlots("t0"), slots) << "size " << size << " side " << side;
                }
            }
        }
    }

    // Half of one slot is none: an isolated owner must not keep such a target idle for ever.
    TEST(RoutingOwnerFailure, TargetWithOneSlotIsServedEventually)
    {
        Fleet fleet(2, makeDocument(1, 1));
        fleet.separate(0, 1, true);
        const auto top = Fleet::record(fleet[0], fleet[1]).suspected ? fleet.ownerOf("t0") : 0;
        fleet.advance(1000 * ms);
        EXPECT_EQ(fleet.sumOfAllowedSlots("t0"), 1U);
        fleet.kill(1 - top);
        fleet.advance(32'000 * ms);
        EXPECT_EQ(fleet[top].target("t0").allowedSlots, 1U);
    }

    // A process that was paused may have lost its targets to another entry and must ask before it uses them again.
    TEST(RoutingOwnerFailure, PausedOwnerAsksBeforeItGoesOn)
    {
        Fleet fleet(3, makeDocument(1, 2));
        const auto old = fleet.ownerOf("t0");
        for (std::size_t n = 0; n < 3; ++n) {
            if (n != old)
                fleet.view(n, old, false);
        }
        fleet[old].alive = false;
        fleet.advance(31'000 * ms);
        const auto next = fleet.ownerOf("t0");
        EXPECT_EQ(fleet[next].target("t0").allowedSlots, 2U);
        fill(fleet, next);
        fleet[old].alive = true;
        EXPECT_FALSE(std::holds_alternative<routing::RunHere>(fleet.request(fleet[old])));
        for (std::size_t n = 0; n < 3; ++n) {
            if (n != old)
                fleet.view(n, old, true);
        }
        fleet.advance(1000 * ms);
        EXPECT_EQ(fleet[old].target("t0").allowedSlots, 0U) << "both requests still run at the interim owner";
    }

    // A starting process knows nobody; without a wait it would claim every target of the region.
    TEST(RoutingOwnerFailure, StartingProcessClaimsNothingAtFirst)
    {
        Entry entry(0);
        Outbox outbox;
        Context context { TimePoint(std::chrono::hours(1)), outbox };
        routing::onTick(entry.state, context);
        entry.state.configuration.active = std::make_shared<ActiveDocument>(1, makeDocument(2, 2));
        routing::onConfigurationApplied(entry.state, {}, context);
        EXPECT_FALSE(entry.target("t0").owned);
        for (context.now += 50 * ms; context.now <= TimePoint(std::chrono::hours(1)) + routing::maxStartupDelay;
             context.now += 50 * ms)
            routing::onTick(entry.state, context);
        EXPECT_TRUE(entry.target("t0").owned);
    }

    // Random joins, leaves, requests and ends with reachable members: invariants hold after every event (Fleet::check),
    // and no request waits for ever.
    TEST(RoutingOwnerFailure, ChurnNeverOverloadsTargets)
    {
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            SCOPED_TRACE("seed " + std::to_string(seed));
            Random random(seed);
            Fleet fleet(4, makeDocument(5, 3));
            std::array<bool, 4> in { true, true, true, true };
            for (int step = 0; step < 600 && !::testing::Test::HasFailure(); ++step) {
                auto& entry = fleet[random.below(4)];
                const auto action = random.below(20);
                if (action == 0) {
                    const auto n = random.below(4);
                    in.at(n) = !in.at(n);
                    fleet[n].state.membership.selfLeaving = !in.at(n);
                    fleet[n].state.routing.startedAt = fleet.now; // whoever comes back is a new process
                    fleet.call(fleet[n], [](State& s, Context& c) { routing::startLeaving(s, c); });
                    for (std::size_t at = 0; at < 4; ++at) {
                        if (at != n)
                            Fleet::record(fleet[at], fleet[n]).member.leaving = !in.at(n);
                        if (at != n)
                            fleet.changed(at, n, in.at(n) ? MemberChange::Trusted : MemberChange::Leaving);
                    }
                } else if (action < 10) {
                    (void)fleet.request(entry, random.below(2) == 0 ? "a" : "b");
                } else if (action < 17 && !entry.running.empty()) {
                    fleet.end(entry, entry.running.begin()->first,
                        random.below(10) == 0 ? AttemptOutcome::Unknown : AttemptOutcome::Complete);
                } else {
                    fleet.advance(static_cast<std::int64_t>(random.below(40)) * ms);
                }
            }
            fleet.advance(600 * ms);
            for (auto& entry : fleet.all)
                EXPECT_TRUE(entry->queued.empty());
        }
    }

} // namespace
} // namespace arbutuscrank::routing_test
