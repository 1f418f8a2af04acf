#include "peer/harness.hpp"
#include "peer/raw_socket.hpp"
#include "peer/session.hpp"

namespace arbutuscrank::test {

// --- Faults of the connection ----------------------------------------------------------------------------------------

TEST(PeerForwardFailure, ConnectionRefusedIsNotRun)
{
    Node a("a");
    RawSocket closed;
    const auto address = closed.listen();
    closed.close();
    ForwardProbe probe;
    probe.start(*a.transport, { "b", address }, postTo("/"));
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::NotRun);
}

TEST(PeerForwardFailure, AddressThatIsNotAnIpNumberIsNotRun)
{
    Node a("a");
    ForwardProbe probe;
    probe.start(*a.transport, { "b", "localhost:80" }, postTo("/"));
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::NotRun);
}

TEST(PeerForwardFailure, PeerThatAcceptsAndNeverAnswersIsNotRunAndLost)
{
    Node a("a");
    const RawSocket silent;
    const auto address = silent.listen();
    a.transport->setPeers({ { "b", address } });
    ForwardProbe probe;
    probe.start(*a.transport, { "b", address }, postTo("/"));
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::NotRun);
    EXPECT_TRUE(a.handler.monitor.wait([&] { return !a.handler.lost.empty(); }));
}

TEST(PeerForwardFailure, AnotherVmAtTheAddressIsNotRun)
{
    Node a("a");
    Node c("c");
    ForwardProbe probe;
    probe.start(*a.transport, { "b", c.transport->boundAddress() }, postTo("/"));
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::NotRun);
    EXPECT_TRUE(c.handler.forwards.empty());
}

TEST(PeerForwardFailure, ConnectionBrokenBeforeTheOwnerReadTheRequestIsUnknown)
{
    Node a("a");
    Node b("b");
    GatedProxy proxy(b.transport->boundAddress());
    const PeerEndpoint owner { "b", proxy.address() };
    a.transport->setPeers({ owner });
    ASSERT_TRUE(eventually([&] { return a.transport->isConnected("b"); }));
    proxy.hold();
    const auto before = a.transport->controlBytes().first;
    ForwardProbe probe;
    probe.start(*a.transport, owner, postTo("/"));
    a.transport->send("b", ShareConfirm {}); // its bytes follow those of the request
    ASSERT_TRUE(eventually([&] { return a.transport->controlBytes().first > before; }));
    proxy.breakAll();
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::Unknown) << "the request may still be on its way to the owner";
}

TEST(PeerForwardFailure, ConnectionBrokenWhileTheRequestRunsIsUnknownAndCancelsTheOwner)
{
    Node a("a");
    Node b("b");
    GatedProxy proxy(b.transport->boundAddress());
    ForwardProbe probe;
    probe.start(*a.transport, { "b", proxy.address() }, postTo("/"));
    const auto forward = b.handler.takeForward();
    std::atomic<int> cancelled = 0;
    forward.responder->onCancelled([&] { ++cancelled; });
    proxy.breakAll();
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::Unknown);
    EXPECT_TRUE(eventually([&] { return cancelled == 1; }));
    forward.responder->start(200, {});
    EXPECT_FALSE(forward.responder->write(bytesOf("late")));
    forward.responder->finish({ AttemptOutcome::Complete, false, {}, {} });
}

TEST(PeerForwardFailure, ConnectionBrokenWithinTheAnswerIsUnknown)
{
    Node a("a");
    Node b("b");
    GatedProxy proxy(b.transport->boundAddress());
    ForwardProbe probe;
    probe.start(*a.transport, { "b", proxy.address() }, postTo("/"));
    const auto forward = b.handler.takeForward();
    forward.responder->start(200, {});
    EXPECT_TRUE(forward.responder->write(bytesOf("part")));
    ASSERT_TRUE(probe.monitor.wait([&] { return probe.body == "part"; }));
    proxy.hold();
    forward.responder->finish({ AttemptOutcome::Complete, false, {}, {} });
    proxy.breakAll();
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::Unknown);
}

