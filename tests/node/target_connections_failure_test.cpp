#include "node/odd_messages.hpp"
#include "node/target_fixture.hpp"

#include <atomic>

namespace arbutuscrank::node::test {

namespace {

    struct TargetConnectionsFailure : TargetFixture { };

} // namespace

// Guards against a caller's API key that reaches a target, and against an account name that the caller has forged.
TEST_F(TargetConnectionsFailure, SendsTheAccountAndNotTheKey)
{
    std::string seen;
    const ScriptedServer server([&](Tcp::socket& socket, int) {
        seen = readRequest(socket);
        writeText(socket, answer("r1", "body", "Load: 2,1,6\r\n"));
    });
    const auto result = send(server);
    EXPECT_EQ(result.answer.body(), "body");
    EXPECT_TRUE(result.hasSignature);
    ASSERT_TRUE(result.load);
    EXPECT_EQ(result.load->running, 2U);
    EXPECT_EQ(result.load->waiting, 1U);
    EXPECT_EQ(seen.find("secret"), std::string::npos);
    EXPECT_EQ(seen.find("forged"), std::string::npos);
    EXPECT_NE(seen.find("Account: acme"), std::string::npos);
    EXPECT_NE(seen.find("Expect-Target: " + server.address()), std::string::npos);
}

// Guards against names from the store and the configuration that end the process, or add fields to a request, when they
// are written into one.
TEST_F(TargetConnectionsFailure, NamesThatNoFieldCanHoldAreNotSent)
{
    std::atomic<int> requests { 0 };
    const ScriptedServer server([&](Tcp::socket& socket, int) {
        while (!readRequest(socket).empty()) {
            ++requests;
            writeText(socket, answer("r1", "own"));
        }
    });
    CallerRequest request(http::verb::get, "/a/1", 11);
    request.set("Id", "r1");
    const auto sendWithNames = [&](const std::string& account, const std::string& target) {
        auto parameters = makeAttempt(server);
        parameters.account = account;
        parameters.target = target;
        std::optional<AttemptResult> result;
        connections.send(parameters, request, [&](AttemptResult it) { result = std::move(it); });
        EXPECT_FALSE(result); // the handler is never called within send()
        EXPECT_TRUE(runUntil(context, [&] { return result.has_value(); }));
        connections.closeIdle(target); // the server serves one connection at a time
        return result ? std::move(*result) : AttemptResult {};
    };
    const auto expectUnsendable = [&](const AttemptResult& result) {
        EXPECT_EQ(result.failure, entry::AttemptProgress::Unsendable);
        EXPECT_NE(result.detail.find("must have 1 to 65533 bytes"), std::string::npos) << result.detail;
    };
    int sent = 0;
    for (const auto length : oddLengths) {
        const std::string name(length, 'n');
        if (length <= maxFieldTextBytes) {
            EXPECT_EQ(sendWithNames(name, "t").answer.body(), "own") << length;
            EXPECT_EQ(sendWithNames("acme", name).answer.body(), "own") << length;
            sent += 2;
        } else {
            expectUnsendable(sendWithNames(name, "t"));
            expectUnsendable(sendWithNames("acme", name));
        }
    }
    const std::vector<std::string> unusableNames { "n\r\nX-Other: 1", " n", "n\t", std::string("n\0", 2) };
    for (const auto& name : unusableNames) {
        expectUnsendable(sendWithNames(name, "t"));
        expectUnsendable(sendWithNames("acme", name));
    }
    EXPECT_EQ(requests, sent);
    EXPECT_EQ(sendWithNames("acme", "t").answer.body(), "own");
}

// Guards against the late answer to an earlier request that is taken for the answer to the current one.
TEST_F(TargetConnectionsFailure, LateAnswerOfAnotherRequestIsSkipped)
{
    const ScriptedServer server([](Tcp::socket& socket, int) {
        readRequest(socket);
        writeText(socket, answer("r0", "old") + answer("r1", "own"));
    });
    EXPECT_EQ(send(server).answer.body(), "own");
}

// Guards against reuse of a connection on which unread bytes are left.
TEST_F(TargetConnectionsFailure, ConnectionWithUnreadBytesIsNotReused)
{
    std::atomic<int> connectionsSeen { 0 };
    const ScriptedServer server([&](Tcp::socket& socket, int n) {
        connectionsSeen = n + 1;
        readRequest(socket);
        writeText(socket, answer("r1", "own") + (n == 0 ? answer("r1", "again") : ""));
    });
    EXPECT_EQ(send(server).answer.body(), "own");
    EXPECT_EQ(send(server).answer.body(), "own");
    EXPECT_EQ(connectionsSeen, 2);
}

// Guards against a new connection for each request.
TEST_F(TargetConnectionsFailure, ConnectionWithoutUnreadBytesIsReused)
{
    std::atomic<int> connectionsSeen { 0 };
    const ScriptedServer server([&](Tcp::socket& socket, int n) {
        connectionsSeen = n + 1;
        for (int i = 0; i < 2; ++i) {
            readRequest(socket);
            writeText(socket, answer("r1", "own"));
        }
    });
    EXPECT_EQ(send(server).answer.body(), "own");
    EXPECT_EQ(send(server).answer.body(), "own");
    EXPECT_EQ(connectionsSeen, 1);
}

// Guards against a truncated answer that is taken for complete.
TEST_F(TargetConnectionsFailure, TruncatedAnswerIsAFailure)
{
    const ScriptedServer server([](Tcp::socket& socket, int) {
        readRequest(socket);
        const auto whole = answer("r1", "0123456789");
        writeText(socket, whole.substr(0, whole.size() - 4));
    });
    EXPECT_EQ(send(server).failure, entry::AttemptProgress::Sent);
}

// Guards against the rejection of an answer that has no length and ends with the connection. Such an answer must still
// not be taken for complete if the connection ends with a reset.
TEST_F(TargetConnectionsFailure, AnswerWithoutLengthEndsWithTheConnectionButNotWithAReset)
{
    const ScriptedServer server([](Tcp::socket& socket, int n) {
        readRequest(socket);
        writeText(socket, "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\n\r\nwhole");
        if (n == 1) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50)); // the bytes arrive before the reset
            socket.set_option(asio::socket_base::linger(true, 0));
            socket.close(); // the destructor would send no reset
        }
    });
    EXPECT_EQ(send(server).answer.body(), "whole");
    EXPECT_EQ(send(server).failure, entry::AttemptProgress::Sent);
}

