#include "peer/harness.hpp"
#include "peer/raw_socket.hpp"

#include <arbutuscrank/core/random.hpp>

#include <csignal>

namespace arbutuscrank::test {

class PeerMessageFailure : public ProxiedPair { };

namespace {

    constexpr std::string_view preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

    std::string frame(std::uint8_t type, std::uint8_t flags, std::uint32_t stream, std::string_view payload)
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

    /// HPACK literals without indexing.
    std::string headerBlock(const HeaderList& headers)
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

    std::string postMessage(const std::string& vm, std::uint32_t stream, std::string_view body)
    {
        return frame(headersFrame, endHeaders, stream,
                   headerBlock({ { ":method", "POST" }, { ":scheme", "http" }, { ":authority", "x" }, { ":path", "/m" },
                       { "vm", vm }, { "inc", "1" } }))
            + frame(dataFrame, endStream, stream, body);
    }

    std::string opening() { return std::string(preface) + frame(settingsFrame, 0, 0, {}); }

} // namespace

// --- Malformed input -------------------------------------------------------------------------------------------------

TEST_F(PeerMessageFailure, MalformedBytesOnThePortCloseOnlyTheirConnection)
{
    a.connectTo(b);
    constexpr std::uint64_t seed = 20261204;
    Random random(seed);
    std::cout << "seed " << seed << '\n';
    for (int n = 0; n < 60; ++n) {
        std::string bytes = n % 3 == 0 ? std::string() : opening();
        for (int i = 0; i < 200; ++i) {
            if (n % 3 == 2) // well-formed frames of random content
                bytes += frame(static_cast<std::uint8_t>(random.below(11)), static_cast<std::uint8_t>(random.next()),
                    static_cast<std::uint32_t>(random.below(8)), std::string(random.below(30), static_cast<char>(i)));
            else
                bytes.push_back(static_cast<char>(random.next()));
        }
        const RawSocket socket;
        socket.connect(b.transport->boundAddress());
        socket.send(bytes);
        EXPECT_TRUE(socket.closedByPeer()) << "round " << n;
    }
    a.transport->send("b", ShareConfirm { 1, 2 });
    ASSERT_TRUE(b.handler.waitForMessages(1)) << "the session of the other peer was harmed";
    EXPECT_TRUE(a.handler.lost.empty());
}

TEST_F(PeerMessageFailure, MalformedMessagesBreakTheirSessionAndAreNotDelivered)
{
    Node strict("b", 1, "127.0.0.1:0", [](auto& settings) { settings.maxMessageBytes = 1000; });
    const std::string overlong = "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff";
    for (const auto& body : { std::string("\x03"
                                          "abc"),
             std::string("\x05"
                         "ab"),
             overlong, std::string("\xd0\x0f") + std::string(2000, 'x') }) {
        const RawSocket socket;
        socket.connect(strict.transport->boundAddress());
        socket.send(opening() + postMessage("x", 1, body));
        EXPECT_TRUE(socket.closedByPeer());
    }
    EXPECT_TRUE(strict.handler.messages.empty());
}

TEST_F(PeerMessageFailure, MessagesOfInterleavedStreamsAreDeliveredInStreamOrder)
{
    const auto body = [](std::uint64_t n) {
        const auto bytes = encodeMessage(ShareConfirm { 1, n });
        return std::string(1, static_cast<char>(bytes.size())) + std::string(bytes.begin(), bytes.end());
    };
    const auto first = postMessage("x", 1, body(1));
    const auto headersEnd = first.size() - body(1).size() - 9;
    const RawSocket socket;
    socket.connect(b.transport->boundAddress());
    socket.send(opening() + first.substr(0, headersEnd) + postMessage("x", 3, body(3)) + first.substr(headersEnd));
    ASSERT_TRUE(b.handler.waitForMessages(2));
    EXPECT_EQ(std::get<ShareConfirm>(b.handler.messages[0].second).version, 1U);
    EXPECT_EQ(std::get<ShareConfirm>(b.handler.messages[1].second).version, 3U);
}

TEST_F(PeerMessageFailure, PeerThatDoesNotTellItsNameIsDisconnected)
{
    const RawSocket socket;
    socket.connect(b.transport->boundAddress());
    EXPECT_TRUE(socket.closedByPeer());
    const RawSocket renamed;
    renamed.connect(b.transport->boundAddress());
    renamed.send(opening() + postMessage("x", 1, {}) + postMessage("y", 3, {}));
    EXPECT_TRUE(renamed.closedByPeer()) << "a session must not change its name";
}

TEST_F(PeerMessageFailure, ConnectionsBeyondTheLimitAreClosed)
{
    Node full("b", 1, "127.0.0.1:0", [](auto& settings) { settings.maxSessions = 1; });
    a.connectTo(full);
    const RawSocket socket;
    socket.connect(full.transport->boundAddress());
    EXPECT_TRUE(socket.closedByPeer());
    EXPECT_TRUE(a.transport->isConnected("b"));
}

// --- Broken and slow connections -------------------------------------------------------------------------------------

TEST_F(PeerMessageFailure, SlowPeerFillsABoundedQueueAndTheRestIsDropped)
{
    constexpr std::size_t queueBytes = 200'000;
    Node sender("c", 1, "127.0.0.1:0", [](auto& settings) { settings.maxSendQueueBytes = queueBytes; });
    sender.transport->setPeers({ throughProxy });
    ASSERT_TRUE(eventually([&] { return sender.transport->isConnected("b"); }));
    proxy.hold();
    const PartReply part { { { "hash", std::string(10'000, 'x') } } };
    std::size_t sent = 0;
    while (sender.transport->droppedMessages() == 0 && sent < 100'000) {
        sender.transport->send("b", part);
        ++sent;
    }
    EXPECT_GT(sender.transport->droppedMessages(), 0U);
    proxy.release();
    // Nothing else is dropped while the session lives: the rest arrives.
    EXPECT_TRUE(b.handler.waitForMessages(sent - sender.transport->droppedMessages()));
}

TEST_F(PeerMessageFailure, RestartWithANewIncarnationOnTheSameAddressIsReachedAgain)
{
    auto peer = std::make_unique<Node>("p", 10);
    const auto address = peer->transport->boundAddress();
    a.connectTo(*peer);
    peer->transport->setPeers({ a.endpoint() });
    ASSERT_TRUE(eventually([&] { return peer->transport->isConnected("a"); }));
    peer->transport->send("a", ShareConfirm { 1, 1 });
    ASSERT_TRUE(a.handler.waitForMessages(1));
    peer.reset();
    ASSERT_TRUE(a.handler.monitor.wait([&] { return !a.handler.lost.empty(); }));
    peer = std::make_unique<Node>("p", 11, address);
    ASSERT_TRUE(eventually([&] { return peer->transport->isConnected("a"); })) << "not dialled again";
    peer->transport->send("a", ShareConfirm { 1, 2 });
    ASSERT_TRUE(a.handler.waitForMessages(2));
    EXPECT_EQ(a.handler.messages[0].first, (ProcessId { "p", 10 }));
    EXPECT_EQ(a.handler.messages[1].first, (ProcessId { "p", 11 }));
    a.transport->send("p", ShareConfirm { 1, 3 });
    EXPECT_TRUE(peer->handler.waitForMessages(1));
}

TEST_F(PeerMessageFailure, MessagesAfterABrokenConnectionNeverOvertakeEarlierOnes)
{
    std::uint64_t sent = 0;
    for (int round = 0; round < 20; ++round) {
        connectThroughProxy();
        for (int n = 0; n < 500; ++n)
            a.transport->send("b", ShareConfirm { 1, ++sent });
        if (round == 19)
            break;
        const auto losses = a.handler.lost.size();
        proxy.breakAll();
        // Until the sender notices, it still takes the broken session for a good one.
        ASSERT_TRUE(a.handler.monitor.wait([&] { return a.handler.lost.size() > losses; }));
    }
    ASSERT_TRUE(b.handler.monitor.wait([&] {
        return !b.handler.messages.empty() && std::get<ShareConfirm>(b.handler.messages.back().second).version == sent;
    })) << "the last message, sent on an unbroken session, did not arrive";
    std::uint64_t last = 0;
    for (const auto& [from, message] : b.handler.messages) {
        const auto number = std::get<ShareConfirm>(message).version;
        EXPECT_GT(number, last);
        last = number;
    }
}

TEST_F(PeerMessageFailure, WritingToABrokenConnectionRaisesNoSignal)
{
    // The default action of SIGPIPE would end this test process.
    ASSERT_NE(std::signal(SIGPIPE, SIG_DFL), SIG_ERR);
    for (int round = 0; round < 5; ++round) {
        connectThroughProxy();
        std::atomic<bool> broken = false;
        std::thread sender([&] {
            while (!broken)
                a.transport->send("b", ShareConfirm {});
        });
        proxy.breakAll();
        broken = true;
        sender.join();
    }
}

} // namespace arbutuscrank::test
