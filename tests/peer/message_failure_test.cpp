#include "peer/harness.hpp"
#include "peer/tcp_socket.hpp"

#include <arbutuscrank/core/random.hpp>

#include <csignal>

namespace arbutuscrank::test {

class PeerMessageFailure : public ProxiedPair { };

namespace {

    constexpr std::string_view clientMagic = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

    std::string makeFrame(std::uint8_t type, std::uint8_t flags, std::uint32_t stream, std::string_view payload)
    {
        std::string bytes;
        for (const auto shift : { 16U, 8U, 0U })
            bytes.push_back(static_cast<char>(payload.size() >> shift));
        bytes.push_back(static_cast<char>(type));
        bytes.push_back(static_cast<char>(flags));
        for (const auto shift : { 24U, 16U, 8U, 0U })
            bytes.push_back(static_cast<char>(stream >> shift));
        return bytes + std::string(payload);
    }

    /// Encodes headers as HPACK literals without indexing.
    std::string makeHeaderBlock(const HeaderList& headers)
    {
        std::string block;
        for (const auto& [name, value] : headers) {
            block += '\0';
            block += static_cast<char>(name.size());
            block += name;
            block += static_cast<char>(value.size());
            block += value;
        }
        return block;
    }

    constexpr std::uint8_t dataFrame = 0;
    constexpr std::uint8_t headersFrame = 1;
    constexpr std::uint8_t settingsFrame = 4;
    constexpr std::uint8_t endStream = 1;
    constexpr std::uint8_t endHeaders = 4;

    std::string makeMessagePost(const std::string& vm, std::uint32_t stream, std::string_view body)
    {
        return makeFrame(headersFrame, endHeaders, stream,
                   makeHeaderBlock({ { ":method", "POST" }, { ":scheme", "http" }, { ":authority", "x" },
                       { ":path", "/m" }, { "vm", vm }, { "inc", "1" } }))
            + makeFrame(dataFrame, endStream, stream, body);
    }