// Guards against the result "sent" for a request that no target has received.
TEST_F(TargetConnectionsFailure, RefusedConnectionIsReportedAsNotConnected)
{
    std::string address;
    {
        const ScriptedServer closed([](Tcp::socket&, int) {});
        address = closed.address();
    }
    std::optional<AttemptResult> result;
    connections.send({ .attempt = 9,
                         .target = "t1",
                         .address = address,
                         .deadline = currentTime() + std::chrono::seconds(5),
                         .connectTimeout = std::chrono::seconds(5) },
        CallerRequest(http::verb::get, "/", 11), [&](AttemptResult it) { result = std::move(it); });
    ASSERT_TRUE(runUntil(context, [&] { return result.has_value(); }));
    EXPECT_EQ(result->failure, entry::AttemptProgress::NotConnected);
}

// Guards against the result "not connected" for a request that was sent. On a busy VM, the connect and its timeout can
// both complete before the event loop runs again. The request was then retried and ran twice.
TEST_F(TargetConnectionsFailure, ConnectTimeoutAfterTheConnectDoesNotHideASentRequest)
{
    std::atomic<bool> seen { false };
    const ScriptedServer server([&](Tcp::socket& socket, int) {
        seen = !readRequest(socket).empty();
        writeText(socket, answer("r1", "own"));
    });
    CallerRequest request(http::verb::post, "/a/1", 11);
    request.set("Id", "r1");
    std::optional<AttemptResult> result;
    connections.send({ .attempt = 9,
                         .target = "t1",
                         .address = server.address(),
                         .deadline = currentTime() + std::chrono::seconds(5),
                         .connectTimeout = std::chrono::milliseconds(1) },
        request, [&](AttemptResult it) { result = std::move(it); });
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    ASSERT_TRUE(runUntil(context, [&] { return result.has_value(); }));
    context.restart();
    context.run_for(std::chrono::milliseconds(50));
    EXPECT_FALSE(seen && result->failure == entry::AttemptProgress::NotConnected);
}

} // namespace arbutuscrank::node::test
