#include "fakes/network.hpp"

#include <gtest/gtest.h>

using namespace arbutuscrank;
using namespace arbutuscrank::fakes;
using namespace std::chrono_literals;

namespace {

const std::string key = quota::accountKey("acme");

/// One daemon that borrows from two holders "near" and "far", whose ledger it knows.
struct Borrower {
    Borrower()
    {
        state.configuration.active = std::make_shared<ActiveDocument>(1, makeDocument({ { "acme", 10, 10 } }));
        for (const auto* vm : { "far", "near" }) {
            auto& record = state.membership.members[vm];
            record.member = { { vm, 1 }, std::string(vm) == "near" ? "r1" : "r2", vm, "", "", false };
            record.suspected = false;
            record.lastHeartbeatAt = now;
        }
        reduce(state, ConfigurationApplied { 1 }, now, outbox);
        Ledger ledger { ledger::shardOf(key), 1, {} };
        const auto half = 5 * oneToken;
        ledger.quotas[key] = { 10 * oneToken, 10 * oneToken,
            { { { "far", 1 }, half, half, half, half }, { { "near", 1 }, half, half, half, half } } };
        receive("far", LedgerPush { ledger });
    }

    void receive(const std::string& vm, PeerMessage message)
    {
        reduce(state, PeerMessageReceived { { vm, 1 }, std::move(message) }, now, outbox);
    }

    quota::Decision acquire(RequestId id, Duration wait)
    {
        Context context { now, outbox };
        return quota::acquire(state, key, id, oneToken, now + wait, context);
    }

    /// Loan requests sent since the last call, reports left out.
    std::vector<std::pair<VmId, LoanRequest>> asked()
    {
        std::vector<std::pair<VmId, LoanRequest>> found;
        for (const auto& it : outbox.effects) {
            const auto* message = std::get_if<SendMessage>(&it);
            const auto* request = message == nullptr ? nullptr : std::get_if<LoanRequest>(&message->message);
            if (request != nullptr && request->tokens > 0)
                found.emplace_back(message->to, *request);
        }
        outbox.effects.clear();
        return found;
    }

    State state { Self { { "self", 1 }, "r1", "d", "", "" }, 1 };
    TimePoint now { 1h };
    Outbox outbox;
};

/// Whether a request still waits: its resolution goes to the topic "requests", which does not know it here.
bool waits(const Borrower& it, RequestId id) { return it.state.quota.poolByWaiter.contains(id); }

} // namespace

// Guards against a loan that is spent after the lender has counted it as expired.
TEST(Quota, LoanIsCheckedWhenSpent)
{
    Borrower it;
    EXPECT_EQ(it.acquire(1, 250ms).kind, quota::Decision::Kind::Waiting);
    const auto asked = it.asked();
    ASSERT_EQ(asked.size(), 1U);
    EXPECT_EQ(asked[0].first, "near");
    it.now += 10ms;
    it.receive("near", LoanReply { asked[0].second.loanId, key, 3 * oneToken, oneToken, 0 });
    EXPECT_FALSE(waits(it, 1));
    EXPECT_EQ(it.acquire(2, 0ms).kind, quota::Decision::Kind::Granted);
    it.now += quota::loanLifetime - 10ms; // counted from sending, not from the reply
    EXPECT_EQ(it.acquire(3, 0ms).kind, quota::Decision::Kind::Refused);
}

// Guards against a late or repeated answer that creates tokens.
TEST(Quota, LateAndRepeatedAnswersGiveNothing)
{
    Borrower it;
    (void)it.acquire(1, 250ms);
    const LoanReply reply { it.asked().at(0).second.loanId, key, 2 * oneToken, 0, 0 };
    it.now += quota::loanLifetime;
    it.receive("near", reply);
    EXPECT_EQ(it.acquire(2, 0ms).kind, quota::Decision::Kind::Refused);
    (void)it.acquire(3, 250ms);
    const LoanReply second { it.asked().at(0).second.loanId, key, oneToken, 0, 0 };
    it.receive("near", second);
    it.receive("near", second);
    EXPECT_EQ(it.acquire(4, 0ms).kind, quota::Decision::Kind::Refused);
}

// Guards against a refusal while another lender has tokens, and against requests that overtake earlier ones.
TEST(Quota, SecondLenderServesInOrder)
{
    Borrower it;
    (void)it.acquire(1, 250ms);
    const auto first = it.asked().at(0);
    (void)it.acquire(2, 250ms);
    it.now += 3ms;
    it.receive(first.first, LoanReply { first.second.loanId, key, 0, 0, 5'000'000 });
    const auto second = it.asked();
    ASSERT_FALSE(second.empty());
    EXPECT_EQ(second.back().first, "far");
    it.now += 110ms;
    it.receive("far", LoanReply { second.back().second.loanId, key, oneToken, 0, 0 });
    EXPECT_FALSE(waits(it, 1));
    EXPECT_TRUE(waits(it, 2));
}

