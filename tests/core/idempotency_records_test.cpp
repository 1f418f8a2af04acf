#include <arbutuscrank/core/state.hpp>

#include <gtest/gtest.h>

namespace arbutuscrank::idempotency {

namespace {

    const ProcessId entry { "a", 1 };
    const ProcessId other { "b", 1 };

    State makeState() { return State(Self { { "holder", 1 }, "r", "d", "", "" }, 1); }

    TimePoint at(Duration time) { return TimePoint(time); }

    RecordOutcome outcomeOf(const ReserveRequest& request, RecordState state)
    {
        return { request.reservationId, request.account, request.key, state };
    }

} // namespace

// Guards against a retransmission that is taken for a second request, and a second request taken for one.
TEST(IdempotencyRecords, OnlyTheSameReservationOfTheSameProcessIsNewAgain)
{
    auto state = makeState();
    const ReserveRequest request { 1, "shop", "k" };
    EXPECT_EQ(record(state, entry, request, at({})), RecordState::New);
    EXPECT_EQ(record(state, entry, request, at({})), RecordState::New);
    EXPECT_EQ(record(state, entry, { 2, "shop", "k" }, at({})), RecordState::Started);
    EXPECT_EQ(record(state, other, request, at({})), RecordState::Started);
    EXPECT_EQ(record(state, { "a", 2 }, request, at({})), RecordState::Started) << "a later incarnation";
    EXPECT_EQ(record(state, other, { 1, "cafe", "k" }, at({})), RecordState::New) << "keys belong to an account";
}

// Guards against the removal of another request's record.
TEST(IdempotencyRecords, NotRunRemovesOnlyTheRecordOfItsReservation)
{
    auto state = makeState();
    const ReserveRequest request { 1, "shop", "k" };
    ASSERT_EQ(record(state, entry, request, at({})), RecordState::New);
    noteOutcome(state, other, outcomeOf(request, RecordState::NotRun), at({}));
    noteOutcome(state, entry, { 2, "shop", "k", RecordState::NotRun }, at({}));
    EXPECT_EQ(record(state, other, { 9, "shop", "k" }, at({})), RecordState::Started);
    noteOutcome(state, entry, outcomeOf(request, RecordState::NotRun), at({}));
    EXPECT_EQ(record(state, entry, request, at({})), RecordState::NotRun) << "a late duplicate makes no record";
    EXPECT_EQ(record(state, other, { 9, "shop", "k" }, at({})), RecordState::New);
}

// Guards against a repeat that runs because a record was dropped early.
TEST(IdempotencyRecords, RecordsLastTenMinutesFromTheOutcome)
{
    auto state = makeState();
    const ReserveRequest request { 1, "shop", "k" };
    ASSERT_EQ(record(state, entry, request, at({})), RecordState::New);
    const Duration ended = std::chrono::seconds(20);
    noteOutcome(state, entry, outcomeOf(request, RecordState::Complete), at(ended));
    const auto last = at(ended + recordLifetime - Duration(1));
    expireRecords(state, last);
    EXPECT_EQ(record(state, other, { 9, "shop", "k" }, last), RecordState::Complete);
    expireRecords(state, last + Duration(1));
    EXPECT_TRUE(state.idempotency.accounts.empty());
}

// Guards against a full table that forgets a request which may still be running.
TEST(IdempotencyRecords, AFullTableDropsTheOldestCompleteRecordAndNeverAStartedOne)
{
    auto state = makeState();
    for (std::uint64_t n = 0; n < maxRecordsPerAccount; ++n)
        ASSERT_EQ(record(state, entry, { n, "shop", std::to_string(n) }, at(Duration(n))), RecordState::New);
    const auto now = at(std::chrono::seconds(1));
    EXPECT_EQ(record(state, other, { 1, "shop", "one more" }, now), RecordState::NotRun);
    EXPECT_EQ(record(state, other, { 1, "cafe", "one more" }, now), RecordState::New) << "another account";
    noteOutcome(state, entry, { 8, "shop", "8", RecordState::Unknown }, now);
    EXPECT_EQ(record(state, other, { 1, "shop", "one more" }, now), RecordState::NotRun) << "it may have run";
    noteOutcome(state, entry, { 7, "shop", "7", RecordState::Complete }, now);
    noteOutcome(state, entry, { 3, "shop", "3", RecordState::Complete }, now + Duration(1));
    EXPECT_EQ(record(state, other, { 1, "shop", "one more" }, now + Duration(2)), RecordState::New);
    EXPECT_EQ(record(state, other, { 2, "shop", "3" }, now + Duration(2)), RecordState::Complete);
    EXPECT_EQ(record(state, other, { 2, "shop", "5" }, now + Duration(2)), RecordState::Started);
}

// Guards against a holder that restarted during a request and forgets its outcome.
TEST(IdempotencyRecords, AnOutcomeWithoutRecordMakesOneUnlessItDidNotRun)
{
    auto state = makeState();
    noteOutcome(state, entry, { 1, "shop", "ran", RecordState::Complete }, at({}));
    noteOutcome(state, entry, { 2, "shop", "did not", RecordState::NotRun }, at({}));
    EXPECT_EQ(record(state, other, { 1, "shop", "ran" }, at({})), RecordState::Complete);
    EXPECT_EQ(record(state, other, { 2, "shop", "did not" }, at({})), RecordState::New);
}

} // namespace arbutuscrank::idempotency
