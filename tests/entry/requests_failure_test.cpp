#include "entry/entry_harness.hpp"

#include <gtest/gtest.h>

namespace arbutuscrank::entry::test {

namespace {

    struct EntryFailures : testing::Test {
        EntryFailures() { entry.useTargets({ makeTarget("t1"), makeTarget("t2"), makeTarget("t3") }); }

        void fail(AttemptProgress progress)
        {
            const auto sent = *entry.last<SendAttempt>();
            entry.handle(AttemptFailed { sent.request, sent.attempt, progress, "test" });
        }

        void answer(AnswerKind kind, std::uint32_t status, bool deliverable)
        {
            const auto sent = *entry.last<SendAttempt>();
            entry.handle(AttemptAnswered { .request = sent.request,
                .attempt = sent.attempt,
                .kind = kind,
                .status = status,
                .deliverable = deliverable });
        }

        Entry entry;
    };

} // namespace

// Guards against a second run of a request that must run at most once.
TEST_F(EntryFailures, AtMostOnceIsNotSentAgainAfterItWasSent)
{
    entry.request("/write/1");
    fail(AttemptProgress::Sent);
    EXPECT_EQ(entry.count<SendAttempt>(), 1U);
    ASSERT_TRUE(entry.last<SendLocalAnswer>());
    EXPECT_EQ(entry.last<SendLocalAnswer>()->status, 502U); // 503 would state that the request did not run
}

// Guards against a request that no target can get and that is tried at one after the other, charges them with failures
// and takes quota from its account.
TEST_F(EntryFailures, UnsendableRequestIsRefusedAtOnceAndCostsNothingElse)
{
    for (int i = 0; i < 2000; ++i) { // the account has 1000 tokens
        entry.effects.clear();
        entry.request(i % 2 == 0 ? "/write/1" : "/read/1");
        fail(AttemptProgress::Unsendable);
        ASSERT_EQ(entry.count<SendAttempt>(), 1U) << i;
        ASSERT_TRUE(entry.last<SendLocalAnswer>()) << i;
        ASSERT_EQ(entry.last<SendLocalAnswer>()->status, 502U) << i;
        ASSERT_EQ(entry.last<SendLocalAnswer>()->reason, "unsendable") << i;
        ASSERT_EQ(entry.last<WriteLog>()->event, LogEvent::RequestRefused) << i; // it has not run
    }
    for (const auto& [id, target] : entry.state.targets.all()) {
        EXPECT_EQ(target.inFlight, 0U) << id;
        EXPECT_EQ(target.ejectedUntil, TimePoint {}) << id;
    }
    EXPECT_TRUE(entry.state.requests.empty());
}

// Guards against an account whose name can be sent to no target and that nevertheless takes a share of its quota: its
// name would go into the datagrams of coordinators, which may be too long then.
TEST(UnsendableAccount, IsRefusedOnArrival)
{
    auto policy = makePolicy();
    policy.accounts[0].isSendable = false;
    Entry entry(1, policy);
    entry.useTargets({ makeTarget("t1") });
    entry.effects.clear();
    entry.request("/read/1");
    ASSERT_TRUE(entry.last<SendLocalAnswer>());
    EXPECT_EQ(entry.last<SendLocalAnswer>()->status, 502U);
    EXPECT_EQ(entry.last<SendLocalAnswer>()->reason, "unsendable");
    EXPECT_EQ(entry.count<SendAttempt>(), 0U);
    EXPECT_FALSE(entry.lastMessage<AdmissionRequest>());
    EXPECT_TRUE(entry.state.requests.empty());
    EXPECT_FALSE(wouldPassOn(entry.state, host, "/read/1", key, entry.now)); // its body is not kept
    entry.request("/open/1", ""); // needs no key
    EXPECT_EQ(entry.count<SendAttempt>(), 1U);
}

// Guards against a request that is tried again and again, or said not to have run, if its second attempt cannot be
// sent.
TEST_F(EntryFailures, UnsendableRetryLeavesTheOutcomeUnknown)
{
    entry.request("/read/1");
    fail(AttemptProgress::Sent);
    ASSERT_EQ(entry.count<SendAttempt>(), 2U);
    fail(AttemptProgress::Unsendable);
    EXPECT_EQ(entry.count<SendAttempt>(), 2U);
    ASSERT_TRUE(entry.last<SendLocalAnswer>());
    EXPECT_EQ(entry.last<SendLocalAnswer>()->reason, "outcome-unknown");
    EXPECT_EQ(entry.last<WriteLog>()->event, LogEvent::RequestOutcomeUnknown);
}

// Guards against a request that is refused although no target received it and another one could run it.
TEST_F(EntryFailures, AtMostOnceIsSentAgainWhenNoConnectionWasOpened)
{
    entry.request("/write/1");
    const auto first = entry.last<SendAttempt>()->target;
    fail(AttemptProgress::NotConnected);
    EXPECT_EQ(entry.count<SendAttempt>(), 2U);
    EXPECT_NE(entry.last<SendAttempt>()->target, first);
}

// Guards against a request that is refused although the target states that it did not run it.
TEST_F(EntryFailures, AtMostOnceIsSentAgainWhenTheTargetDidNotRunIt)
{
    entry.request("/write/1");
    answer(AnswerKind::NotRun, 503, false);
    EXPECT_EQ(entry.count<SendAttempt>(), 2U);
}

// Guards against a failure that is forwarded to the caller although another target could answer.
TEST_F(EntryFailures, IdempotentIsSentAgain)
{
    entry.request("/read/1");
    fail(AttemptProgress::Sent);
    EXPECT_EQ(entry.count<SendAttempt>(), 2U);
    answer(AnswerKind::Complete, 200, true);
    EXPECT_TRUE(entry.last<DeliverAnswer>());
}

// Guards against attempts at more targets than the route allows.
TEST_F(EntryFailures, KeepsToTheAttemptsOfTheRoute)
{
    entry.request("/read/1");
    for (int i = 0; i < 5; ++i)
        fail(AttemptProgress::Sent);
    EXPECT_EQ(entry.count<SendAttempt>(), 3U);
    EXPECT_EQ(entry.count<SendLocalAnswer>(), 1U);
}

// Guards against an answer of the VM itself in place of the target's answer.
TEST_F(EntryFailures, DeliversTheTargetsFailure)
{
    entry.request("/write/1");
    answer(AnswerKind::Failure, 500, true);
    ASSERT_TRUE(entry.last<DeliverAnswer>());
    EXPECT_EQ(entry.count<SendLocalAnswer>(), 0U);
}

// Guards against a refusal as not run of a request that a target has run: an answer without a valid signature does not
// prove that it did not run.
TEST_F(EntryFailures, UnsignedFailureHasAnUnknownOutcome)
{
    entry.request("/write/1");
    answer(AnswerKind::Failure, 503, false);
    ASSERT_TRUE(entry.last<SendLocalAnswer>());
    EXPECT_EQ(entry.last<SendLocalAnswer>()->status, 502U);
}

// Guards against an idempotent request that waits for its deadline because one target does not answer.
TEST_F(EntryFailures, HedgesASlowAttempt)
{
    entry.request("/read/1");
    entry.now += milliseconds(100);
    answer(AnswerKind::Complete, 200, true);
    entry.effects.clear();
    const auto id = entry.request("/read/1");
    ASSERT_TRUE(entry.last<SetHedgeTimer>());
    entry.now = entry.last<SetHedgeTimer>()->at;
    entry.handle(HedgeDue { id });
    EXPECT_EQ(entry.count<SendAttempt>(), 2U);
    answer(AnswerKind::Complete, 200, true);
    EXPECT_TRUE(entry.last<DeliverAnswer>());
    EXPECT_EQ(entry.count<CancelAttempt>(), 1U); // the slow attempt
}

// Guards against requests with a withdrawn key at a VM that has lost the store and cannot know of the withdrawal.
TEST_F(EntryFailures, RefusesKeysWhenTheConfigurationIsTooOld)
{
    entry.now += entry.state.settings.bounds.keyWithdrawalLimit;
    entry.request("/read/1");
    ASSERT_TRUE(entry.last<SendLocalAnswer>());
    EXPECT_EQ(entry.last<SendLocalAnswer>()->status, 503U);
    EXPECT_EQ(entry.last<SendLocalAnswer>()->reason, "configuration-stale");
    entry.request("/open/1", "");
    EXPECT_EQ(entry.count<SendAttempt>(), 1U);
}

// Guards against look-ups that send callers to a VM that is about to refuse them for its outdated configuration.
TEST_F(EntryFailures, ReportsNotReadyBeforeItsConfigurationIsTooOld)
{
    entry.now += seconds(3) + milliseconds(100); // just above 0.6 of the withdrawal limit
    entry.handle(Tick {});
    ASSERT_TRUE(entry.lastMessage<DomainReport>());
    EXPECT_FALSE(entry.lastMessage<DomainReport>()->vms.front().ready);
}

// Guards against a retry storm: the number of retries must stay below its fraction of the requests.
TEST_F(EntryFailures, KeepsToTheRetryBudget)
{
    entry.state.retryLimit.setFleetSize(100);
    std::size_t retries = 0;
    for (int i = 0; i < 200; ++i) {
        entry.effects.clear();
        entry.request("/read/" + std::to_string(i));
        while (entry.count<SendLocalAnswer>() == 0)
            fail(AttemptProgress::Sent);
        retries += entry.count<SendAttempt>() - std::min<std::size_t>(1, entry.count<SendAttempt>());
    }
    EXPECT_LE(static_cast<double>(retries),
        entry.state.settings.bounds.retryRatio * 200 + entry.state.settings.bounds.retrySlack / 100);
}

// Guards against new requests to a target that is draining or removed, or whose failure domain is evacuated.
TEST_F(EntryFailures, SendsNothingToDrainingOrEvacuatedTargets)
{
    auto drainingTarget = makeTarget("t1");
    drainingTarget.draining = true;
    entry.handle(TargetChanged { drainingTarget });
    EXPECT_EQ(entry.last<CloseIdleConnections>()->target, "t1");
    entry.handle(TargetRemoved { "t2" });
    for (int i = 0; i < 10; ++i) {
        const auto id = entry.request("/read/" + std::to_string(i));
        EXPECT_EQ(entry.last<SendAttempt>()->target, "t3");
        entry.handle(CallerDisconnected { id });
    }
    entry.effects.clear();
    entry.handle(EvacuationsChanged { { .revision = 1, .failureDomains = { "north-a" } } });
    entry.request("/read/1");
    EXPECT_EQ(entry.count<SendAttempt>(), 0U);
}

// Guards against a VM that still attracts callers while it shuts down.
TEST_F(EntryFailures, StopIsReportedAtOnce)
{
    entry.effects.clear();
    entry.handle(StopRequested {});
    ASSERT_TRUE(entry.lastMessage<DomainReport>());
    EXPECT_TRUE(entry.lastMessage<DomainReport>()->vms.front().leaving);
    EXPECT_FALSE(isReady(entry.state));
}

// Guards against a request that is taken late in a planned stop and cut off when the process ends.
TEST(LateInStopFailure, RequestThatCannotEndInTimeIsRejectedAtOnce)
{
    for (const auto* path : { "/read/1", "/write/1" }) {
        Entry entry;
        entry.useTargets({ makeTarget("t1") });
        entry.handle(StopRequested {});
        entry.advance(seconds(1));
        entry.request(path);
        EXPECT_TRUE(entry.last<SendAttempt>()) << path;
        entry.advance(seconds(4));
        entry.request(path);
        EXPECT_FALSE(entry.last<SendAttempt>()) << path;
        const auto answer = entry.last<SendLocalAnswer>();
        ASSERT_TRUE(answer) << path;
        EXPECT_EQ(answer->status, 503U);
        EXPECT_GT(answer->retryAfter, Duration::zero());
    }
}

// Guards against a connection that ends without an answer when a stop ends before the deadline of a request.
TEST(LateInStopFailure, RequestsThatAreStillRunningAreAnsweredBeforeTheProcessEnds)
{
    auto policy = makePolicy();
    for (auto& route : policy.routes)
        route.timeout = seconds(20);
    Entry entry(1, policy);
    entry.useTargets({ makeTarget("t1"), makeTarget("t2") });
    const auto id = entry.request("/write/1", key, seconds(20));
    entry.handle(StopRequested {});
    const auto timer = entry.last<SetExpiryTimer>();
    ASSERT_TRUE(timer);
    EXPECT_EQ(timer->request, id);
    EXPECT_LT(timer->at, entry.now + entry.state.settings.bounds.stopGrace);
    entry.now = timer->at;
    entry.handle(RequestExpired { id });
    const auto answer = entry.last<SendLocalAnswer>();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 504U);
}

