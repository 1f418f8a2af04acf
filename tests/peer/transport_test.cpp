#include "peer/harness.hpp"

namespace arbutuscrank::test {

namespace {

    ShareConfirm makeNumberedMessage(std::uint64_t n) { return { 1, n }; }

    void expectMessagesInOrder(RecordingHandler& handler, std::size_t count, const ProcessId& from)
    {
        ASSERT_TRUE(handler.waitForMessages(count)) << handler.messages.size() << " messages of " << count;
        for (std::size_t n = 0; n < count; ++n) {
            EXPECT_EQ(handler.messages[n].first, from);
            ASSERT_EQ(std::get<ShareConfirm>(handler.messages[n].second).version, n);
        }
    }

} // namespace

TEST(PeerTransport, DeliversMessagesInOrderInBothDirectionsOfOneSession)
{
    Node a("a", 7);
    Node b("b", 8);
    a.connectTo(b);
    ASSERT_TRUE(waitUntil([&] { return b.transport->isConnected("a"); }))
        << "the accepted session is not used for sending";
    constexpr std::size_t count = 3000;
    for (std::size_t n = 0; n < count; ++n) {
        a.transport->send("b", makeNumberedMessage(n));
        b.transport->send("a", makeNumberedMessage(n));
    }
    expectMessagesInOrder(b.handler, count, { "a", 7 });
    expectMessagesInOrder(a.handler, count, { "b", 8 });
    EXPECT_EQ(a.transport->droppedMessages() + b.transport->droppedMessages(), 0U);
}

TEST(PeerTransport, DeliversMessagesLargerThanAWindow)
{
    Node a("a");
    Node b("b");
    a.connectTo(b);
    ASSERT_TRUE(waitUntil([&] { return b.transport->isConnected("a"); }));
    const PartReply large { { { "hash", std::string(3U << 20U, 'x') } } };
    a.transport->send("b", large);
    b.transport->send("a", large);
    ASSERT_TRUE(a.handler.waitForMessages(1) && b.handler.waitForMessages(1));
    EXPECT_EQ(std::get<PartReply>(a.handler.messages[0].second).parts, large.parts);
    EXPECT_EQ(std::get<PartReply>(b.handler.messages[0].second).parts, large.parts);
}

TEST(PeerTransport, CountsMessagesWithoutSessionAsDropped)
{
    Node a("a");
    a.transport->send("nobody", makeNumberedMessage(0));
    EXPECT_EQ(a.transport->droppedMessages(), 1U);
}

// Guards against headers of the caller that HTTP/2 or the peer protocol interprets as its own because of their names.
TEST(PeerTransport, CarriesARequestAndItsAnswerUnchanged)
{
    Node a("a", 7);
    Node b("b");
    a.connectTo(b);
    auto head = makePostHead("/pledges/1?x=%20y");
    head.headers = { { "content-length", "99" }, { "accept", "text/plain" }, { "f-outcome", "not-run" } };
    ForwardProbe probe;
    probe.start(*a.transport, b.endpoint(), head, std::string(1U << 20U, 'q'));
    const auto forward = b.handler.waitForForward();
    EXPECT_EQ(forward.from, (ProcessId { "a", 7 }));
    EXPECT_EQ(forward.head.service, "kitty");
    EXPECT_EQ(forward.head.account, "shop");
    EXPECT_EQ(forward.head.method, "POST");
    EXPECT_EQ(forward.head.path, head.path);
    EXPECT_FALSE(forward.head.idempotent);
    EXPECT_EQ(forward.head.timeout, head.timeout);
    EXPECT_EQ(forward.head.headers, head.headers);
    EXPECT_EQ(forward.body, std::string(1U << 20U, 'q'));
    const HeaderList answer { { "content-length", "5" }, { "f-outcome", "unknown" }, { "x-load", "0.5" } };
    forward.responder->start(204, answer);
    EXPECT_TRUE(forward.responder->write(toBytes("hello")));
    forward.responder->finish({ AttemptOutcome::Complete, true, std::chrono::microseconds(1500), "d\n " });
    const auto result = probe.waitForResult();
    EXPECT_EQ(probe.status, 204);
    EXPECT_EQ(probe.headers, answer);
    EXPECT_EQ(probe.body, "hello");
    EXPECT_EQ(result.outcome, AttemptOutcome::Complete);
    EXPECT_TRUE(result.shed);
    EXPECT_EQ(result.retryAfter, std::chrono::microseconds(1500));
    EXPECT_EQ(result.detail, "d?");
}

TEST(PeerTransport, ReportsTheOwnersNotRunToTheForwardingEntry)
{
    Node a("a");
    Node b("b");
    ForwardProbe probe;
    probe.start(*a.transport, b.endpoint(), makePostHead("/"));
    b.handler.waitForForward().responder->finish(
        { AttemptOutcome::NotRun, true, std::chrono::seconds(2), "queue full" });
    const auto result = probe.waitForResult();
    EXPECT_EQ(result.outcome, AttemptOutcome::NotRun);
    EXPECT_TRUE(result.shed);
    EXPECT_EQ(result.retryAfter, std::chrono::seconds(2));
    EXPECT_EQ(result.detail, "queue full");
    EXPECT_EQ(probe.status, 0);
}

} // namespace arbutuscrank::test
