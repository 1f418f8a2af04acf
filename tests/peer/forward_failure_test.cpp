#include "peer/harness.hpp"
#include "peer/raw_socket.hpp"
#include "peer/session.hpp"

namespace arbutuscrank::test {

class PeerForwardFailure : public ProxiedPair {
protected:
    void forwardTo(const PeerEndpoint& owner, std::string body = {})
    {
        probe.start(*a.transport, owner, postTo("/"), std::move(body));
    }
    /// Waits until the request is at the owner.
    RecordingHandler::Forward forwardToOwner()
    {
        forwardTo(throughProxy);
        auto forward = b.handler.takeForward();
        forward.responder->onCancelled([this] { ++cancelled; });
        return forward;
    }
};

// --- Faults of the connection ----------------------------------------------------------------------------------------

TEST_F(PeerForwardFailure, ConnectionRefusedIsNotRun)
{
    RawSocket closed;
    const auto address = closed.listen();
    closed.close();
    forwardTo({ "b", address });
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::NotRun);
    ForwardProbe malformed; // not an IP number: never resolved
    malformed.start(*a.transport, { "b", "localhost:80" }, postTo("/"));
    EXPECT_EQ(malformed.end().outcome, AttemptOutcome::NotRun);
}

TEST_F(PeerForwardFailure, PeerThatAcceptsAndNeverAnswersIsNotRunAndLost)
{
    const RawSocket silent;
    const auto address = silent.listen();
    a.transport->setPeers({ { "b", address } });
    forwardTo({ "b", address });
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::NotRun);
    EXPECT_TRUE(a.handler.monitor.wait([&] { return !a.handler.lost.empty(); }));
}

TEST_F(PeerForwardFailure, AnotherVmAtTheAddressIsNotRun)
{
    Node c("c");
    forwardTo({ "b", c.transport->boundAddress() });
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::NotRun);
    EXPECT_TRUE(c.handler.forwards.empty());
}

TEST_F(PeerForwardFailure, ConnectionBrokenBeforeTheOwnerReadTheRequestIsUnknown)
{
    connectThroughProxy();
    proxy.hold();
    const auto before = a.transport->controlBytes().first;
    forwardTo(throughProxy);
    a.transport->send("b", ShareConfirm {}); // its bytes follow those of the request
    ASSERT_TRUE(eventually([&] { return a.transport->controlBytes().first > before; }));
    proxy.breakAll();
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::Unknown) << "the request may still be on its way to the owner";
}

TEST_F(PeerForwardFailure, ConnectionBrokenWhileTheRequestRunsIsUnknownAndCancelsTheOwner)
{
    const auto forward = forwardToOwner();
    proxy.breakAll();
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::Unknown);
    EXPECT_TRUE(eventually([&] { return cancelled == 1; }));
    forward.responder->start(200, {});
    EXPECT_FALSE(forward.responder->write(bytesOf("late")));
    forward.responder->finish({ AttemptOutcome::Complete, false, {}, {} });
}

TEST_F(PeerForwardFailure, ConnectionBrokenWithinTheAnswerIsUnknown)
{
    const auto forward = forwardToOwner();
    forward.responder->start(200, {});
    EXPECT_TRUE(forward.responder->write(bytesOf("part")));
    ASSERT_TRUE(probe.monitor.wait([&] { return probe.body == "part"; }));
    proxy.hold();
    forward.responder->finish({ AttemptOutcome::Complete, false, {}, {} });
    proxy.breakAll();
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::Unknown);
}

TEST_F(PeerForwardFailure, ConnectionBrokenAfterTheAnswerChangesNothing)
{
    const auto forward = forwardToOwner();
    forward.responder->start(200, {});
    forward.responder->finish({ AttemptOutcome::Complete, false, {}, {} });
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::Complete);
    proxy.breakAll();
    b.transport->stop();
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::Complete);
    EXPECT_EQ(cancelled, 0);
}

TEST_F(PeerForwardFailure, PeerThatFallsSilentIsNoticedByPings)
{
    connectThroughProxy();
    const auto forward = forwardToOwner();
    proxy.hold();
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::Unknown);
    EXPECT_TRUE(a.handler.monitor.wait([&] { return !a.handler.lost.empty(); }));
}

// --- Refusals and cancellation ---------------------------------------------------------------------------------------

TEST_F(PeerForwardFailure, BodyBeyondTheOwnersMemoryIsNotRun)
{
    Node small("b", 1, "127.0.0.1:0", [](auto& settings) { settings.maxIncompleteBytes = 100'000; });
    forwardTo(small.endpoint(), std::string(1U << 20U, 'x'));
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::NotRun);
    EXPECT_TRUE(small.handler.forwards.empty());
    ForwardProbe second; // the memory was given back
    second.start(*a.transport, small.endpoint(), postTo("/"), std::string(50'000, 'x'));
    EXPECT_EQ(small.handler.takeForward().body.size(), 50'000U);
    EXPECT_EQ(second.end().outcome, AttemptOutcome::Unknown) << "the owner dropped its responder";
}

TEST_F(PeerForwardFailure, RequestThatHttp2CannotCarryIsNotRun)
{
    for (const auto& path : { std::string("/a\nb"), "/" + std::string(100'000, 'x') }) {
        ForwardProbe refused;
        refused.start(*a.transport, b.endpoint(), postTo(path));
        EXPECT_EQ(refused.end().outcome, AttemptOutcome::NotRun);
    }
}

TEST_F(PeerForwardFailure, CancelByTheForwardingEntryReachesTheOwner)
{
    const auto forward = forwardToOwner();
    forward.responder->start(200, {});
    probe.stream->cancel();
    probe.stream->cancel();
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::Unknown);
    EXPECT_TRUE(eventually([&] { return cancelled == 1; }));
    EXPECT_FALSE(forward.responder->write(bytesOf("late")));
}

TEST_F(PeerForwardFailure, CancelBeforeTheConnectionIsReadyIsNotRun)
{
    const RawSocket silent;
    forwardTo({ "b", silent.listen() });
    probe.stream->cancel();
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::NotRun);
}

TEST_F(PeerForwardFailure, OwnerThatDropsItsResponderIsUnknown)
{
    forwardTo(b.endpoint());
    b.handler.takeForward().responder.reset();
    b.handler.monitor.update([&] { b.handler.forwards.clear(); });
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::Unknown);
}

TEST_F(PeerForwardFailure, StopEndsForwardsOnBothSides)
{
    const auto forward = forwardToOwner();
    const RawSocket silent;
    ForwardProbe waiting;
    waiting.start(*a.transport, { "c", silent.listen() }, postTo("/"));
    a.transport->stop();
    EXPECT_EQ(probe.end().outcome, AttemptOutcome::Unknown);
    EXPECT_EQ(waiting.end().outcome, AttemptOutcome::NotRun);
    EXPECT_TRUE(eventually([&] { return cancelled == 1; }));
    ForwardProbe late;
    late.start(*a.transport, b.endpoint(), postTo("/"));
    EXPECT_EQ(late.end().outcome, AttemptOutcome::NotRun);
}

// --- Slow reader -----------------------------------------------------------------------------------------------------

TEST_F(PeerForwardFailure, SlowReaderGetsALargeAnswerWholeInBoundedMemory)
{
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
        probe.stream->consume(n);
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

TEST_F(PeerForwardFailure, StuckReaderHoldsUpNeitherMessagesNorOtherForwards)
{
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
