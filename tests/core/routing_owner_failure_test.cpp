#include "core/routing_harness.hpp"

// Failures of owners: handover, lost heartbeats, isolation and churn.

namespace arbutuscrank::routing_test {
namespace {

    /// Occupies all slots that an entry may use on its targets.
    void fillAllowedSlots(Fleet& fleet, std::size_t n)
    {
        while (std::holds_alternative<routing::RunHere>(fleet.request(fleet[n]))) { }
        fleet.cancelQueued(fleet[n]);
    }

    /// Makes an entry leave and tells all others.
    void markLeaving(Fleet& fleet, std::size_t n)
    {
        fleet[n].state.membership.selfLeaving = true;
        fleet.call(fleet[n], [](State& s, Context& c) { routing::startLeaving(s, c); });
        for (std::size_t other = 0; other < fleet.all.size(); ++other) {
            if (other == n)
                continue;
            Fleet::record(fleet[other], fleet[n]).member.leaving = true;
            fleet.notifyMemberChange(other, n, MemberChange::Leaving);
        }
    }

    // Guards against an overloaded target: a new owner must not use slots that requests of the old one still occupy.
    TEST(RoutingOwnerFailure, LeavingOwnerHandsSlotsOverAsRequestsEnd)
    {
        Fleet fleet(3, makeDocument(1, 6));
        const auto oldOwner = fleet.ownerOf("t0");
        fillAllowedSlots(fleet, oldOwner);
        ASSERT_EQ(fleet[oldOwner].running.size(), 6U);
        markLeaving(fleet, oldOwner);
        fleet.advance(100 * ms);
        const auto owner = fleet.ownerOf("t0");
        ASSERT_NE(owner, oldOwner);
        EXPECT_EQ(fleet[owner].target("t0").allowedSlots, 0U);
        for (std::uint32_t ended = 1; ended <= 6; ++ended) {
            fleet.endRequest(fleet[oldOwner], fleet[oldOwner].running.begin()->first);
            fleet.advance(300 * ms);
            EXPECT_EQ(fleet[owner].target("t0").allowedSlots, ended);
            fillAllowedSlots(fleet, owner);
        }
        EXPECT_FALSE(std::holds_alternative<routing::RunHere>(fleet.request(fleet[oldOwner])));
    }