TEST(PeerForwardFailure, ConnectionBrokenAfterTheAnswerChangesNothing)
{
    Node a("a");
    Node b("b");
    GatedProxy proxy(b.transport->boundAddress());
    ForwardProbe probe;
    probe.start(*a.transport, { "b", proxy.address() }, postTo("/"));
    const auto forward = b.handler.takeForward();
    std::atomic<int> cancelled = 0;
    forward.responder->onCancelled([&] { ++cancelled; });
    forward.responder->start(200, {});
    forward.responder->finish({ AttemptOutcome::Complete, false, {}, {} });
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::Complete);
    proxy.breakAll();
    b.transport->stop();
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::Complete);
    EXPECT_EQ(cancelled, 0);
}

TEST(PeerForwardFailure, PeerThatFallsSilentIsNoticedByPings)
{
    Node a("a");
    Node b("b");
    GatedProxy proxy(b.transport->boundAddress());
    const PeerEndpoint owner { "b", proxy.address() };
    a.transport->setPeers({ owner });
    ASSERT_TRUE(eventually([&] { return a.transport->isConnected("b"); }));
    ForwardProbe probe;
    probe.start(*a.transport, owner, postTo("/"));
    const auto forward = b.handler.takeForward();
    proxy.hold();
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::Unknown);
    EXPECT_TRUE(a.handler.monitor.wait([&] { return !a.handler.lost.empty(); }));
}

// --- Refusals and cancellation ---------------------------------------------------------------------------------------

