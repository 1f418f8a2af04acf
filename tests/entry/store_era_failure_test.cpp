#include "entry/fleet_harness.hpp"

#include <gtest/gtest.h>

namespace arbutuscrank::entry::test {

namespace {

    const std::set<std::string> evacuated { makeTarget("t1").failureDomain };

    EvacuationsChanged makeReading(StoreEra era, std::uint64_t revision, std::set<std::string> failureDomains)
    {
        return { { .revision = revision, .failureDomains = std::move(failureDomains), .era = era } };
    }

    /// A VM in era 1 of the store, with two targets.
    struct StoreEraFailure : testing::Test {
        StoreEraFailure()
        {
            entry.handle(StoreEraRead { 1 });
            entry.useTargets({ makeTarget("t1"), makeTarget("t2") });
        }

        bool isInService(const std::string& id)
        {
            const auto* target = entry.state.targets.find(id);
            return target && entry.state.targets.isInService(*target);
        }

        void evacuate(std::uint64_t revision)
        {
            entry.handle(makeReading(entry.state.storeEra.current, revision, evacuated));
            ASSERT_FALSE(isInService("t1"));
        }

        Entry entry;
    };

} // namespace

// EVAC. Guards against requests to an evacuated failure domain whose evacuation the store's copy lacks.
TEST_F(StoreEraFailure, EvacuationThatTheCopyLacksIsKeptUntilTheOperatorCanHaveWrittenItAgain)
{
    evacuate(20);
    entry.handle(StoreEraRead { 2 });
    entry.handle(makeReading(2, 12, {}));
    EXPECT_FALSE(isInService("t1"));
    entry.advance(StoreEraTracking::grace - milliseconds(400));
    EXPECT_FALSE(isInService("t1"));
    entry.advance(milliseconds(600));
    EXPECT_TRUE(isInService("t1"));
    EXPECT_TRUE(entry.state.targets.find("t1")->isCold(entry.now));
}

// EVAC. Guards against an evacuation that stays for the whole grace although the operator has taken it back.
TEST_F(StoreEraFailure, EvacuationThatIsWrittenAgainEndsWithItsRemoval)
{
    evacuate(20);
    entry.handle(StoreEraRead { 2 });
    entry.handle(makeReading(2, 12, {}));
    entry.handle(makeReading(2, 13, evacuated));
    entry.handle(makeReading(2, 14, {}));
    EXPECT_TRUE(isInService("t1"));
}

// EVAC. Guards against a reading that is ignored because its revision, given out again, is lower than one of the era
// before.
TEST_F(StoreEraFailure, RevisionsOfTheEarlierEraDoNotHideANewEvacuation)
{
    entry.handle(makeReading(1, 50, {}));
    entry.handle(makeReading(2, 12, evacuated));
    EXPECT_FALSE(isInService("t1"));
}

// EVAC. Guards against a late answer, or the report of a VM that has not heard of the rise, that undoes a newer
// reading.
TEST_F(StoreEraFailure, ReadingOfTheEarlierEraIsDropped)
{
    entry.handle(makeReading(2, 12, evacuated));
    entry.handle(makeReading(1, 50, {}));
    entry.advance(StoreEraTracking::grace);
    EXPECT_FALSE(isInService("t1"));
}

// EVAC. Guards against an evacuation that ends before any list of the new era was read, because the store named its era
// and then failed for longer than the grace.
TEST_F(StoreEraFailure, EvacuationIsKeptWhileNoListOfTheNewEraHasBeenRead)
{
    evacuate(20);
    entry.handle(StoreEraRead { 2 });
    entry.advance(StoreEraTracking::grace + seconds(10));
    EXPECT_FALSE(isInService("t1"));
    entry.handle(makeReading(2, 12, {}));
    entry.advance(StoreEraTracking::grace - milliseconds(400));
    EXPECT_FALSE(isInService("t1"));
    entry.advance(milliseconds(600));
    EXPECT_TRUE(isInService("t1"));
}

// Guards against an evacuation that a VM which reads no list keeps for ever.
TEST_F(StoreEraFailure, EvacuationIsNotKeptForEverWithoutAList)
{
    evacuate(20);
    entry.handle(StoreEraRead { 2 });
    entry.advance(EraGrace::maxWait + StoreEraTracking::grace - milliseconds(400));
    EXPECT_FALSE(isInService("t1"));
    entry.advance(milliseconds(600));
    EXPECT_TRUE(isInService("t1"));
}

// Guards against collections that are read on with revisions of the earlier era.
TEST_F(StoreEraFailure, ARiseRestartsTheCallsOnceAndAnEarlierOrRepeatedEraDoesNot)
{
    entry.effects.clear();
    for (const StoreEra era : { 2, 2, 1, 0 })
        entry.handle(StoreEraRead { era });
    EXPECT_EQ(entry.count<RestartStoreCalls>(), 1U);
    EXPECT_EQ(entry.state.storeEra.rises, 1U);
}

// DRAIN. Guards against requests to a draining target whose entry in the store's copy says that it is ready.
TEST_F(StoreEraFailure, DrainingTargetStaysOutOfServiceAlthoughTheCopySaysThatItIsReady)
{
    auto draining = makeTarget("t1");
    draining.draining = true;
    entry.handle(TargetChanged { draining });
    entry.handle(StoreEraRead { 2 });
    entry.handle(TargetsListed { { makeTarget("t1"), makeTarget("t2") } });
    EXPECT_FALSE(isInService("t1"));
    auto restarted = makeTarget("t1");
    restarted.startedAtMs = 2;
    entry.handle(TargetChanged { restarted });
    EXPECT_TRUE(isInService("t1"));
}

// DRAIN. Guards against requests to a target that has left and that the store's copy still holds.
TEST_F(StoreEraFailure, RemovedTargetThatTheCopyHoldsGetsNoRequestUntilTheGraceIsOver)
{
    entry.handle(TargetRemoved { "t1" });
    entry.handle(StoreEraRead { 2 });
    entry.handle(TargetsListed { { makeTarget("t1"), makeTarget("t2") } });
    EXPECT_FALSE(isInService("t1"));
    EXPECT_TRUE(isInService("t2"));
    entry.advance(StoreEraTracking::grace + milliseconds(200));
    EXPECT_TRUE(isInService("t1"));
}

// DRAIN. Guards against requests to targets that drain or have left, after the first list of a store that named its new
// era and then failed for longer than the grace, and for longer than departures are remembered.
TEST_F(StoreEraFailure, DrainsAndDeparturesAreHeldFromTheFirstListOfTheNewEra)
{
    auto draining = makeTarget("t1");
    draining.draining = true;
    entry.handle(TargetChanged { draining });
    entry.handle(TargetRemoved { "t2" });
    entry.handle(StoreEraRead { 2 });
    entry.handle(StoreFailed {});
    entry.advance(seconds(40));
    entry.handle(StoreAnswered {});
    entry.handle(TargetsListed { { makeTarget("t1"), makeTarget("t2") } });
    EXPECT_FALSE(isInService("t1"));
    EXPECT_FALSE(isInService("t2"));
    entry.advance(StoreEraTracking::grace - milliseconds(400));
    EXPECT_FALSE(isInService("t1"));
    EXPECT_FALSE(isInService("t2"));
    entry.advance(milliseconds(600));
    EXPECT_TRUE(isInService("t1"));
    EXPECT_TRUE(isInService("t2"));
}

// Guards against a drain that is held for ever, because the store fails from the first list of the new era on.
TEST_F(StoreEraFailure, HeldDrainEndsAlthoughTheStoreStaysAway)
{
    entry.handle(TargetRemoved { "t1" });
    entry.handle(StoreEraRead { 2 });
    entry.handle(TargetsListed { { makeTarget("t1"), makeTarget("t2") } });
    entry.handle(StoreFailed {});
    entry.advance(seconds(20));
    EXPECT_FALSE(isInService("t1"));
    entry.advance(EraGrace::maxWait);
    EXPECT_TRUE(isInService("t1"));
}

// LOST. Guards against live targets that are given up with the first list of a store that named its new era and then
// failed for longer than the time that they take to register again.
TEST_F(StoreEraFailure, MissingTargetIsKeptFromTheFirstListOfTheNewEra)
{
    entry.handle(StoreEraRead { 2 });
    entry.advance(seconds(10));
    entry.handle(TargetsListed { { makeTarget("t2") } });
    EXPECT_TRUE(isInService("t1"));
    entry.advance(TargetTable::removalGrace + milliseconds(300));
    EXPECT_EQ(entry.state.targets.find("t1"), nullptr);
}

// LOST. Guards against live targets that are given up because the copy is older than their registration.
TEST_F(StoreEraFailure, TargetThatTheCopyLacksIsKeptUntilItCanHaveRegisteredAgain)
{
    entry.handle(StoreEraRead { 2 });
    entry.handle(TargetsListed { { makeTarget("t2") } });
    EXPECT_TRUE(isInService("t1"));
    entry.advance(TargetTable::removalGrace + milliseconds(300));
    EXPECT_EQ(entry.state.targets.find("t1"), nullptr);
}

// FAILBACK. Guards against a restarted target whose cold time and address are replaced by those of its earlier start.
TEST_F(StoreEraFailure, EntryOfAnEarlierStartIsIgnored)
{
    auto restarted = makeTarget("t1");
    restarted.startedAtMs = 2;
    restarted.address = "10.0.0.2:80";
    restarted.coldRemaining = seconds(3);
    entry.handle(TargetChanged { restarted });
    entry.handle(StoreEraRead { 2 });
    entry.handle(TargetsListed { { makeTarget("t1"), makeTarget("t2") } });
    EXPECT_EQ(entry.state.targets.find("t1")->record.address, restarted.address);
    EXPECT_TRUE(entry.state.targets.find("t1")->isCold(entry.now));
}

// Guards against a target that restarts within the grace with its clock set back and keeps its old address for ever.
TEST_F(StoreEraFailure, EntryOfAnEarlierStartIsAppliedAfterTheGrace)
{
    auto known = makeTarget("t1");
    known.startedAtMs = 5;
    entry.handle(TargetChanged { known });
    entry.handle(StoreEraRead { 2 });
    entry.handle(TargetsListed { { known, makeTarget("t2") } });
    auto restarted = makeTarget("t1");
    restarted.startedAtMs = 3;
    restarted.address = "10.0.0.3:80";
    restarted.coldRemaining = seconds(8);
    entry.handle(TargetChanged { restarted });
    EXPECT_EQ(entry.state.targets.find("t1")->record.address, known.address);
    entry.advance(StoreEraTracking::grace + milliseconds(200));
    const auto* target = entry.state.targets.find("t1");
    EXPECT_EQ(target->record.address, restarted.address);
    // The time until it is warm was named with the entry.
    EXPECT_EQ(target->coldRemaining(entry.now), seconds(8) - StoreEraTracking::grace - milliseconds(200));
}

// Guards against an entry of the older copy that is applied after the grace, although the target has written a newer
// one or has been removed.
TEST_F(StoreEraFailure, EntryOfAnEarlierStartIsDroppedOnceANewerOneCame)
{
    auto known = makeTarget("t1");
    known.startedAtMs = 5;
    entry.handle(TargetChanged { known });
    entry.handle(StoreEraRead { 2 });
    auto copied = makeTarget("t1");
    copied.startedAtMs = 3;
    copied.address = "10.0.0.3:80";
    entry.handle(TargetsListed { { copied, makeTarget("t2") } });
    auto removed = makeTarget("t2");
    removed.startedAtMs = 5;
    entry.handle(TargetChanged { removed });
    entry.handle(TargetChanged { makeTarget("t2") });
    entry.handle(TargetChanged { known });
    entry.handle(TargetRemoved { "t2" });
    entry.advance(StoreEraTracking::grace + milliseconds(200));
    EXPECT_EQ(entry.state.targets.find("t1")->record.address, known.address);
    EXPECT_EQ(entry.state.targets.find("t2"), nullptr);
}

// CONFIG. Guards against a withdrawn key that is accepted again, because the copy holds the configuration before it.
TEST_F(StoreEraFailure, WithdrawnKeyStaysWithdrawn)
{
    auto withdrawn = makePolicy(7);
    withdrawn.accounts.front().keyDigests.clear();
    entry.handle(PolicyRead { withdrawn });
    entry.handle(StoreEraRead { 2 });
    entry.handle(PolicyRead { makePolicy(6) });
    entry.handle(PolicyConfirmed { entry.now });
    entry.effects.clear();
    entry.request("/read/1");
    EXPECT_EQ(entry.count<SendAttempt>(), 0U);
}

// Guards against VMs that are dropped from look-ups and coordination because the copy lacks their registration.
TEST_F(StoreEraFailure, MemberThatTheCopyLacksIsKeptUntilItCanHaveRegisteredAgain)
{
    const MemberRecord other { .process = { "vm2", 0 }, .region = "north", .failureDomain = "north-a" };
    const MemberRecord gone { .process = { "vm3", 0 }, .region = "north", .failureDomain = "north-a" };
    entry.handle(MembersListed { { other, gone } });
    entry.handle(StoreEraRead { 2 });
    entry.handle(MembersListed {});
    EXPECT_EQ(entry.state.members.fleetSize(), 3U);
    entry.handle(MemberChanged { other });
    entry.advance(StoreEraTracking::grace + milliseconds(200));
    EXPECT_EQ(entry.state.members.fleetSize(), 2U);
}

// Guards against VMs that are dropped with the first list of the new era, because the store named its era and then
// failed for longer than the grace.
TEST_F(StoreEraFailure, MemberIsKeptFromTheFirstListOfTheNewEra)
{
    const MemberRecord other { .process = { "vm2", 0 }, .region = "north", .failureDomain = "north-a" };
    entry.handle(MembersListed { { other } });
    entry.handle(StoreEraRead { 2 });
    entry.advance(StoreEraTracking::grace + seconds(10));
    entry.handle(MembersListed {});
    EXPECT_EQ(entry.state.members.fleetSize(), 2U);
    entry.advance(StoreEraTracking::grace + milliseconds(200));
    EXPECT_EQ(entry.state.members.fleetSize(), 1U);
}

// FAILBACK. Guards against VMs that start after the rise and do not learn that targets may be cold, because the copy
// lacks the record of an evacuation that has ended.
TEST_F(StoreEraFailure, LostRecordOfAnEvacuationIsWrittenAgain)
{
    evacuate(20);
    entry.handle(EvacuationRecordsChanged { evacuated });
    entry.handle(makeReading(1, 21, {}));
    entry.handle(StoreEraRead { 2 });
    entry.handle(makeReading(2, 12, {}));
    entry.handle(EvacuationRecordsChanged {});
    entry.effects.clear();
    entry.handle(Tick {});
    EXPECT_EQ(entry.count<RecordEvacuation>(), 1U);
}

// EVAC. Guards against requests from VMs that hear of the rise at other moments, never hear of it from the store, or
// start after it, to a failure domain whose evacuation the copy lacks.
TEST(StoreEraFleetFailure, EveryVmKeepsTheEvacuation)
{
    Fleet fleet({ 4, 4 }, makePolicy());
    for (const auto& [vm, state] : fleet.all()) {
        fleet.raise(vm, StoreEraRead { 1 });
        fleet.raise(vm, makeReading(1, 20, evacuated));
    }
    fleet.run(seconds(4));
    fleet.raise("b2", StoreEraRead { 2 });
    fleet.raise("b2", makeReading(2, 12, {}));
    fleet.start("a3");
    fleet.raise("a3", StoreEraRead { 2 });
    fleet.raise("a3", makeReading(2, 12, {}));
    fleet.run(seconds(1));
    fleet.raise("a1", makeReading(2, 12, {}));
    fleet.run(seconds(2));
    for (const auto& [vm, state] : fleet.all()) {
        EXPECT_EQ(state.targets.evacuated(), evacuated) << vm;
        EXPECT_EQ(state.storeEra.current, 2U) << vm;
    }
    // Reports that go round must not prolong it.
    fleet.run(StoreEraTracking::grace + seconds(1));
    for (const auto& [vm, state] : fleet.all())
        EXPECT_TRUE(state.targets.evacuated().empty()) << vm;
}

// EVAC. Guards against VMs of which some end the evacuation early, and against reports that prolong it, if the store
// fails for longer than the grace after it has named its new era.
TEST(StoreEraFleetFailure, EveryVmKeepsTheEvacuationUntilTheCopyIsRead)
{
    Fleet fleet({ 4, 4 }, makePolicy());
    for (const auto& [vm, state] : fleet.all()) {
        fleet.raise(vm, StoreEraRead { 1 });
        fleet.raise(vm, makeReading(1, 20, evacuated));
    }
    fleet.run(seconds(4));
    fleet.raise("a1", StoreEraRead { 2 });
    fleet.run(StoreEraTracking::grace + seconds(5));
    for (const auto& [vm, state] : fleet.all())
        EXPECT_EQ(state.targets.evacuated(), evacuated) << vm;
    fleet.raise("a1", makeReading(2, 12, {}));
    fleet.run(StoreEraTracking::grace - seconds(1));
    for (const auto& [vm, state] : fleet.all())
        EXPECT_EQ(state.targets.evacuated(), evacuated) << vm;
    fleet.run(seconds(3));
    for (const auto& [vm, state] : fleet.all())
        EXPECT_TRUE(state.targets.evacuated().empty()) << vm;
}

} // namespace arbutuscrank::entry::test
