#include "entry/entry_harness.hpp"

#include <arbutuscrank/entry/target_health.hpp>

#include <gtest/gtest.h>

#include <algorithm>

namespace arbutuscrank::entry::test {

namespace {

    constexpr TimePoint start { std::chrono::hours(1) };

    TargetTable loadedTable()
    {
        TargetTable table;
        const std::vector<TargetRecord> records { makeTarget("t1"), makeTarget("t2") };
        (void)table.applySnapshot(records, start);
        return table;
    }

} // namespace

// Guards against the loss of living targets whose entries lapsed while the store was down.
TEST(TargetTableLapse, KeepsMissingEntriesForAWhileAfterTheStoresReturn)
{
    auto table = loadedTable();
    table.recordStoreFailure();
    const auto back = start + seconds(5);
    (void)table.applySnapshot(std::vector { makeTarget("t1") }, back);
    table.recordStoreSuccess(back);
    EXPECT_NE(table.find("t2"), nullptr);
    EXPECT_TRUE(table.removeExpired(back + milliseconds(1800)).empty());
    EXPECT_EQ(table.removeExpired(back + TargetTable::removalGrace), std::vector<std::string> { "t2" });
    EXPECT_EQ(table.find("t2"), nullptr);
}

TEST(TargetTableLapse, KeepsAnEntryThatIsBackInTime)
{
    auto table = loadedTable();
    table.recordStoreFailure();
    const auto back = start + seconds(5);
    (void)table.applySnapshot(std::vector { makeTarget("t1") }, back);
    table.recordStoreSuccess(back);
    (void)table.applyRecord(makeTarget("t2"), back + seconds(1));
    EXPECT_TRUE(table.removeExpired(back + seconds(3)).empty());
}

// Guards against requests to a target that left while only this VM was cut off from the store (ovnsky, scale-2).
TEST(TargetTableLapse, DropsMissingEntriesAtOnceIfTheStoreWasUpForOthers)
{
    auto table = loadedTable();
    table.recordStoreFailure();
    const auto back = start + seconds(12);
    (void)table.applySnapshot(std::vector { makeTarget("t1") }, back);
    table.recordStoreSuccess(back);
    table.recordStoreUpElsewhere(start);
    EXPECT_EQ(table.removeExpired(back), std::vector<std::string> { "t2" });
}

TEST(TargetTableLapse, DropsARemovedEntryAtOnceInNormalTimes)
{
    auto table = loadedTable();
    EXPECT_TRUE(table.applyRemoval("t2", start));
    EXPECT_EQ(table.find("t2"), nullptr);
}

// Guards against what was learned of an earlier run under the same id.
TEST(TargetTableRestart, ForgetsTheEarlierRun)
{
    auto table = loadedTable();
    auto& target = *table.find("t1");
    (void)health::recordUnreachable(target, seconds(3), start);
    EXPECT_EQ(target.ejection, Ejection::Unreachable);
    auto restarted = makeTarget("t1");
    restarted.startedAtMs = 2;
    restarted.coldRemaining = seconds(3);
    (void)table.applyRecord(restarted, start + seconds(1));
    EXPECT_EQ(target.ejection, Ejection::None);
    EXPECT_TRUE(target.isCold(start + seconds(3)));
    EXPECT_FALSE(target.isCold(start + seconds(4)));
}

// Guards against a failing target that keeps its traffic, and against one that never gets it back.
TEST(TargetHealthOfEntries, EjectsAndReadmits)
{
    auto table = loadedTable();
    auto& target = *table.find("t1");
    auto now = start;
    for (int i = 0; i < 8 && target.ejection == Ejection::None; ++i)
        (void)health::recordOutcome(target, health::Outcome::Failed, 0, now);
    EXPECT_EQ(target.ejection, Ejection::Failing);
    EXPECT_FALSE(health::mayReceiveRequest(target, now));
    now = target.ejectedUntil;
    EXPECT_TRUE(health::mayReceiveRequest(target, now));
    EXPECT_TRUE(health::recordOutcome(target, health::Outcome::Answered, 1, now));
    EXPECT_EQ(target.ejection, Ejection::None);
}

TEST(TargetHealthOfEntries, EjectsASlowTarget)
{
    auto table = loadedTable();
    auto& target = *table.find("t1");
    for (int i = 0; i < 12 && target.ejection == Ejection::None; ++i)
        (void)health::recordOutcome(target, health::Outcome::Answered, 8, start);
    EXPECT_EQ(target.ejection, Ejection::Slow);
}

// Guards against a target that crashes because all VMs together exceed the rate that it bears while cold.
TEST(ColdTargets, FleetKeepsToTheRateOfAColdTarget)
{
    constexpr int vms = 12;
    const PolicyIndex policy(makePolicy());
    std::vector<MemberRecord> records;
    records.reserve(vms);
    for (int i = 0; i < vms; ++i)
        records.push_back({ .process = { "vm" + std::to_string(i), 0 }, .region = "north" });
    const auto bounds = makeSettings().bounds;
    std::vector<TimePoint> sent;
    for (int i = 0; i < vms; ++i) {
        MemberTable members(records[i]);
        members.applySnapshot(records, start);
        TargetSelection selection("north", bounds, 1);
        TargetTable targets;
        auto record = makeTarget("t1");
        record.coldRemaining = seconds(3);
        (void)targets.applySnapshot(std::vector { record }, start);
        for (auto now = start; now < start + seconds(3); now += milliseconds(10)) {
            selection.updateColdShares(targets, policy, members, now);
            const auto choice = selection.choose(targets, { .service = "cart" }, now);
            if (!choice.target)
                continue;
            (void)choice.target->coldBucket.trySpend(oneToken, now);
            sent.push_back(now);
        }
    }
    std::ranges::sort(sent);
    const double limit = 8 * bounds.coldOverage + bounds.coldSlack;
    EXPECT_GT(sent.size(), 12U);
    for (std::size_t first = 0; first < sent.size(); ++first) {
        const auto end = std::ranges::lower_bound(sent, sent[first] + seconds(1));
        EXPECT_LE(static_cast<double>(std::distance(sent.begin() + static_cast<std::ptrdiff_t>(first), end)), limit);
    }
}

} // namespace arbutuscrank::entry::test
