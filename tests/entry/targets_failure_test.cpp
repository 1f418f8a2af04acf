#include "entry/entry_harness.hpp"

#include <arbutuscrank/entry/target_health.hpp>

#include <gtest/gtest.h>

#include <algorithm>

namespace arbutuscrank::entry::test {

namespace {

    constexpr TimePoint start { std::chrono::hours(1) };

    TargetTable makeLoadedTable()
    {
        TargetTable table;
        const std::vector<TargetRecord> records { makeTarget("t1"), makeTarget("t2") };
        (void)table.applySnapshot(records, start);
        return table;
    }

} // namespace

// Guards against the removal of live targets whose entries expired because they could not renew them during an outage
// of the store.
TEST(TargetTableOutage, KeepsMissingTargetsForAWhileAfterAnOutage)
{
    auto table = makeLoadedTable();
    table.recordStoreFailure();
    const auto recoveredAt = start + seconds(5);
    (void)table.applySnapshot(std::vector { makeTarget("t1") }, recoveredAt);
    table.recordStoreSuccess(recoveredAt);
    EXPECT_NE(table.find("t2"), nullptr);
    EXPECT_TRUE(table.removeExpired(recoveredAt + milliseconds(1800)).empty());
    EXPECT_EQ(table.removeExpired(recoveredAt + TargetTable::removalGrace), std::vector<std::string> { "t2" });
    EXPECT_EQ(table.find("t2"), nullptr);
}

// Guards against the removal of a live target whose entry expired in an outage and was restored within the grace.
TEST(TargetTableOutage, KeepsATargetWhoseEntryReturnsInTime)
{
    auto table = makeLoadedTable();
    table.recordStoreFailure();
    const auto recoveredAt = start + seconds(5);
    (void)table.applySnapshot(std::vector { makeTarget("t1") }, recoveredAt);
    table.recordStoreSuccess(recoveredAt);
    (void)table.applyRecord(makeTarget("t2"), recoveredAt + seconds(1));
    EXPECT_TRUE(table.removeExpired(recoveredAt + seconds(3)).empty());
}

// Guards against requests to a removed target after a partition that separated only this VM from the store: the
// target's entry did not expire because of an outage.
TEST(TargetTableOutage, RemovesMissingTargetsAtOnceIfOthersReachedTheStore)
{
    auto table = makeLoadedTable();
    table.recordStoreFailure();
    const auto recoveredAt = start + seconds(12);
    (void)table.applySnapshot(std::vector { makeTarget("t1") }, recoveredAt);
    table.recordStoreSuccess(recoveredAt);
    table.recordStoreUpElsewhere(start);
    EXPECT_EQ(table.removeExpired(recoveredAt), std::vector<std::string> { "t2" });
}

// Guards against requests to a removed target while its removal waits for the grace although the store had no outage.
TEST(TargetTableOutage, RemovesATargetAtOnceWithoutAnOutage)
{
    auto table = makeLoadedTable();
    EXPECT_TRUE(table.applyRemoval("t2", start));
    EXPECT_EQ(table.find("t2"), nullptr);
}

// Guards against a restarted target that is judged by the failures of its earlier process under the same ID.
TEST(TargetTableRestart, DiscardsTheHealthOfTheEarlierProcess)
{
    auto table = makeLoadedTable();
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

// Guards against a failing target that is not ejected, and against an ejected one that is never readmitted.
TEST(EntryTargetHealth, EjectsAndReadmits)
{
    auto table = makeLoadedTable();
    auto& target = *table.find("t1");
    auto now = start;
    for (int i = 0; i < 8 && target.ejection == Ejection::None; ++i)
        (void)health::recordOutcome(target, health::Outcome::Failed, 0, now);
    EXPECT_EQ(target.ejection, Ejection::Failing);
    EXPECT_FALSE(health::isHealthyOrDueForTrial(target, now));
    now = target.ejectedUntil;
    EXPECT_TRUE(health::isHealthyOrDueForTrial(target, now));
    EXPECT_TRUE(health::recordOutcome(target, health::Outcome::Answered, 1, now));
    EXPECT_EQ(target.ejection, Ejection::None);
}

// Guards against a target that answers every request, but slowly, and keeps receiving its share of them.
TEST(EntryTargetHealth, EjectsASlowTarget)
{
    auto table = makeLoadedTable();
    auto& target = *table.find("t1");
    for (int i = 0; i < 12 && target.ejection == Ejection::None; ++i)
        (void)health::recordOutcome(target, health::Outcome::Answered, 8, start);
    EXPECT_EQ(target.ejection, Ejection::Slow);
}

// Guards against new requests to a target whose answers say that it is about to stop, and against a restarted target
// that gets none.
TEST(TargetStatementFailure, LeavingTargetGetsNoNewRequestUntilItStartsAgain)
{
    Entry entry;
    entry.useTargets({ makeTarget("t1") });
    const auto first = entry.request("/read/1");
    const auto sent = entry.last<SendAttempt>();
    ASSERT_TRUE(sent);
    entry.handle(AttemptAnswered { .request = first, .attempt = sent->attempt, .status = 200, .isLeaving = true });
    EXPECT_TRUE(entry.last<CloseIdleConnections>());
    entry.effects.clear();
    entry.handle(TargetChanged { makeTarget("t1") });
    entry.request("/read/1");
    EXPECT_FALSE(entry.last<SendAttempt>());
    auto restarted = makeTarget("t1");
    restarted.startedAtMs = 2;
    entry.handle(TargetChanged { restarted });
    entry.request("/read/1");
    EXPECT_TRUE(entry.last<SendAttempt>());
}

// Guards against requests to a target that has asked for a pause, from any of the ways in which a target is chosen.
TEST(TargetStatementFailure, PausedTargetGetsNothingUntilThePauseEnds)
{
    Entry entry;
    entry.useTargets({ makeTarget("t1"), makeTarget("t2") });
    const auto first = entry.request("/read/1");
    const auto sent = entry.last<SendAttempt>();
    ASSERT_TRUE(sent);
    entry.effects.clear();
    entry.handle(AttemptAnswered {
        .request = first, .attempt = sent->attempt, .kind = AnswerKind::NotRun, .status = 503, .pause = seconds(3) });
    for (int i = 0; i < 14; ++i) {
        for (const auto* path : { "/read/1", "/write/1" })
            entry.request(path);
        for (const auto& effect : entry.effects) {
            if (const auto* attempt = std::get_if<SendAttempt>(&effect)) {
                EXPECT_NE(attempt->target, sent->target);
                entry.state.targets.find(attempt->target)->inFlight = 0;
            }
        }
        entry.advance(milliseconds(200));
    }
    EXPECT_EQ(entry.state.targets.find(sent->target)->ejection, Ejection::None);
    entry.advance(milliseconds(400));
    EXPECT_FALSE(entry.state.targets.find(sent->target)->isPaused(entry.now));
}

// Guards against a target that crashes because all VMs together exceed the rate that it can serve while cold.
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
            updateRateShares(targets, policy, members, now);
            const auto choice = selection.choose(targets, { .service = "cart" }, now);
            if (!choice.target)
                continue;
            (void)choice.target->rateBucket.trySpend(oneToken, now);
            sent.push_back(now);
        }
    }
    std::ranges::sort(sent);
    const double limit = 8 * bounds.coldRateFactor + bounds.coldSlack;
    EXPECT_GT(sent.size(), 12U);
    for (std::size_t first = 0; first < sent.size(); ++first) {
        const auto end = std::ranges::lower_bound(sent, sent[first] + seconds(1));
        EXPECT_LE(static_cast<double>(std::distance(sent.begin() + static_cast<std::ptrdiff_t>(first), end)), limit);
    }
}

} // namespace arbutuscrank::entry::test
