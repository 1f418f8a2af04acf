#include <arbutuscrank/core/reduce.hpp>
#include <arbutuscrank/core/state.hpp>

#include <gtest/gtest.h>

using namespace arbutuscrank;
using namespace std::chrono_literals;

namespace {

/// One daemon, fed by hand.
struct Daemon {
    State state { Self { { "vm0", 5 }, "r0", "d0", "10.0.0.0:1", "10.0.0.0:2" }, 1 };
    TimePoint now { 100s };
    std::vector<Effect> effects;

    void feed(const Event& event)
    {
        Outbox outbox;
        reduce(state, event, now, outbox);
        effects.insert(effects.end(), outbox.effects.begin(), outbox.effects.end());
    }
    void tickFor(Duration time)
    {
        for (const auto end = now + time; now < end; now += 50ms)
            feed(Tick {});
    }
    void hear(const std::string& vm, Incarnation incarnation, std::vector<Member> relayed = {})
    {
        Heartbeat message { { { vm, incarnation }, "r0", "d1", vm + ":1", vm + ":" + std::to_string(incarnation),
                                false },
            0, -1, {}, std::move(relayed) };
        feed(PeerMessageReceived { message.sender.process, message });
    }
    void list(std::vector<std::string> vms)
    {
        VmListRead list;
        for (const auto& it : vms)
            list.vms.push_back({ it, "r0", "d1", it + ":1", it + ":2", false });
        feed(list);
    }
    [[nodiscard]] int logged(LogEvent event) const
    {
        int n = 0;
        for (const auto& it : effects) {
            const auto* log = std::get_if<WriteLog>(&it);
            n += log != nullptr && log->event == event ? 1 : 0;
        }
        return n;
    }
    template <typename E> [[nodiscard]] int count() const
    {
        int n = 0;
        for (const auto& it : effects)
            n += std::holds_alternative<E>(it) ? 1 : 0;
        return n;
    }
    [[nodiscard]] bool trusts(std::string_view vm) const { return membership::isTrusted(state, vm); }
};

// Guards against a delayed message of an earlier incarnation that revives it or undoes what the later one said.
TEST(Membership, OlderIncarnationChangesNothing)
{
    Daemon daemon;
    daemon.hear("a", 7);
    daemon.hear("a", 9);
    EXPECT_TRUE(membership::isGone(daemon.state, { "a", 7 }));
    EXPECT_FALSE(membership::isGone(daemon.state, { "a", 9 }));
    EXPECT_EQ(daemon.logged(LogEvent::MemberGone), 1);
    daemon.hear("a", 7);
    daemon.hear("b", 1, { { { "a", 8 }, "r1", "d9", "x:1", "x:2", true } });
    EXPECT_EQ(membership::find(daemon.state, "a")->member.peerAddress, "a:9");
    EXPECT_FALSE(membership::find(daemon.state, "a")->member.leaving);
    EXPECT_EQ(daemon.state.membership.peers.front().address, "a:9");
    EXPECT_EQ(daemon.logged(LogEvent::MemberGone), 1);
}

// Guards against relayed news that counts as having heard the member, or as proof that its predecessor ended.
TEST(Membership, RelayedNewsIsNotHearing)
{
    Daemon daemon;
    daemon.hear("a", 7);
    daemon.hear(
        "b", 1, { { { "a", 9 }, "r0", "d1", "a:1", "a:9", false }, { { "c", 3 }, "r0", "d1", "c:1", "c:2", false } });
    EXPECT_FALSE(daemon.trusts("c"));
    EXPECT_FALSE(daemon.trusts("a"));
    EXPECT_FALSE(membership::isGone(daemon.state, { "a", 7 }));
    EXPECT_EQ(daemon.state.membership.peers.size(), 3U);
}

// Guards against positive evidence that comes too early, from silence, or from a list that is plainly incomplete.
TEST(Membership, GoneOnlyAfterTheListLag)
{
    Daemon daemon;
    daemon.tickFor(100ms);
    daemon.hear("a", 7);
    const auto listFor = [&](Duration time, const std::vector<std::string>& vms) {
        for (const auto end = daemon.now + time; daemon.now < end;) {
            daemon.tickFor(2100ms);
            daemon.list(vms);
        }
    };
    listFor(60s, { "b" }); // without this VM, which runs
    EXPECT_FALSE(membership::isGone(daemon.state, { "a", 7 }));
    listFor(29s, { "vm0" });
    EXPECT_FALSE(membership::isGone(daemon.state, { "a", 7 }));
    daemon.hear("a", 7); // it runs: the evidence starts again
    listFor(29s, { "vm0" });
    EXPECT_FALSE(membership::isGone(daemon.state, { "a", 7 }));
    listFor(8s, { "vm0" });
    EXPECT_TRUE(membership::isGone(daemon.state, { "a", 7 }));
    EXPECT_EQ(daemon.logged(LogEvent::MemberGone), 2); // a, and b, which the first list named
    daemon.hear("a", 7);
    EXPECT_FALSE(daemon.trusts("a"));
    daemon.hear("a", 8);
    EXPECT_TRUE(daemon.trusts("a"));
}

// Guards against a ledger's holder that no daemon ever met and whose share could never be freed.
TEST(Membership, NotedProcessGetsEvidence)
{
    Daemon daemon;
    daemon.tickFor(100ms);
    Outbox outbox;
    Context context { daemon.now, outbox };
    membership::registerProcess(daemon.state, { "z", 4 }, context);
    for (int n = 0; n < 18; ++n) {
        daemon.tickFor(2100ms);
        daemon.list({ "vm0" });
        EXPECT_TRUE(n > 14 || !membership::isGone(daemon.state, { "z", 4 })) << n;
    }
    EXPECT_TRUE(membership::isGone(daemon.state, { "z", 4 }));
}

// Guards against suspicion that ends with one message, and against a lost session that is taken for death.
TEST(Membership, SuspicionAndTrust)
{
    Daemon daemon;
    daemon.tickFor(100ms);
    daemon.hear("a", 7);
    EXPECT_TRUE(daemon.trusts("a"));
    daemon.feed(PeerConnectionLost { "a" });
    daemon.tickFor(2900ms);
    EXPECT_TRUE(daemon.trusts("a"));
    daemon.tickFor(300ms);
    EXPECT_FALSE(daemon.trusts("a"));
    daemon.hear("a", 7);
    daemon.tickFor(3500ms);
    daemon.hear("a", 7);
    EXPECT_FALSE(daemon.trusts("a")) << "two heartbeats, but not within 3 s";
    daemon.tickFor(1s);
    daemon.hear("a", 7);
    EXPECT_TRUE(daemon.trusts("a"));
    EXPECT_EQ(daemon.logged(LogEvent::MemberSuspected), 1);
    EXPECT_EQ(daemon.logged(LogEvent::MemberTrusted), 2);
}

// Guards against a daemon that suspects all others because it was paused itself, or trusts on buffered messages.
TEST(Membership, OwnPauseGivesGrace)
{
    Daemon daemon;
    daemon.tickFor(100ms);
    daemon.hear("a", 7);
    daemon.hear("s", 7);
    for (int n = 0; n < 4; ++n) {
        daemon.tickFor(1s);
        daemon.hear("a", 7);
    }
    ASSERT_FALSE(daemon.trusts("s"));
    daemon.now += 10s;
    for (int n = 0; n < 3; ++n) {
        daemon.hear("s", 7); // buffered
        daemon.hear("new", 1);
        daemon.tickFor(50ms);
    }
    EXPECT_FALSE(daemon.trusts("s"));
    EXPECT_FALSE(daemon.trusts("new"));
    daemon.tickFor(2700ms);
    EXPECT_TRUE(daemon.trusts("a"));
    daemon.tickFor(500ms);
    EXPECT_FALSE(daemon.trusts("a"));
}

// Guards against a list call that is never repeated after its answer was lost, and against two at a time.
TEST(Membership, OneListCallOutstanding)
{
    Daemon daemon;
    daemon.tickFor(9s);
    EXPECT_EQ(daemon.count<ListVms>(), 1);
    daemon.tickFor(4s);
    EXPECT_EQ(daemon.count<ListVms>(), 2);
    daemon.feed(VmListFailed { "down" });
    daemon.tickFor(2200ms);
    EXPECT_EQ(daemon.count<ListVms>(), 3);
    EXPECT_EQ(daemon.logged(LogEvent::VmListFailed), 1);
}

// Guards against a leaving daemon that its peers notice only at the next regular heartbeat.
TEST(Membership, LeavingIsAnnouncedAtOnce)
{
    Daemon daemon;
    daemon.tickFor(100ms);
    daemon.hear("a", 7);
    daemon.effects.clear();
    daemon.feed(StopRequested {});
    ASSERT_EQ(daemon.count<SendMessage>(), 1);
    EXPECT_FALSE(membership::isRelay(daemon.state, "vm0"));
    EXPECT_TRUE(membership::isRelay(daemon.state, "a"));
}

} // namespace
