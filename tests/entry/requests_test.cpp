#include "entry/entry_harness.hpp"

#include <gtest/gtest.h>

namespace arbutuscrank::entry::test {

namespace {

    struct EntryRequests : testing::Test {
        EntryRequests() { entry.useTargets({ makeTarget("t1"), makeTarget("t2"), makeTarget("t3") }); }

        void expectRefusal(std::uint32_t status, const std::string& reason)
        {
            const auto answer = entry.last<SendLocalAnswer>();
            ASSERT_TRUE(answer);
            EXPECT_EQ(answer->status, status);
            EXPECT_EQ(answer->reason, reason);
            EXPECT_EQ(entry.count<SendAttempt>(), 0U);
        }

        Entry entry;
    };

} // namespace

// Guards against a request that is sent with the wrong account, or with none.
TEST_F(EntryRequests, RunsForTheAccountOfTheKey)
{
    entry.request("/read/1");
    ASSERT_TRUE(entry.last<SendAttempt>());
    EXPECT_EQ(entry.last<SendAttempt>()->account, "acme");
}

// Guards against an account name on a route that requires no key.
TEST_F(EntryRequests, OpenRouteNamesNoAccount)
{
    entry.request("/open/1", "");
    ASSERT_TRUE(entry.last<SendAttempt>());
    EXPECT_EQ(entry.last<SendAttempt>()->account, "");
}

// Guards against requests that are sent with an unknown key.
TEST_F(EntryRequests, RefusesUnknownKeys)
{
    entry.request("/read/1", "other");
    expectRefusal(401, "unknown-key");
}

// Guards against routes that any request may use once the last account is withdrawn.
TEST_F(EntryRequests, RefusesAllKeysWhenNoAccountIsLeft)
{
    auto policy = makePolicy(2);
    policy.accounts.clear();
    entry.handle(PolicyRead { policy });
    for (const auto& withKey : { std::string(key), std::string() }) {
        entry.effects.clear();
        entry.request("/read/1", withKey);
        expectRefusal(401, "unknown-key");
    }
    entry.request("/open/1", "");
    EXPECT_EQ(entry.count<SendAttempt>(), 1U);
}

// Guards against requests that are refused although the configuration knows no keys.
TEST_F(EntryRequests, NeedNoKeyWithoutAListOfAccounts)
{
    auto policy = makePolicy(2);
    policy.accounts.clear();
    policy.requiresKeys = false;
    entry.handle(PolicyRead { policy });
    entry.request("/read/1", "");
    ASSERT_TRUE(entry.last<SendAttempt>());
    EXPECT_EQ(entry.last<SendAttempt>()->account, "");
}

TEST_F(EntryRequests, RefusesUnknownRoutes)
{
    entry.request("/none/1");
    expectRefusal(404, "no-route");
}

// Guards against a 404 from a VM that has no configuration yet: the route may exist.
TEST(EntryStart, RefusesAsNotRunBeforeTheConfigurationIsRead)
{
    Entry entry(1, TrafficPolicy {});
    entry.request("/read/1");
    ASSERT_TRUE(entry.last<SendLocalAnswer>());
    EXPECT_EQ(entry.last<SendLocalAnswer>()->status, 503U);
    EXPECT_GT(entry.last<SendLocalAnswer>()->retryAfter, Duration::zero());
}

// Guards against an answer after the route's timeout, and against attempts that continue after it.
TEST_F(EntryRequests, EndsAtTheTimeoutOfTheRoute)
{
    const auto id = entry.request("/write/1", key, seconds(60));
    ASSERT_TRUE(entry.last<SetExpiryTimer>());
    EXPECT_EQ(entry.last<SetExpiryTimer>()->at, entry.now + seconds(2));
    entry.now += seconds(2);
    entry.handle(RequestExpired { id });
    ASSERT_TRUE(entry.last<SendLocalAnswer>());
    EXPECT_EQ(entry.last<SendLocalAnswer>()->status, 504U);
    EXPECT_TRUE(entry.last<CancelAttempt>());
    EXPECT_TRUE(entry.state.requests.empty());
}

// Guards against attempts that continue after the caller has disconnected.
TEST_F(EntryRequests, CancelsTheAttemptWhenTheCallerLeaves)
{
    const auto id = entry.request("/read/1");
    entry.handle(CallerDisconnected { id });
    ASSERT_TRUE(entry.last<CancelAttempt>());
    EXPECT_EQ(entry.last<CancelAttempt>()->attempt, entry.last<SendAttempt>()->attempt);
    EXPECT_EQ(entry.count<SendLocalAnswer>(), 0U);
}

// Guards against requests with equal affinity keys that are sent to different targets although one has capacity.
TEST_F(EntryRequests, SendsEqualAffinityToTheSameTarget)
{
    entry.request("/read/1");
    const auto first = entry.last<SendAttempt>()->target;
    for (int i = 0; i < 3; ++i) {
        entry.request("/read/1");
        EXPECT_EQ(entry.last<SendAttempt>()->target, first);
    }
}

// Guards against a split route whose services do not receive requests in proportion to their weights.
TEST(EntrySplit, FollowsTheWeights)
{
    auto policy = makePolicy();
    policy.services.push_back({ .name = "cart2" });
    policy.routes[0].services = { { "cart", 90 }, { "cart2", 10 } };
    Entry entry(1, policy);
    auto second = makeTarget("u1");
    second.service = "cart2";
    entry.useTargets({ makeTarget("t1"), second });
    int toSecond = 0;
    for (int i = 0; i < 100; ++i) {
        const auto id = entry.request("/read/1");
        toSecond += entry.last<SendAttempt>()->target == "u1" ? 1 : 0;
        entry.handle(CallerDisconnected { id });
    }
    EXPECT_NEAR(toSecond, 10, 1);
}

// Guards against requests that are sent to regions that the route does not allow.
TEST(EntryRegions, KeepToTheAllowedRegions)
{
    auto policy = makePolicy();
    policy.routes[0].regions = { "south" };
    Entry entry(1, policy);
    entry.useTargets({ makeTarget("t1"), makeTarget("t2", "south") });
    for (int i = 0; i < 20; ++i) {
        const auto id = entry.request("/read/1");
        ASSERT_TRUE(entry.last<SendAttempt>());
        EXPECT_EQ(entry.last<SendAttempt>()->target, "t2");
        entry.handle(CallerDisconnected { id });
    }
}

// Guards against an older version that replaces a newer one.
TEST_F(EntryRequests, NeverAppliesAnOlderVersion)
{
    entry.handle(PolicyRead { makePolicy(9) });
    auto older = makePolicy(5);
    older.routes.clear();
    entry.handle(PolicyRead { older });
    EXPECT_EQ(entry.state.policy.policy().version, 9U);
    EXPECT_EQ(entry.state.policy.policy().routes.size(), 3U);
}

// Guards against an invalid version that replaces the one in force.
TEST_F(EntryRequests, RejectsAnInvalidVersionAsAWhole)
{
    auto faulty = makePolicy(7);
    faulty.routes[1].services = { { "missing", 1 } };
    entry.handle(PolicyRead { faulty });
    EXPECT_EQ(entry.state.policy.policy().version, 1U);
    ASSERT_TRUE(entry.last<WriteLog>());
    EXPECT_EQ(entry.last<WriteLog>()->event, LogEvent::ConfigurationRefused);
    EXPECT_NE(entry.last<WriteLog>()->detail.find("missing"), std::string::npos);
}

} // namespace arbutuscrank::entry::test