    std::string makeConnectionPreface() { return std::string(clientMagic) + makeFrame(settingsFrame, 0, 0, {}); }

} // namespace

// --- Malformed input -------------------------------------------------------------------------------------------------

TEST_F(PeerMessageFailure, MalformedBytesOnThePortCloseOnlyTheirConnection)
{
    a.connectTo(b);
    constexpr std::uint64_t seed = 20261204;
    Random random(seed);
    std::cout << "seed " << seed << '\n';
    for (int n = 0; n < 60; ++n) {
        std::string bytes = n % 3 == 0 ? std::string() : makeConnectionPreface();
        for (int i = 0; i < 200; ++i) {
            if (n % 3 == 2) // well-formed frames with random content
                bytes += makeFrame(static_cast<std::uint8_t>(random.below(11)),
                    static_cast<std::uint8_t>(random.next()), static_cast<std::uint32_t>(random.below(8)),
                    std::string(random.below(30), static_cast<char>(i)));
            else
                bytes.push_back(static_cast<char>(random.next()));
        }
        const TcpSocket socket;
        socket.connect(b.transport->boundAddress());
        socket.send(bytes);
        EXPECT_TRUE(socket.waitForPeerClose()) << "round " << n;
    }
    a.transport->send("b", ShareConfirm { 1, 2 });
    ASSERT_TRUE(b.handler.waitForMessages(1)) << "the session of the well-behaved peer was affected";
    EXPECT_TRUE(a.handler.lostPeers.empty());
}

// Bodies: a message that is not CBOR, a truncated message, an overlong length, and a message beyond the limit.
TEST_F(PeerMessageFailure, MalformedMessagesBreakTheirSessionAndAreNotDelivered)
{
    Node strict("b", 1, "127.0.0.1:0", [](auto& settings) { settings.maxMessageBytes = 1000; });
    const std::string overlongVarint = "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff";
    for (const auto& body : { std::string("\x03"
                                          "abc"),
             std::string("\x05"
                         "ab"),
             overlongVarint, std::string("\xd0\x0f") + std::string(2000, 'x') }) {
        const TcpSocket socket;
        socket.connect(strict.transport->boundAddress());
        socket.send(makeConnectionPreface() + makeMessagePost("x", 1, body));
        EXPECT_TRUE(socket.waitForPeerClose());
    }
    EXPECT_TRUE(strict.handler.messages.empty());
}

// Guards against reordering when the body of a later stream completes before that of an earlier one.
TEST_F(PeerMessageFailure, MessagesOfInterleavedStreamsAreDeliveredInStreamOrder)
{
    const auto body = [](std::uint64_t n) {
        const auto bytes = encodeMessage(ShareConfirm { 1, n });
        return std::string(1, static_cast<char>(bytes.size())) + std::string(bytes.begin(), bytes.end());
    };
    const auto first = makeMessagePost("x", 1, body(1));
    const auto headersEnd = first.size() - body(1).size() - 9;
    const TcpSocket socket;
    socket.connect(b.transport->boundAddress());
    socket.send(makeConnectionPreface() + first.substr(0, headersEnd) + makeMessagePost("x", 3, body(3))
        + first.substr(headersEnd));
    ASSERT_TRUE(b.handler.waitForMessages(2));
    EXPECT_EQ(std::get<ShareConfirm>(b.handler.messages[0].second).version, 1U);
    EXPECT_EQ(std::get<ShareConfirm>(b.handler.messages[1].second).version, 3U);
}

// Guards against sessions held open by a peer that sends nothing, and against messages attributed to a VM other than
// the one that opened the session.
TEST_F(PeerMessageFailure, PeerThatDoesNotIdentifyItselfOrChangesItsVmIsDisconnected)
{
    const TcpSocket socket;
    socket.connect(b.transport->boundAddress());
    EXPECT_TRUE(socket.waitForPeerClose());
    const TcpSocket renamedPeer;
    renamedPeer.connect(b.transport->boundAddress());
    renamedPeer.send(makeConnectionPreface() + makeMessagePost("x", 1, {}) + makeMessagePost("y", 3, {}));
    EXPECT_TRUE(renamedPeer.waitForPeerClose()) << "another VM name on the same session was accepted";
}

TEST_F(PeerMessageFailure, ConnectionsBeyondTheLimitAreClosed)
{
    Node full("b", 1, "127.0.0.1:0", [](auto& settings) { settings.maxSessions = 1; });
    a.connectTo(full);
    const TcpSocket socket;
    socket.connect(full.transport->boundAddress());
    EXPECT_TRUE(socket.waitForPeerClose());
    EXPECT_TRUE(a.transport->isConnected("b"));
}

// --- Broken and slow connections -------------------------------------------------------------------------------------

TEST_F(PeerMessageFailure, SlowPeerFillsABoundedQueueAndTheRestIsDropped)
{
    constexpr std::size_t queueBytes = 200'000;
    Node sender("c", 1, "127.0.0.1:0", [](auto& settings) { settings.maxSendQueueBytes = queueBytes; });
    sender.transport->setPeers({ throughProxy });
    ASSERT_TRUE(waitUntil([&] { return sender.transport->isConnected("b"); }));
    proxy.pause();
    const PartReply part { { { "hash", std::string(10'000, 'x') } } };
    std::size_t sent = 0;
    while (sender.transport->droppedMessages() == 0 && sent < 100'000) {
        sender.transport->send("b", part);
        ++sent;
    }
    EXPECT_GT(sender.transport->droppedMessages(), 0U);
    proxy.resume();
    // Messages accepted into the queue are not dropped while the session is open.
    EXPECT_TRUE(b.handler.waitForMessages(sent - sender.transport->droppedMessages()));
}

TEST_F(PeerMessageFailure, PeerRestartedOnTheSameAddressIsReconnected)
{
    auto peer = std::make_unique<Node>("p", 10);
    const auto address = peer->transport->boundAddress();
    a.connectTo(*peer);
    peer->transport->setPeers({ a.endpoint() });
    ASSERT_TRUE(waitUntil([&] { return peer->transport->isConnected("a"); }));
    peer->transport->send("a", ShareConfirm { 1, 1 });
    ASSERT_TRUE(a.handler.waitForMessages(1));
    peer.reset();
    ASSERT_TRUE(a.handler.monitor.wait([&] { return !a.handler.lostPeers.empty(); }));
    peer = std::make_unique<Node>("p", 11, address);
    ASSERT_TRUE(waitUntil([&] { return peer->transport->isConnected("a"); }))
        << "the restarted peer was not reconnected";
    peer->transport->send("a", ShareConfirm { 1, 2 });
    ASSERT_TRUE(a.handler.waitForMessages(2));
    EXPECT_EQ(a.handler.messages[0].first, (ProcessId { "p", 10 }));
    EXPECT_EQ(a.handler.messages[1].first, (ProcessId { "p", 11 }));
    a.transport->send("p", ShareConfirm { 1, 3 });
    EXPECT_TRUE(peer->handler.waitForMessages(1));
}

// Guards against messages in flight on a lost connection that arrive after those sent over its replacement.
TEST_F(PeerMessageFailure, MessagesAfterABrokenConnectionNeverOvertakeEarlierOnes)
{
    std::uint64_t sent = 0;
    for (int round = 0; round < 20; ++round) {
        connectThroughProxy();
        for (int n = 0; n < 500; ++n)
            a.transport->send("b", ShareConfirm { 1, ++sent });
        if (round == 19)
            break;
        const auto previousLosses = a.handler.lostPeers.size();
        proxy.closeAllConnections();
        // Until the sender detects the loss, it still queues messages for the broken session.
        ASSERT_TRUE(a.handler.monitor.wait([&] { return a.handler.lostPeers.size() > previousLosses; }));
    }
    ASSERT_TRUE(b.handler.monitor.wait([&] {
        return !b.handler.messages.empty() && std::get<ShareConfirm>(b.handler.messages.back().second).version == sent;
    })) << "the last message, sent on an intact session, did not arrive";
    std::uint64_t last = 0;
    for (const auto& [from, message] : b.handler.messages) {
        const auto number = std::get<ShareConfirm>(message).version;
        EXPECT_GT(number, last);
        last = number;
    }
}

TEST_F(PeerMessageFailure, WritingToABrokenConnectionRaisesNoSignal)
{
    // Restores the default action of SIGPIPE, so that the signal would end this process.
    ASSERT_NE(std::signal(SIGPIPE, SIG_DFL), SIG_ERR);
    for (int round = 0; round < 5; ++round) {
        connectThroughProxy();
        std::atomic<bool> broken = false;
        std::thread sender([&] {
            while (!broken)
                a.transport->send("b", ShareConfirm {});
        });
        proxy.closeAllConnections();
        broken = true;
        sender.join();
    }
}

} // namespace arbutuscrank::test
