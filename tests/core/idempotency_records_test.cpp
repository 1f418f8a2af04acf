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

// Guards against a retransmission that is taken for a second request, and a second request that is taken for a
// retransmission.
TEST(IdempotencyRecords, OnlyARetransmissionOfTheSameReservationReturnsNewAgain)
{
    auto state = makeState();
    const ReserveRequest request { 1, "shop", "k" };
    EXPECT_EQ(createRecord(state, entry, request, at({})), RecordState::New);
    EXPECT_EQ(createRecord(state, entry, request, at({})), RecordState::New);
    EXPECT_EQ(createRecord(state, entry, { 2, "shop", "k" }, at({})), RecordState::Started);
    EXPECT_EQ(createRecord(state, other, request, at({})), RecordState::Started);
    EXPECT_EQ(createRecord(state, { "a", 2 }, request, at({})), RecordState::Started)
        << "a later incarnation does not own the reservation";
    EXPECT_EQ(createRecord(state, other, { 1, "cafe", "k" }, at({})), RecordState::New)
        << "keys of different accounts are independent";
}

// Guards against an outcome NotRun that removes the record of another request.
TEST(IdempotencyRecords, NotRunRemovesOnlyTheRecordOfItsReservation)
{
    auto state = makeState();
    const ReserveRequest request { 1, "shop", "k" };
    ASSERT_EQ(createRecord(state, entry, request, at({})), RecordState::New);
    applyOutcome(state, other, outcomeOf(request, RecordState::NotRun), at({}));
    applyOutcome(state, entry, { 2, "shop", "k", RecordState::NotRun }, at({}));
    EXPECT_EQ(createRecord(state, other, { 9, "shop", "k" }, at({})), RecordState::Started);
    applyOutcome(state, entry, outcomeOf(request, RecordState::NotRun), at({}));
    EXPECT_EQ(createRecord(state, entry, request, at({})), RecordState::NotRun)
        << "a late duplicate must not create a record";
    EXPECT_EQ(createRecord(state, other, { 9, "shop", "k" }, at({})), RecordState::New);
}

// Guards against a repeated request that runs because the record was removed too early.
TEST(IdempotencyRecords, RecordsAreKeptForTenMinutesAfterTheOutcome)
{
    auto state = makeState();
    const ReserveRequest request { 1, "shop", "k" };
    ASSERT_EQ(createRecord(state, entry, request, at({})), RecordState::New);
    const Duration endTime = std::chrono::seconds(20);
    applyOutcome(state, entry, outcomeOf(request, RecordState::Complete), at(endTime));
    const auto last = at(endTime + recordLifetime - Duration(1));
    expireRecords(state, last);
    EXPECT_EQ(createRecord(state, other, { 9, "shop", "k" }, last), RecordState::Complete);
    expireRecords(state, last + Duration(1));
    EXPECT_TRUE(state.idempotency.accounts.empty());
}

// Guards against a full table that evicts the record of a request that may be running or may have run.
TEST(IdempotencyRecords, AFullTableEvictsTheOldestCompleteRecordAndNeverAStartedOne)
{
    auto state = makeState();
    for (std::uint64_t n = 0; n < maxRecordsPerAccount; ++n)
        ASSERT_EQ(createRecord(state, entry, { n, "shop", std::to_string(n) }, at(Duration(n))), RecordState::New);
    const auto now = at(std::chrono::seconds(1));
    EXPECT_EQ(createRecord(state, other, { 1, "shop", "one more" }, now), RecordState::NotRun);
    EXPECT_EQ(createRecord(state, other, { 1, "cafe", "one more" }, now), RecordState::New)
        << "the limit applies to each account";
    applyOutcome(state, entry, { 8, "shop", "8", RecordState::Unknown }, now);
    EXPECT_EQ(createRecord(state, other, { 1, "shop", "one more" }, now), RecordState::NotRun)
        << "the record of a request that may have run was evicted";
    applyOutcome(state, entry, { 7, "shop", "7", RecordState::Complete }, now);
    applyOutcome(state, entry, { 3, "shop", "3", RecordState::Complete }, now + Duration(1));
    EXPECT_EQ(createRecord(state, other, { 1, "shop", "one more" }, now + Duration(2)), RecordState::New);
    EXPECT_EQ(createRecord(state, other, { 2, "shop", "3" }, now + Duration(2)), RecordState::Complete);
    EXPECT_EQ(createRecord(state, other, { 2, "shop", "5" }, now + Duration(2)), RecordState::Started);
}

// Guards against a holder that restarts during a request, loses the record and ignores the outcome.
TEST(IdempotencyRecords, AnOutcomeWithoutRecordCreatesOneUnlessTheRequestDidNotRun)
{
    auto state = makeState();
    applyOutcome(state, entry, { 1, "shop", "ran", RecordState::Complete }, at({}));
    applyOutcome(state, entry, { 2, "shop", "did not", RecordState::NotRun }, at({}));
    EXPECT_EQ(createRecord(state, other, { 1, "shop", "ran" }, at({})), RecordState::Complete);
    EXPECT_EQ(createRecord(state, other, { 2, "shop", "did not" }, at({})), RecordState::New);
}

} // namespace arbutuscrank::idempotency
