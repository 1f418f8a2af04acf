#include "peer/harness.hpp"
#include "peer/session.hpp"
#include "peer/tcp_socket.hpp"

namespace arbutuscrank::test {

class PeerForwardFailure : public ProxiedPair {
protected:
    void forwardTo(const PeerEndpoint& owner, std::string body = {})
    {
        probe.start(*a.transport, owner, makePostHead("/"), std::move(body));
    }
    /// Forwards through the proxy, waits until the request is at the owner, and counts its cancellation.
    RecordingHandler::Forward forwardToOwner()
    {
        forwardTo(throughProxy);
        auto forward = b.handler.waitForForward();
        forward.responder->onCancelled([this] { ++cancelCount; });
        return forward;
    }
};

// --- Faults of the connection ----------------------------------------------------------------------------------------

TEST_F(PeerForwardFailure, RefusedConnectionAndHostNameAsAddressAreNotRun)
{
    TcpSocket closed;
    const auto address = closed.listen();
    closed.close();
    forwardTo({ "b", address });
    EXPECT_EQ(probe.waitForResult().outcome, AttemptOutcome::NotRun);
    ForwardProbe malformed; // a host name, which is never resolved
    malformed.start(*a.transport, { "b", "localhost:80" }, makePostHead("/"));
    EXPECT_EQ(malformed.waitForResult().outcome, AttemptOutcome::NotRun);
}

TEST_F(PeerForwardFailure, PeerThatAcceptsAndNeverRespondsIsNotRunAndLost)
{
    const TcpSocket unresponsive;
    const auto address = unresponsive.listen();
    a.transport->setPeers({ { "b", address } });
    forwardTo({ "b", address });
    EXPECT_EQ(probe.waitForResult().outcome, AttemptOutcome::NotRun);
    EXPECT_TRUE(a.handler.monitor.wait([&] { return !a.handler.lostPeers.empty(); }));
}

TEST_F(PeerForwardFailure, AnotherVmAtTheAddressIsNotRun)
{
    Node c("c");
    forwardTo({ "b", c.transport->boundAddress() });
    EXPECT_EQ(probe.waitForResult().outcome, AttemptOutcome::NotRun);
    EXPECT_TRUE(c.handler.forwards.empty());
}

TEST_F(PeerForwardFailure, ConnectionBrokenBeforeTheOwnerReadTheRequestIsUnknown)
{
    connectThroughProxy();
    proxy.pause();
    const auto previousBytes = a.transport->controlBytes().first;
    forwardTo(throughProxy);
    a.transport->send("b", ShareConfirm {}); // written after the request, so counted only once the request is written
    ASSERT_TRUE(waitUntil([&] { return a.transport->controlBytes().first > previousBytes; }));
    proxy.closeAllConnections();
    EXPECT_EQ(probe.waitForResult().outcome, AttemptOutcome::Unknown) << "the request may still reach the owner";
}

TEST_F(PeerForwardFailure, ConnectionBrokenWhileTheRequestRunsIsUnknownAndCancelsTheOwner)
{
    const auto forward = forwardToOwner();
    proxy.closeAllConnections();
    EXPECT_EQ(probe.waitForResult().outcome, AttemptOutcome::Unknown);
    EXPECT_TRUE(waitUntil([&] { return cancelCount == 1; }));
    forward.responder->start(200, {});
    EXPECT_FALSE(forward.responder->write(toBytes("late")));
    forward.responder->finish({ AttemptOutcome::Complete, false, {}, {} });
}

TEST_F(PeerForwardFailure, ConnectionBrokenWithinTheAnswerIsUnknown)
{
    const auto forward = forwardToOwner();
    forward.responder->start(200, {});
    EXPECT_TRUE(forward.responder->write(toBytes("part")));
    ASSERT_TRUE(probe.monitor.wait([&] { return probe.body == "part"; }));
    proxy.pause();
    forward.responder->finish({ AttemptOutcome::Complete, false, {}, {} });
    proxy.closeAllConnections();
    EXPECT_EQ(probe.waitForResult().outcome, AttemptOutcome::Unknown);
}

TEST_F(PeerForwardFailure, ConnectionBrokenAfterTheAnswerChangesNothing)
{
    const auto forward = forwardToOwner();
    forward.responder->start(200, {});
    forward.responder->finish({ AttemptOutcome::Complete, false, {}, {} });
    EXPECT_EQ(probe.waitForResult().outcome, AttemptOutcome::Complete);
    proxy.closeAllConnections();
    b.transport->stop();
    EXPECT_EQ(probe.waitForResult().outcome, AttemptOutcome::Complete);
    EXPECT_EQ(cancelCount, 0);
}

TEST_F(PeerForwardFailure, UnresponsivePeerIsDetectedByPings)
{
    connectThroughProxy();
    const auto forward = forwardToOwner();
    proxy.pause();
    EXPECT_EQ(probe.waitForResult().outcome, AttemptOutcome::Unknown);
    EXPECT_TRUE(a.handler.monitor.wait([&] { return !a.handler.lostPeers.empty(); }));
}

// --- Refusals and cancellation ---------------------------------------------------------------------------------------

TEST_F(PeerForwardFailure, BodyBeyondTheOwnersMemoryIsNotRun)
{
    Node small("b", 1, "127.0.0.1:0", [](auto& settings) { settings.maxIncompleteBytes = 100'000; });
    forwardTo(small.endpoint(), std::string(1U << 20U, 'x'));
    EXPECT_EQ(probe.waitForResult().outcome, AttemptOutcome::NotRun);
    EXPECT_TRUE(small.handler.forwards.empty());
    ForwardProbe second; // succeeds only if the memory was released
    second.start(*a.transport, small.endpoint(), makePostHead("/"), std::string(50'000, 'x'));
    EXPECT_EQ(small.handler.waitForForward().body.size(), 50'000U);
    EXPECT_EQ(second.waitForResult().outcome, AttemptOutcome::Unknown) << "the owner destroyed its responder";
}

TEST_F(PeerForwardFailure, RequestThatHttp2CannotCarryIsNotRun)
{
    for (const auto& path : { std::string("/a\nb"), "/" + std::string(100'000, 'x') }) {
        ForwardProbe refused;
        refused.start(*a.transport, b.endpoint(), makePostHead(path));
        EXPECT_EQ(refused.waitForResult().outcome, AttemptOutcome::NotRun);
    }
}

TEST_F(PeerForwardFailure, CancelByTheForwardingEntryReachesTheOwner)
{
    const auto forward = forwardToOwner();
    forward.responder->start(200, {});
    probe.stream->cancel();
    probe.stream->cancel();
    EXPECT_EQ(probe.waitForResult().outcome, AttemptOutcome::Unknown);
    EXPECT_TRUE(waitUntil([&] { return cancelCount == 1; }));
    EXPECT_FALSE(forward.responder->write(toBytes("late")));
}

TEST_F(PeerForwardFailure, CancelBeforeTheConnectionIsReadyIsNotRun)
{
    const TcpSocket unresponsive;
    forwardTo({ "b", unresponsive.listen() });
    probe.stream->cancel();
    EXPECT_EQ(probe.waitForResult().outcome, AttemptOutcome::NotRun);
}

TEST_F(PeerForwardFailure, ForwardWhoseOwnerDestroysItsResponderIsUnknown)
{
    forwardTo(b.endpoint());
    b.handler.waitForForward().responder.reset();
    b.handler.monitor.update([&] { b.handler.forwards.clear(); });
    EXPECT_EQ(probe.waitForResult().outcome, AttemptOutcome::Unknown);
}

TEST_F(PeerForwardFailure, StopEndsForwardsOnBothSides)
{
    const auto forward = forwardToOwner();
    const TcpSocket unresponsive;
    ForwardProbe waiting;
    waiting.start(*a.transport, { "c", unresponsive.listen() }, makePostHead("/"));
    a.transport->stop();
    EXPECT_EQ(probe.waitForResult().outcome, AttemptOutcome::Unknown);
    EXPECT_EQ(waiting.waitForResult().outcome, AttemptOutcome::NotRun);
    EXPECT_TRUE(waitUntil([&] { return cancelCount == 1; }));
    ForwardProbe late;
    late.start(*a.transport, b.endpoint(), makePostHead("/"));
    EXPECT_EQ(late.waitForResult().outcome, AttemptOutcome::NotRun);
}

// --- Slow reader -----------------------------------------------------------------------------------------------------

// Guards against an answer that is buffered without bound or loses bytes while its reader lags behind.
TEST_F(PeerForwardFailure, SlowReaderGetsALargeAnswerWholeInBoundedMemory)
{
    probe.start(*a.transport, b.endpoint(), makePostHead("/"), {}, false);
    const auto forward = b.handler.waitForForward();
    constexpr std::size_t totalBytes = 20U << 20U;
    constexpr std::size_t chunkBytes = 16U << 10U;
    std::string answer(totalBytes, '\0');
    for (std::size_t n = 0; n < totalBytes; ++n)
        answer[n] = static_cast<char>((n * 2654435761U) >> 24U);
    std::atomic<std::size_t> acceptedBytes = 0;
    std::thread writer([&] {
        forward.responder->start(200, {});
        for (std::size_t n = 0; n < totalBytes; n += chunkBytes) {
            EXPECT_TRUE(forward.responder->write(toBytes(std::string_view(answer).substr(n, chunkBytes))));
            acceptedBytes += chunkBytes;
        }
        forward.responder->finish({ AttemptOutcome::Complete, false, {}, {} });
    });
    std::size_t consumedBytes = 0;
    std::size_t maxReceivedAhead = 0;
    std::size_t maxAcceptedAhead = 0;
    while (consumedBytes < totalBytes) {
        // The owner blocks on the exhausted window until bytes are consumed.
        std::size_t received = 0;
        ASSERT_TRUE(probe.monitor.wait([&] {
            received = probe.body.size();
            return received > consumedBytes;
        }));
        maxReceivedAhead = std::max(maxReceivedAhead, received - consumedBytes);
        // The writer counts a chunk only after write() has returned, so its count may lag behind the reader.
        maxAcceptedAhead
            = std::max(maxAcceptedAhead, std::max<std::size_t>(acceptedBytes, consumedBytes) - consumedBytes);
        const auto n = std::min<std::size_t>(received - consumedBytes, 100'000);
        probe.stream->consume(n);
        consumedBytes += n;
    }
    writer.join();
    EXPECT_EQ(probe.waitForResult().outcome, AttemptOutcome::Complete);
    EXPECT_TRUE(probe.body == answer);
    constexpr std::size_t windowBytes = peer::streamWindowBytes;
    constexpr std::size_t bufferBytes = 128U << 10U;
    EXPECT_LE(maxReceivedAhead, windowBytes) << "bytes received ahead of the reader exceed the stream window";
    EXPECT_LE(maxAcceptedAhead, windowBytes + bufferBytes + chunkBytes)
        << "bytes accepted from the owner ahead of the reader exceed the window and the send buffer";
}

// Guards against head-of-line blocking: readers that return no credit must not exhaust the connection's window.
TEST_F(PeerForwardFailure, BlockedReaderDelaysNeitherMessagesNorOtherForwards)
{
    a.connectTo(b);
    ASSERT_TRUE(waitUntil([&] { return b.transport->isConnected("a"); }));
    std::vector<std::unique_ptr<ForwardProbe>> stuck;
    std::vector<std::thread> writers;
    constexpr std::size_t readerCount = 8;
    for (std::size_t n = 0; n < readerCount; ++n) {
        stuck.push_back(std::make_unique<ForwardProbe>());
        stuck.back()->start(*a.transport, b.endpoint(), makePostHead("/"), {}, false);
        writers.emplace_back([forward = b.handler.waitForForward(n)] {
            forward.responder->start(200, {});
            const std::string chunk(64U << 10U, 'x');
            while (forward.responder->write(toBytes(chunk))) { }
        });
        ASSERT_TRUE(stuck[n]->monitor.wait([&] { return stuck[n]->body.size() == peer::streamWindowBytes; }));
    }
    b.transport->send("a", ShareConfirm {});
    EXPECT_TRUE(a.handler.waitForMessages(1));
    ForwardProbe other;
    other.start(*a.transport, b.endpoint(), makePostHead("/"));
    const auto forward = b.handler.waitForForward(readerCount);
    forward.responder->start(200, {});
    EXPECT_TRUE(forward.responder->write(toBytes("answer")));
    forward.responder->finish({ AttemptOutcome::Complete, false, {}, {} });
    EXPECT_EQ(other.waitForResult().outcome, AttemptOutcome::Complete);
    for (auto& it : stuck)
        it->stream->cancel();
    for (auto& it : writers)
        it.join();
    for (auto& it : stuck)
        EXPECT_EQ(it->waitForResult().outcome, AttemptOutcome::Unknown);
}

} // namespace arbutuscrank::test
