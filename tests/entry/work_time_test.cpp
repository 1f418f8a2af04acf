#include "entry/entry_harness.hpp"

#include <arbutuscrank/entry/target_health.hpp>

#include <gtest/gtest.h>

#include <algorithm>

namespace arbutuscrank::entry::test {

namespace {

    constexpr TimePoint start { std::chrono::hours(1) };
    constexpr double usual = 100;

    Target makeLoadedTarget(std::uint32_t inFlight)
    {
        Target target;
        target.record = makeTarget("t1"); // four slots
        target.inFlight = inFlight;
        return target;
    }

    bool isEjectedAfter(Target& target, double relativeDuration, std::optional<double> percent)
    {
        for (int i = 0; i < 64; ++i) {
            const auto now = start + i * milliseconds(20);
            if (percent)
                target.recordWorkTime(*percent, now);
            (void)health::recordOutcome(target, health::Outcome::Answered, relativeDuration, now);
            if (target.ejection == Ejection::Slow)
                return true;
        }
        return false;
    }

} // namespace

// Guards against a choice that changes for targets that report nothing, or that relies on an old report.
TEST(WorkTime, CountsOnlyWhileItIsRecent)
{
    auto target = makeLoadedTarget(2);
    EXPECT_EQ(target.slowdown(start), 1);
    EXPECT_EQ(target.expectedWait(start), 0.5);
    target.recordWorkTime(3 * usual, start);
    EXPECT_EQ(target.slowdown(start + WorkTime::maxAge - milliseconds(1)), 3);
    EXPECT_EQ(target.expectedWait(start), 1.5);
    EXPECT_EQ(target.expectedTime(start), 2.25);
    EXPECT_EQ(target.load(start), 2);
    EXPECT_EQ(target.slowdown(start + WorkTime::maxAge), 1);
    // The average does not go on from a report that is too old.
    target.recordWorkTime(2 * usual, start + WorkTime::maxAge);
    EXPECT_EQ(target.slowdown(start + WorkTime::maxAge), 2);
}

// Guards against an average that follows one of many answers at a time, or lags behind the figure.
TEST(WorkTime, IsSmoothedOverTheTimeForWhichItStaysTheSame)
{
    auto target = makeLoadedTarget(0);
    target.recordWorkTime(usual, start);
    target.recordWorkTime(5 * usual, start);
    EXPECT_EQ(target.slowdown(start), 1);
    target.recordWorkTime(5 * usual, start + milliseconds(5));
    EXPECT_NEAR(target.slowdown(start + milliseconds(5)), 1.4, 0.05);
    target.recordWorkTime(5 * usual, start + milliseconds(155));
    EXPECT_GT(target.slowdown(start + milliseconds(155)), 4.8);
    // An answer that is handled late must not move the average away from the figures.
    target.recordWorkTime(usual, start + milliseconds(100));
    EXPECT_GT(target.slowdown(start + milliseconds(155)), 4.8);
}

// Guards against requests of all VMs that move to the one target that looks fast, and against a target that a single
// report excludes.
TEST(WorkTime, IsBounded)
{
    auto target = makeLoadedTarget(4);
    target.recordWorkTime(0.001, start);
    EXPECT_EQ(target.slowdown(start), WorkTime::minSlowdown);
    EXPECT_EQ(target.expectedWait(start), 0.8);
    auto slow = makeLoadedTarget(4);
    slow.recordWorkTime(maxWorkTimePercent, start);
    EXPECT_EQ(slow.slowdown(start), WorkTime::maxSlowdown);
}

// Guards against a report of an earlier process under the same ID.
TEST(WorkTime, EndsWithARestart)
{
    TargetTable table;
    auto record = makeTarget("t1");
    (void)table.applyRecord(record, start);
    table.find("t1")->recordWorkTime(4 * usual, start);
    table.find("t1")->hasUnusableWorkTime = true;
    (void)table.applyRecord(record, start);
    EXPECT_EQ(table.find("t1")->slowdown(start), 4);
    ++record.startedAtMs;
    (void)table.applyRecord(record, start);
    EXPECT_EQ(table.find("t1")->slowdown(start), 1);
    EXPECT_FALSE(table.find("t1")->hasUnusableWorkTime);
}

// Guards against a target that is ejected for the slowness that it reports, and against one that is never ejected
// because it reports slowness.
TEST(WorkTime, ExplainsAPartOfSlowAnswers)
{
    const auto isEjected = [](double relativeDuration, std::optional<double> percent) {
        auto target = makeLoadedTarget(0);
        return isEjectedAfter(target, relativeDuration, percent);
    };
    EXPECT_TRUE(isEjected(5, std::nullopt));
    EXPECT_TRUE(isEjected(5, usual));
    EXPECT_TRUE(isEjected(5, 0.1 * usual));
    EXPECT_FALSE(isEjected(3.9, 0.1 * usual)); // a report of fast work makes no limit stricter
    EXPECT_FALSE(isEjected(5, 3 * usual));
    EXPECT_TRUE(isEjected(9, 3 * usual));
    EXPECT_TRUE(isEjected(9, maxWorkTimePercent));
}

// Guards against reports that are lost between an answer and the target, and against a line for each answer.
TEST(WorkTime, IsTakenFromAnswersAndLoggedOnceIfUnusable)
{
    Entry entry;
    entry.useTargets({ makeTarget("t1") });
    const auto answer = [&](AnswerKind kind, std::optional<double> percent, const std::string& unusable) {
        entry.request("/read/1");
        const auto sent = *entry.last<SendAttempt>();
        entry.handle(AttemptAnswered { .request = sent.request,
            .attempt = sent.attempt,
            .kind = kind,
            .status = 200,
            .deliverable = true,
            .load = LoadReport { 1, 0, 4, percent },
            .unusableWorkTime = unusable });
    };
    answer(AnswerKind::Complete, 3 * usual, "");
    EXPECT_EQ(entry.state.targets.find("t1")->slowdown(entry.now), 3);
    for (int i = 0; i < 3; ++i)
        answer(AnswerKind::Complete, std::nullopt, "0");
    EXPECT_EQ(entry.state.targets.find("t1")->slowdown(entry.now), 3);
    const auto refusals = std::ranges::count_if(entry.effects, [](const auto& effect) {
        const auto* line = std::get_if<WriteLog>(&effect);
        return line && line->event == LogEvent::AnswerValueRefused;
    });
    EXPECT_EQ(refusals, 1);
    // An answer of another target at the same address says nothing of this one.
    entry.now += WorkTime::maxAge;
    answer(AnswerKind::Misdirected, 9 * usual, "");
    EXPECT_EQ(entry.state.targets.find("t1")->slowdown(entry.now), 1);
}

} // namespace arbutuscrank::entry::test