TEST(PeerForwardFailure, BodyBeyondTheOwnersMemoryIsNotRun)
{
    Node a("a");
    Node b("b", 1, "127.0.0.1:0", [](auto& settings) { settings.incompleteBytes = 100'000; });
    ForwardProbe probe;
    probe.start(*a.transport, b.endpoint(), postTo("/"), std::string(1U << 20U, 'x'));
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::NotRun);
    EXPECT_TRUE(b.handler.forwards.empty());
    ForwardProbe small; // the memory was given back
    small.start(*a.transport, b.endpoint(), postTo("/"), std::string(50'000, 'x'));
    EXPECT_EQ(b.handler.takeForward().body.size(), 50'000U);
}

TEST(PeerForwardFailure, RequestThatHttp2CannotCarryIsNotRun)
{
    Node a("a");
    Node b("b");
    for (const auto& path : { std::string("/a\nb"), "/" + std::string(100'000, 'x') }) {
        ForwardProbe probe;
        probe.start(*a.transport, b.endpoint(), postTo(path));
        EXPECT_EQ(probe.end().outcome, AttemptOutcome::NotRun);
    }
}

TEST(PeerForwardFailure, CancelByTheForwardingEntryReachesTheOwner)
{
    Node a("a");
    Node b("b");
    ForwardProbe probe;
    probe.start(*a.transport, b.endpoint(), postTo("/"));
    const auto forward = b.handler.takeForward();
    std::atomic<int> cancelled = 0;
    forward.responder->onCancelled([&] { ++cancelled; });
    forward.responder->start(200, {});
    probe.stream->cancel();
    probe.stream->cancel();
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::Unknown);
    EXPECT_TRUE(eventually([&] { return cancelled == 1; }));
    EXPECT_FALSE(forward.responder->write(bytesOf("late")));
}

TEST(PeerForwardFailure, CancelBeforeTheConnectionIsReadyIsNotRun)
{
    Node a("a");
    const RawSocket silent;
    ForwardProbe probe;
    probe.start(*a.transport, { "b", silent.listen() }, postTo("/"));
    probe.stream->cancel();
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::NotRun);
}

TEST(PeerForwardFailure, OwnerThatDropsItsResponderIsUnknown)
{
    Node a("a");
    Node b("b");
    ForwardProbe probe;
    probe.start(*a.transport, b.endpoint(), postTo("/"));
    b.handler.takeForward().responder.reset();
    b.handler.monitor.update([&] { b.handler.forwards.clear(); });
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::Unknown);
}

TEST(PeerForwardFailure, StopEndsForwardsOnBothSides)
{
    Node a("a");
    Node b("b");
    ForwardProbe running;
    running.start(*a.transport, b.endpoint(), postTo("/"));
    const auto forward = b.handler.takeForward();
    std::atomic<int> cancelled = 0;
    forward.responder->onCancelled([&] { ++cancelled; });
    const RawSocket silent;
    ForwardProbe waiting;
    waiting.start(*a.transport, { "c", silent.listen() }, postTo("/"));
    a.transport->stop();
    EXPECT_EQ(running.end().outcome, AttemptOutcome::Unknown);
    EXPECT_EQ(waiting.end().outcome, AttemptOutcome::NotRun);
    EXPECT_TRUE(eventually([&] { return cancelled == 1; }));
    ForwardProbe late;
    late.start(*a.transport, b.endpoint(), postTo("/"));
    EXPECT_EQ(late.end().outcome, AttemptOutcome::NotRun);
}

// --- Slow reader -----------------------------------------------------------------------------------------------------

TEST(PeerForwardFailure, SlowReaderGetsALargeAnswerWholeInBoundedMemory)
{
    Node a("a");
    Node b("b");
    ForwardProbe probe;
    probe.start(*a.transport, b.endpoint(), postTo("/"), {}, false);
    const auto forward = b.handler.takeForward();
    constexpr std::size_t total = 20U << 20U;
    constexpr std::size_t chunk = 16U << 10U;
    std::string answer(total, '\0');
    for (std::size_t n = 0; n < total; ++n)
        answer[n] = static_cast<char>((n * 2654435761U) >> 24U);
    std::atomic<std::size_t> accepted = 0;
    std::thread writer([&] {
        forward.responder->start(200, {});
        for (std::size_t n = 0; n < total; n += chunk) {
            EXPECT_TRUE(forward.responder->write(bytesOf(std::string_view(answer).substr(n, chunk))));
            accepted += chunk;
        }
        forward.responder->finish({ AttemptOutcome::Complete, false, {}, {} });
    });
    std::size_t consumed = 0;
    std::size_t mostReceived = 0;
    std::size_t mostAccepted = 0;
    while (consumed < total) {
        // The owner is stuck on the window until bytes are taken, and messages still pass meanwhile.
        std::size_t received = 0;
        ASSERT_TRUE(probe.monitor.wait([&] {
            received = probe.body.size();
            return received > consumed;
        }));
        mostReceived = std::max(mostReceived, received - consumed);
        // The writer counts a chunk only after write() has returned, so the count may lag behind the reader.
        mostAccepted = std::max(mostAccepted, std::max<std::size_t>(accepted, consumed) - consumed);
        const auto n = std::min<std::size_t>(received - consumed, 100'000);
        probe.stream->consumed(n);
        consumed += n;
    }
    writer.join();
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::Complete);
    EXPECT_TRUE(probe.body == answer);
    constexpr std::size_t window = peer::streamWindowBytes;
    constexpr std::size_t buffered = 128U << 10U;
    EXPECT_LE(mostReceived, window) << "bytes that the reader did not take";
    EXPECT_LE(mostAccepted, window + buffered + chunk) << "bytes that the owner got rid of ahead of the reader";
}

TEST(PeerForwardFailure, StuckReaderHoldsUpNeitherMessagesNorOtherForwards)
{
    Node a("a");
    Node b("b");
    a.connectTo(b);
    ASSERT_TRUE(eventually([&] { return b.transport->isConnected("a"); }));
    std::vector<std::unique_ptr<ForwardProbe>> stuck;
    std::vector<std::thread> writers;
    constexpr std::size_t readers = 8;
    for (std::size_t n = 0; n < readers; ++n) {
        stuck.push_back(std::make_unique<ForwardProbe>());
        stuck.back()->start(*a.transport, b.endpoint(), postTo("/"), {}, false);
        writers.emplace_back([forward = b.handler.takeForward(n)] {
            forward.responder->start(200, {});
            const std::string chunk(64U << 10U, 'x');
            while (forward.responder->write(bytesOf(chunk))) { }
        });
        ASSERT_TRUE(stuck[n]->monitor.wait([&] { return stuck[n]->body.size() == peer::streamWindowBytes; }));
    }
    b.transport->send("a", ShareConfirm {});
    EXPECT_TRUE(a.handler.waitForMessages(1));
    ForwardProbe other;
    other.start(*a.transport, b.endpoint(), postTo("/"));
    const auto forward = b.handler.takeForward(readers);
    forward.responder->start(200, {});
    EXPECT_TRUE(forward.responder->write(bytesOf("answer")));
    forward.responder->finish({ AttemptOutcome::Complete, false, {}, {} });
    EXPECT_EQ(other.end().outcome, AttemptOutcome::Complete);
    for (auto& it : stuck)
        it->stream->cancel();
    for (auto& it : writers)
        it.join();
    for (auto& it : stuck)
        EXPECT_EQ(it->end().outcome, AttemptOutcome::Unknown);
}

} // namespace arbutuscrank::test
