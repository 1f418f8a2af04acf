#include <arbutuscrank/core/reduce.hpp>
#include <arbutuscrank/core/state.hpp>

#include <gtest/gtest.h>

using namespace arbutuscrank;
using namespace std::chrono_literals;

namespace {

/// One daemon that gets its events directly from the test.
struct Daemon {
    State state { Self { { "vm0", 5 }, "r0", "d0", "10.0.0.0:1", "10.0.0.0:2" }, 1 };
    TimePoint now { 100s };
    std::vector<Effect> effects;

    void handle(const Event& event)
    {
        Outbox outbox;
        reduce(state, event, now, outbox);
        effects.insert(effects.end(), outbox.effects.begin(), outbox.effects.end());
    }
    void tickFor(Duration time)
    {
        for (const auto end = now + time; now < end; now += 50ms)
            handle(Tick {});
    }
    void receiveHeartbeat(const std::string& vm, Incarnation incarnation, std::vector<Member> relayed = {})
    {
        Heartbeat message { { { vm, incarnation }, "r0", "d1", vm + ":1", vm + ":" + std::to_string(incarnation),
                                false },
            0, -1, {}, std::move(relayed) };
        handle(PeerMessageReceived { message.sender.process, message });
    }
    void receiveVmList(std::vector<std::string> vms)
    {
        VmListRead vmList;
        for (const auto& it : vms)
            vmList.vms.push_back({ it, "r0", "d1", it + ":1", it + ":2", false });
        handle(vmList);
    }
    [[nodiscard]] int countLogged(LogEvent event) const
    {
        int n = 0;
        for (const auto& it : effects) {
            const auto* log = std::get_if<WriteLog>(&it);
            n += log != nullptr && log->event == event ? 1 : 0;
        }
        return n;
    }
    template <typename E> [[nodiscard]] int countEffects() const
    {
        int n = 0;
        for (const auto& it : effects)
            n += std::holds_alternative<E>(it) ? 1 : 0;
        return n;
    }
    [[nodiscard]] bool trusts(std::string_view vm) const { return membership::isTrusted(state, vm); }
};

// Guards against entries of the VM list without a name that hide the others, count as a VM or fill the log.
TEST(Membership, ListEntriesWithoutANameAreIgnoredAndLogged)
{
    Daemon daemon;
    const auto size = daemon.state.membership.members.size();
    daemon.receiveVmList({ "", "a", "" });
    daemon.receiveVmList({ "", "a", "" });
    EXPECT_NE(membership::find(daemon.state, "a"), nullptr);
    EXPECT_EQ(daemon.state.membership.members.size(), size + 1);
    EXPECT_EQ(daemon.countLogged(LogEvent::StoreEntryRefused), 1);
}

// Guards against a delayed message of an earlier incarnation that revives it or overwrites data of the later one.
TEST(Membership, OlderIncarnationIsIgnored)
{
    Daemon daemon;
    daemon.receiveHeartbeat("a", 7);
    daemon.receiveHeartbeat("a", 9);
    EXPECT_TRUE(membership::isGone(daemon.state, { "a", 7 }));
    EXPECT_FALSE(membership::isGone(daemon.state, { "a", 9 }));
    EXPECT_EQ(daemon.countLogged(LogEvent::MemberGone), 1);
    daemon.receiveHeartbeat("a", 7);
    daemon.receiveHeartbeat("b", 1, { { { "a", 8 }, "r1", "d9", "x:1", "x:2", true } });
    EXPECT_EQ(membership::find(daemon.state, "a")->member.peerAddress, "a:9");
    EXPECT_FALSE(membership::find(daemon.state, "a")->member.leaving);
    EXPECT_EQ(daemon.state.membership.peers.front().address, "a:9");
    EXPECT_EQ(daemon.countLogged(LogEvent::MemberGone), 1);
}

// Guards against a relayed member that counts as trusted, or whose earlier incarnation isGone() reports as gone. What
// another daemon relays is no evidence of either.
TEST(Membership, RelayedMemberIsNotTrusted)
{
    Daemon daemon;
    daemon.receiveHeartbeat("a", 7);
    daemon.receiveHeartbeat(
        "b", 1, { { { "a", 9 }, "r0", "d1", "a:1", "a:9", false }, { { "c", 3 }, "r0", "d1", "c:1", "c:2", false } });
    EXPECT_FALSE(daemon.trusts("c"));
    EXPECT_FALSE(daemon.trusts("a"));
    EXPECT_FALSE(membership::isGone(daemon.state, { "a", 7 }));
    EXPECT_EQ(daemon.state.membership.peers.size(), 3U);
}

// Guards against a member that counts as gone too early, because of silence alone, or because of a VM list that is
// incomplete.
TEST(Membership, GoneOnlyAfterVmListStalenessBound)
{
    Daemon daemon;
    daemon.tickFor(100ms);
    daemon.receiveHeartbeat("a", 7);
    const auto receiveListsFor = [&](Duration time, const std::vector<std::string>& vms) {
        for (const auto end = daemon.now + time; daemon.now < end;) {
            daemon.tickFor(2100ms);
            daemon.receiveVmList(vms);
        }
    };
    receiveListsFor(60s, { "b" }); // incomplete, because it leaves out this running VM
    EXPECT_FALSE(membership::isGone(daemon.state, { "a", 7 }));
    receiveListsFor(29s, { "vm0" });
    EXPECT_FALSE(membership::isGone(daemon.state, { "a", 7 }));
    daemon.receiveHeartbeat("a", 7); // a heartbeat restarts the time for which the list has to leave the VM out
    receiveListsFor(29s, { "vm0" });
    EXPECT_FALSE(membership::isGone(daemon.state, { "a", 7 }));
    receiveListsFor(8s, { "vm0" });
    EXPECT_TRUE(membership::isGone(daemon.state, { "a", 7 }));
    EXPECT_EQ(daemon.countLogged(LogEvent::MemberGone), 2); // "a", and "b" from the first list
    daemon.receiveHeartbeat("a", 7);
    EXPECT_FALSE(daemon.trusts("a"));
    daemon.receiveHeartbeat("a", 8);
    EXPECT_TRUE(daemon.trusts("a"));
}

// Guards against a share that can never be freed, because its holder ended before any daemon received a heartbeat from
// it. The ledger names the holder, and the VM list must be able to prove it gone.
TEST(Membership, RegisteredProcessIsProvenGone)
{
    Daemon daemon;
    daemon.tickFor(100ms);
    Outbox outbox;
    Context context { daemon.now, outbox };
    membership::registerProcess(daemon.state, { "z", 4 }, context);
    for (int n = 0; n < 18; ++n) {
        daemon.tickFor(2100ms);
        daemon.receiveVmList({ "vm0" });
        EXPECT_TRUE(n > 14 || !membership::isGone(daemon.state, { "z", 4 })) << n;
    }
    EXPECT_TRUE(membership::isGone(daemon.state, { "z", 4 }));
}

// Guards against a suspicion that ends after one heartbeat or after two that are too far apart, and against a suspicion
// caused by a lost session.
TEST(Membership, TwoHeartbeatsEndSuspicionAfterSilence)
{
    Daemon daemon;
    daemon.tickFor(100ms);
    daemon.receiveHeartbeat("a", 7);
    EXPECT_TRUE(daemon.trusts("a"));
    daemon.handle(PeerConnectionLost { "a" });
    daemon.tickFor(2900ms);
    EXPECT_TRUE(daemon.trusts("a"));
    daemon.tickFor(300ms);
    EXPECT_FALSE(daemon.trusts("a"));
    daemon.receiveHeartbeat("a", 7);
    daemon.tickFor(3500ms);
    daemon.receiveHeartbeat("a", 7);
    EXPECT_FALSE(daemon.trusts("a")) << "two heartbeats, but not within 3 s";
    daemon.tickFor(1s);
    daemon.receiveHeartbeat("a", 7);
    EXPECT_TRUE(daemon.trusts("a"));
    EXPECT_EQ(daemon.countLogged(LogEvent::MemberSuspected), 1);
    EXPECT_EQ(daemon.countLogged(LogEvent::MemberTrusted), 2);
}

// Guards against a daemon that suspects all others after a pause of its own process, or that trusts members because of
// heartbeats that were buffered during the pause.
TEST(Membership, OwnPauseCausesNoSuspicion)
{
    Daemon daemon;
    daemon.tickFor(100ms);
    daemon.receiveHeartbeat("a", 7);
    daemon.receiveHeartbeat("s", 7);
    for (int n = 0; n < 4; ++n) {
        daemon.tickFor(1s);
        daemon.receiveHeartbeat("a", 7);
    }
    ASSERT_FALSE(daemon.trusts("s"));
    daemon.now += 10s;
    for (int n = 0; n < 3; ++n) {
        daemon.receiveHeartbeat("s", 7); // may have been buffered during the pause
        daemon.receiveHeartbeat("new", 1);
        daemon.tickFor(50ms);
    }
    EXPECT_FALSE(daemon.trusts("s"));
    EXPECT_FALSE(daemon.trusts("new"));
    daemon.tickFor(2700ms);
    EXPECT_TRUE(daemon.trusts("a"));
    daemon.tickFor(500ms);
    EXPECT_FALSE(daemon.trusts("a"));
}

// Guards against a VM list call that is never repeated after its answer was lost, and against two calls at a time.
TEST(Membership, ListCallIsRepeatedOneAtATime)
{
    Daemon daemon;
    daemon.tickFor(9s);
    EXPECT_EQ(daemon.countEffects<ListVms>(), 1);
    daemon.tickFor(4s);
    EXPECT_EQ(daemon.countEffects<ListVms>(), 2);
    daemon.handle(VmListFailed { "down" });
    daemon.tickFor(2200ms);
    EXPECT_EQ(daemon.countEffects<ListVms>(), 3);
    EXPECT_EQ(daemon.countLogged(LogEvent::VmListFailed), 1);
}

// Guards against peers that learn only from the next regular heartbeat that a daemon is leaving.
TEST(Membership, LeavingIsAnnouncedAtOnce)
{
    Daemon daemon;
    daemon.tickFor(100ms);
    daemon.receiveHeartbeat("a", 7);
    daemon.effects.clear();
    daemon.handle(StopRequested {});
    ASSERT_EQ(daemon.countEffects<SendMessage>(), 1);
    EXPECT_FALSE(membership::isRelay(daemon.state, "vm0"));
    EXPECT_TRUE(membership::isRelay(daemon.state, "a"));
}

} // namespace