    // Guards against a new owner that takes all slots when the old one crashes after its reply: the requests that the
    // reply counted may still run on the target.
    TEST(RoutingOwnerFailure, OwnerThatCrashesDuringHandoverKeepsItsSlots)
    {
        Fleet fleet(3, makeDocument(1, 6));
        const auto oldOwner = fleet.ownerOf("t0");
        fillAllowedSlots(fleet, oldOwner);
        for (int n = 0; n < 4; ++n)
            fleet.endRequest(fleet[oldOwner], fleet[oldOwner].running.begin()->first);
        markLeaving(fleet, oldOwner);
        fleet.advance(100 * ms);
        const auto owner = fleet.ownerOf("t0");
        EXPECT_EQ(fleet[owner].target("t0").allowedSlots, 4U);
        fleet.kill(oldOwner);
        for (std::size_t n = 0; n < 3; ++n) {
            if (n != oldOwner)
                fleet.setHeard(n, oldOwner, false);
        }
        fleet.advance(20'000 * ms);
        EXPECT_EQ(fleet[owner].target("t0").allowedSlots, 4U)
            << "missing heartbeats are no evidence that the process ended";
        fleet.advance(11'000 * ms);
        EXPECT_EQ(fleet[owner].target("t0").allowedSlots, 6U) << "no request outlives the former owner timeout";
    }

    // Guards against targets blocked by a crashed owner: the new owner uses half of the slots at once, and all of them
    // when there is evidence that the process ended.
    TEST(RoutingOwnerFailure, UnreachableOwnerLeavesHalfUntilItIsGone)
    {
        for (std::uint32_t slots = 1; slots <= 6; ++slots) {
            Fleet fleet(3, makeDocument(1, slots));
            const auto oldOwner = fleet.ownerOf("t0");
            fleet.kill(oldOwner);
            for (std::size_t n = 0; n < 3; ++n) {
                if (n != oldOwner)
                    fleet.setHeard(n, oldOwner, false);
            }
            const auto owner = fleet.ownerOf("t0");
            fleet.advance(1000 * ms);
            EXPECT_EQ(fleet[owner].target("t0").allowedSlots, (slots + 1) / 2);
            auto& record = Fleet::record(fleet[owner], fleet[oldOwner]);
            record.gone = true;
            record.lastGoneIncarnation = 100;
            fleet.notifyMemberChange(owner, oldOwner, MemberChange::Gone);
            EXPECT_EQ(fleet[owner].target("t0").allowedSlots, slots);
        }
    }

    // Guards against an overloaded target when a partition leaves both owners active. For every partition of the
    // region, their allowed slots together must not exceed the slots within the former owner timeout, nor while it
    // heals.
    TEST(RoutingOwnerFailure, PartitionedRegionDoesNotExceedSlots)
    {
        for (std::size_t size = 2; size <= 6; ++size) {
            for (std::uint32_t slots = 1; slots <= 6; ++slots) {
                for (std::uint32_t side = 1; side + 1 < (1U << size); ++side) {
                    Fleet fleet(size, makeDocument(2, slots));
                    const auto split = [&](bool separated) {
                        for (std::size_t a = 0; a < size; ++a) {
                            for (std::size_t b = a + 1; b < size; ++b) {
                                if (((side >> a) & 1U) != ((side >> b) & 1U))
                                    fleet.setSeparated(a, b, separated);
                            }
                        }
                    };
                    split(true);
                    fleet.advance(1000 * ms);
                    EXPECT_LE(fleet.sumOfAllowedSlots("t0"), slots) << "size " << size << " side " << side;
                    EXPECT_LE(fleet.sumOfAllowedSlots("t1"), slots) << "size " << size << " side " << side;
                    for (std::size_t n = 0; n < size; ++n)
                        fillAllowedSlots(fleet, n);
                    split(false);
                    fleet.advance(500 * ms);
                    EXPECT_LE(fleet.sumOfAllowedSlots("t0"), slots);
                    for (auto& entry : fleet.all) {
                        while (!entry->running.empty())
                            fleet.endRequest(*entry, entry->running.begin()->first);
                    }
                    fleet.advance(1000 * ms);
                    EXPECT_EQ(fleet.sumOfAllowedSlots("t0"), slots) << "size " << size << " side " << side;
                }
            }
        }
    }

    // Guards against a target with one slot that stays idle: half of its slots, rounded down, is none, and so an
    // isolated owner may use one after the former owner timeout.
    TEST(RoutingOwnerFailure, TargetWithOneSlotIsServedEventually)
    {
        Fleet fleet(2, makeDocument(1, 1));
        fleet.setSeparated(0, 1, true);
        const auto remainingOwner = Fleet::record(fleet[0], fleet[1]).suspected ? fleet.ownerOf("t0") : 0;
        fleet.advance(1000 * ms);
        EXPECT_EQ(fleet.sumOfAllowedSlots("t0"), 1U);
        fleet.kill(1 - remainingOwner);
        fleet.advance(32'000 * ms);
        EXPECT_EQ(fleet[remainingOwner].target("t0").allowedSlots, 1U);
    }

    // Guards against a process that was paused and uses its targets again without a query, although another entry may
    // have taken them over.
    TEST(RoutingOwnerFailure, PausedOwnerQueriesBeforeItUsesItsTargets)
    {
        Fleet fleet(3, makeDocument(1, 2));
        const auto oldOwner = fleet.ownerOf("t0");
        for (std::size_t n = 0; n < 3; ++n) {
            if (n != oldOwner)
                fleet.setHeard(n, oldOwner, false);
        }
        fleet[oldOwner].alive = false;
        fleet.advance(31'000 * ms);
        const auto interimOwner = fleet.ownerOf("t0");
        EXPECT_EQ(fleet[interimOwner].target("t0").allowedSlots, 2U);
        fillAllowedSlots(fleet, interimOwner);
        fleet[oldOwner].alive = true;
        EXPECT_FALSE(std::holds_alternative<routing::RunHere>(fleet.request(fleet[oldOwner])));
        for (std::size_t n = 0; n < 3; ++n) {
            if (n != oldOwner)
                fleet.setHeard(n, oldOwner, true);
        }
        fleet.advance(1000 * ms);
        EXPECT_EQ(fleet[oldOwner].target("t0").allowedSlots, 0U) << "both requests still run at the interim owner";
    }

    // Guards against a starting process that claims every target of the region because it has heard no other member
    // yet.
    TEST(RoutingOwnerFailure, StartingProcessWaitsBeforeItClaimsTargets)
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

    // Guards against overloaded targets and requests stuck in the queue under random joins, leaves and requests of
    // reachable members. Fleet::checkInvariants runs after every event.
    TEST(RoutingOwnerFailure, ChurnNeverOverloadsTargets)
    {
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            SCOPED_TRACE("seed " + std::to_string(seed));
            Random random(seed);
            Fleet fleet(4, makeDocument(5, 3));
            std::array<bool, 4> isMember { true, true, true, true };
            for (int step = 0; step < 600 && !::testing::Test::HasFailure(); ++step) {
                auto& entry = fleet[random.below(4)];
                const auto action = random.below(20);
                if (action == 0) {
                    const auto n = random.below(4);
                    isMember.at(n) = !isMember.at(n);
                    fleet[n].state.membership.selfLeaving = !isMember.at(n);
                    fleet[n].state.routing.startedAt = fleet.now; // a member that returns is a new process
                    fleet.call(fleet[n], [](State& s, Context& c) { routing::startLeaving(s, c); });
                    for (std::size_t other = 0; other < 4; ++other) {
                        if (other != n)
                            Fleet::record(fleet[other], fleet[n]).member.leaving = !isMember.at(n);
                        if (other != n)
                            fleet.notifyMemberChange(
                                other, n, isMember.at(n) ? MemberChange::Trusted : MemberChange::Leaving);
                    }
                } else if (action < 10) {
                    (void)fleet.request(entry, random.below(2) == 0 ? "a" : "b");
                } else if (action < 17 && !entry.running.empty()) {
                    fleet.endRequest(entry, entry.running.begin()->first,
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
