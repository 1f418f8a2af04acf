#include "fakes/network.hpp"

#include <gtest/gtest.h>

using namespace arbutuscrank;
using namespace arbutuscrank::fakes;
using namespace std::chrono_literals;

namespace {

const std::string key = quota::accountKey("acme");

/// One daemon that knows the ledger of a quota and borrows from its two holders: "near" in its region, and "far" in
/// another region.
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

    /// Loan requests sent since the last call, without the messages that only report finished loans.
    std::vector<std::pair<VmId, LoanRequest>> takeLoanRequests()
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

/// Whether a request still waits. The resolution itself goes to the topic "requests", which ignores it in this test.
bool isWaiting(const Borrower& it, RequestId id) { return it.state.quota.poolByWaiter.contains(id); }

} // namespace

// Guards against a loan that is spent after the lender considers it expired.
TEST(Quota, ExpiredLoanIsNotSpent)
{
    Borrower it;
    EXPECT_EQ(it.acquire(1, 250ms).kind, quota::Decision::Kind::Waiting);
    const auto loanRequests = it.takeLoanRequests();
    ASSERT_EQ(loanRequests.size(), 1U);
    EXPECT_EQ(loanRequests[0].first, "near");
    it.now += 10ms;
    it.receive("near", LoanReply { loanRequests[0].second.loanId, key, 3 * oneToken, oneToken, 0 });
    EXPECT_FALSE(isWaiting(it, 1));
    EXPECT_EQ(it.acquire(2, 0ms).kind, quota::Decision::Kind::Granted);
    it.now += quota::loanLifetime - 10ms; // the lifetime counts from the request, not from the reply
    EXPECT_EQ(it.acquire(3, 0ms).kind, quota::Decision::Kind::Refused);
}

// Guards against tokens that a late or repeated reply would add a second time.
TEST(Quota, LateOrRepeatedReplyAddsNoTokens)
{
    Borrower it;
    (void)it.acquire(1, 250ms);
    const LoanReply reply { it.takeLoanRequests().at(0).second.loanId, key, 2 * oneToken, 0, 0 };
    it.now += quota::loanLifetime;
    it.receive("near", reply);
    EXPECT_EQ(it.acquire(2, 0ms).kind, quota::Decision::Kind::Refused);
    (void)it.acquire(3, 250ms);
    const LoanReply second { it.takeLoanRequests().at(0).second.loanId, key, oneToken, 0, 0 };
    it.receive("near", second);
    it.receive("near", second);
    EXPECT_EQ(it.acquire(4, 0ms).kind, quota::Decision::Kind::Refused);
}

// Guards against a refusal while another lender has tokens, and against waiting requests that are served out of order.
TEST(Quota, SecondLenderServesWaitersInOrder)
{
    Borrower it;
    (void)it.acquire(1, 250ms);
    const auto first = it.takeLoanRequests().at(0);
    (void)it.acquire(2, 250ms);
    it.now += 3ms;
    it.receive(first.first, LoanReply { first.second.loanId, key, 0, 0, 5'000'000 });
    const auto second = it.takeLoanRequests();
    ASSERT_FALSE(second.empty());
    EXPECT_EQ(second.back().first, "far");
    it.now += 110ms;
    it.receive("far", LoanReply { second.back().second.loanId, key, oneToken, 0, 0 });
    EXPECT_FALSE(isWaiting(it, 1));
    EXPECT_TRUE(isWaiting(it, 2));
}

// Guards against a request that waits longer than `waitUntil`, and against a Retry-After that is missing or unbounded.
TEST(Quota, RefusedAtWaitUntilWithRetryAfter)
{
    Borrower it;
    (void)it.acquire(1, 250ms);
    const auto loanRequest = it.takeLoanRequests().at(0);
    it.receive("near", LoanReply { loanRequest.second.loanId, key, 0, 0, 700'000 });
    it.now += 250ms;
    reduce(it.state, Tick {}, it.now, it.outbox);
    EXPECT_FALSE(isWaiting(it, 1));
    const auto refused = it.acquire(2, 0ms);
    EXPECT_EQ(refused.kind, quota::Decision::Kind::Refused);
    EXPECT_EQ(refused.retryAfter, 450ms);
}

// Guards against wrong bucket arithmetic: outstanding loans reduce the capacity, the time until a token is exact, and
// the rate of a link does not overflow.
TEST(TokenBucket, BucketArithmeticIsExact)
{
    TokenBucket bucket;
    TimePoint now { 1s };
    bucket.setShare(10 * oneToken, 4 * oneToken, now);
    EXPECT_EQ(bucket.level(now), 0); // a new share starts empty
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

// Guards against ledger content that is lost when it is stored and read again, and against other JSON or keys that are
// accepted as a ledger.
TEST(Ledger, JsonRoundTripKeepsContent)
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

// Guards against holders that share a failure domain, are in a region that the quota excludes, or get less than one
// token.
TEST(Ledger, HoldersSpreadOverDomainsOfAllowedRegions)
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
            const auto candidate
                = std::find_if(candidates.begin(), candidates.end(), [&](const auto& c) { return c.process == it; });
            domains[candidate->region].insert(candidate->failureDomain);
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