// Guards against a request that is taken in a planned stop because such requests are usually fast, and broken off when
// the process ends.
TEST(LateInStopFailure, RequestThatIsOnlyUsuallyFastIsRejected)
{
    auto policy = makePolicy();
    for (auto& route : policy.routes)
        route.timeout = seconds(4);
    const auto isTaken = [&](const std::string& path, Duration afterStop) {
        Entry entry(1, policy);
        entry.useTargets({ makeTarget("t1") });
        for (const auto* usual : { "/read/1", "/write/1" }) {
            const auto id = entry.request(usual, key, seconds(4));
            const auto attempt = entry.last<SendAttempt>();
            EXPECT_TRUE(attempt) << usual;
            entry.now += milliseconds(100);
            entry.handle(AttemptAnswered { .request = id,
                .attempt = attempt ? attempt->attempt : 0,
                .kind = AnswerKind::Complete,
                .status = 200,
                .deliverable = true });
        }
        entry.handle(StopRequested {});
        entry.advance(afterStop);
        entry.request(path, key, seconds(4));
        const auto refusal = entry.last<SendLocalAnswer>();
        EXPECT_EQ(entry.count<SendAttempt>() + entry.count<SendLocalAnswer>(), 1U) << path;
        EXPECT_TRUE(!refusal || (refusal->status == 503 && refusal->retryAfter > Duration::zero())) << path;
        return !refusal;
    };
    EXPECT_TRUE(isTaken("/write/2", seconds(1))); // its time-out ends before the process does
    EXPECT_FALSE(isTaken("/write/2", seconds(2)));
    EXPECT_FALSE(isTaken("/write/2", milliseconds(3200)));
    EXPECT_TRUE(isTaken("/read/2", seconds(2))); // the caller may repeat it
    EXPECT_FALSE(isTaken("/read/2", milliseconds(3200)));
}

} // namespace arbutuscrank::entry::test