// Guards against a request that waits longer than it may, and against a missing or endless Retry-After.
TEST(Quota, RefusedAtWaitUntilWithRetryAfter)
{
    Borrower it;
    (void)it.acquire(1, 250ms);
    const auto asked = it.asked().at(0);
    it.receive("near", LoanReply { asked.second.loanId, key, 0, 0, 700'000 });
    it.now += 250ms;
    reduce(it.state, Tick {}, it.now, it.outbox);
    EXPECT_FALSE(waits(it, 1));
    const auto refused = it.acquire(2, 0ms);
    EXPECT_EQ(refused.kind, quota::Decision::Kind::Refused);
    EXPECT_EQ(refused.retryAfter, 450ms);
}

// Guards against wrong arithmetic of buckets: loans must take up room, and Retry-After must be exact.
TEST(TokenBucket, LoansTakeUpRoom)
{
    TokenBucket bucket;
    TimePoint now { 1s };
    bucket.setShare(10 * oneToken, 4 * oneToken, now);
    EXPECT_EQ(bucket.level(now), 0); // rule 4
    EXPECT_EQ(bucket.timeUntil(oneToken, now), 100ms);
    now += 10s;
    EXPECT_TRUE(bucket.tryLend(3 * oneToken, now));
    EXPECT_EQ(bucket.level(now + 10s), oneToken);
    bucket.setShare(10 * oneToken, 2 * oneToken, now + 10s);
    EXPECT_EQ(bucket.level(now + 10s), 0);
    bucket.releaseLoan(3 * oneToken, now + 20s);
    EXPECT_EQ(bucket.level(now + 20s), 0);
    EXPECT_EQ(bucket.level(now + 30s), 2 * oneToken);
    bucket.setShare(500'000'000 * oneToken, 500'000'000 * oneToken, now + 30s); // a link of 4 Gbit/s
    EXPECT_EQ(bucket.level(now + 31s), 500'000'000 * oneToken);
}

// Guards against a ledger that does not survive the store, and a foreign text taken for one.
TEST(Ledger, CodecKeepsContent)
{
    ledger::Stored stored { Ledger { 3, 9, {} }, 17 };
    stored.ledger.quotas["link/a/b"] = { 5, 6, { { { "vm", 1ULL << 63U }, 1, 2, 3, 4 } } };
    const auto read = ledger::fromJson(ledger::toJson(stored), 3, 9);
    ASSERT_TRUE(read);
    EXPECT_TRUE(ledger::haveSameContent(read->ledger, stored.ledger));
    EXPECT_EQ(read->manifestVersion, 17U);
    EXPECT_FALSE(ledger::fromJson("[]", 3, 9));
    EXPECT_EQ(ledger::shardOfObject(ledger::objectKey(15)), 15U);
    EXPECT_FALSE(ledger::shardOfObject("ledger/16"));
}

// Guards against holders in one failure domain, in a region that the quota excludes, or with less than one token.
TEST(Ledger, HoldersFollowGrant)
{
    auto document = makeDocument({ { "acme", 10, 30 }, { "tiny", 10, 1 } });
    document.links.push_back({ "caerdydd", "bangor", 8 });
    document.services[0].spill.push_back({ "bangor", 10, 20 });
    std::vector<ledger::Candidate> candidates;
    for (const auto& region : document.regions) {
        for (std::uint64_t n = 0; n < 6; ++n)
            candidates.push_back({ { region.name + std::to_string(n), 1 }, region.name, region.failureDomains[n % 2] });
    }
    const auto grants = ledger::grantsOf(document);
    const auto holders = [&](const std::string& quota) {
        std::map<std::string, std::set<std::string>> domains;
        for (const auto& it : ledger::chooseHolders(quota, grants.at(quota), candidates)) {
            const auto who
                = std::find_if(candidates.begin(), candidates.end(), [&](const auto& c) { return c.process == it; });
            domains[who->region].insert(who->failureDomain);
        }
        return domains;
    };
    const auto all = holders("account/acme");
    EXPECT_EQ(all.size(), 3U);
    for (const auto& [region, domains] : all)
        EXPECT_EQ(domains.size(), 2U);
    EXPECT_EQ(ledger::chooseHolders("account/tiny", grants.at("account/tiny"), candidates).size(), 1U);
    const auto link = holders("link/bangor/caerdydd");
    EXPECT_EQ(link.size(), 1U);
    EXPECT_TRUE(link.contains("bangor"));
    EXPECT_EQ(grants.at("link/bangor/caerdydd").rate, 1'000'000 * oneToken);
    EXPECT_FALSE(holders("spill/svc/bangor").contains("bangor"));
}
