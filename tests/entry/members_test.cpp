#include "entry/entry_harness.hpp"

#include <gtest/gtest.h>

namespace arbutuscrank::entry::test {

namespace {

    MemberRecord makeMember(const std::string& vm, const std::string& region, const std::string& failureDomain)
    {
        return { .process = { vm, 0 },
            .region = region,
            .failureDomain = failureDomain,
            .callerAddress = vm + ":80",
            .reportAddress = vm + ":90" };
    }

    struct Lookups : testing::Test {
        Lookups()
        {
            members.applySnapshot({ makeMember("a2", "north", "north-a"), makeMember("b1", "north", "north-b"),
                                      makeMember("s1", "south", "south-a") },
                now);
        }

        void receiveReport(const std::string& vm, bool ready = true, bool leaving = false)
        {
            (void)members.applyReport(
                { .process = { vm, 1 }, .sequence = ++sequence, .ready = ready, .leaving = leaving }, now);
        }

        std::vector<std::string> lookUp(const std::vector<std::string>& allowedRegions = {}, bool selfReady = true)
        {
            return answerLookup(members, "north", "north-a", allowedRegions, selfReady, seconds(5), now).addresses;
        }

        TimePoint now { std::chrono::hours(1) };
        MemberTable members { makeMember("a1", "north", "north-a") };
        std::uint64_t sequence = 0;
    };

    using Addresses = std::vector<std::string>;

} // namespace

TEST_F(Lookups, ReturnVmsOfTheCallersFailureDomain)
{
    receiveReport("a2");
    receiveReport("b1");
    receiveReport("s1");
    EXPECT_EQ(lookUp(), (Addresses { "a1:80", "a2:80" }));
}

// Guards against callers that receive a single address, whose VM may be about to crash.
TEST_F(Lookups, AddVmsOfTheRegionToASingleVm)
{
    receiveReport("b1");
    EXPECT_EQ(lookUp(), (Addresses { "a1:80", "b1:80" }));
}

// Guards against look-ups that return VMs that have ended, are shutting down, or have not read their configuration yet.
TEST_F(Lookups, OmitVmsThatAcceptNoCallers)
{
    receiveReport("a2");
    receiveReport("b1", false);
    receiveReport("s1", true, true);
    now += MemberTable::livenessTimeout;
    receiveReport("b1", false);
    receiveReport("s1", true, true);
    EXPECT_EQ(lookUp(), (Addresses { "a1:80" }));
}

// Guards against an empty answer when neither the caller's region nor an allowed region has a VM.
TEST_F(Lookups, FallBackToAllowedRegionsAndThenToAllVms)
{
    receiveReport("s1");
    EXPECT_EQ(lookUp({ "south" }, false), (Addresses { "s1:80" }));
    EXPECT_EQ(lookUp({ "west" }, false), (Addresses { "s1:80" })); // any VM is better than none
}

// Guards against a delayed datagram of an earlier process that overwrites the status of the current one.
TEST_F(Lookups, IgnoreOutdatedReports)
{
    EXPECT_TRUE(members.applyReport({ .process = { "a2", 5 }, .sequence = 3, .ready = true }, now));
    EXPECT_FALSE(members.applyReport({ .process = { "a2", 5 }, .sequence = 2, .ready = false }, now));
    EXPECT_FALSE(members.applyReport({ .process = { "a2", 4 }, .sequence = 9, .ready = false }, now));
    EXPECT_FALSE(members.applyReport({ .process = { "unknown", 1 }, .sequence = 1 }, now));
    EXPECT_TRUE(members.others().at("a2").ready);
}

// Guards against a registration that is kept for an unresponsive VM, and against a removal that is requested on every
// tick.
TEST_F(Lookups, ClaimTheRemovalOfAnUnresponsiveVmOncePerTimeout)
{
    receiveReport("a2");
    EXPECT_FALSE(members.claimRemoval("a2", seconds(12), now + seconds(11)));
    EXPECT_TRUE(members.claimRemoval("a2", seconds(12), now + seconds(12)));
    EXPECT_FALSE(members.claimRemoval("a2", seconds(12), now + seconds(13)));
}

} // namespace arbutuscrank::entry::test
