#include "node/target_fixture.hpp"

#include <array>
#include <atomic>
#include <vector>

namespace arbutuscrank::node::test {

namespace {

    struct TargetAnswersFailure : TargetFixture { };

    std::string refusal(const std::string& idHeader)
    {
        return "HTTP/1.1 503 Busy\r\n" + idHeader + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    }

} // namespace

// Guards against "not run" for a request that a target runs while it repeats the refusal of an earlier request.
TEST_F(TargetAnswersFailure, RepeatedRefusalIsNotTheAnswerToTheNextRequest)
{
    for (const std::string idHeader : { "", "Id: r1\r\n" }) {
        const ScriptedServer server([&](Tcp::socket& socket, int n) {
            if (n > 0)
                return;
            readRequest(socket);
            writeText(socket, refusal(idHeader));
            readRequest(socket);
            writeText(socket, refusal(idHeader)); // and then the target runs the request
            char byte = 0;
            SystemError ec;
            socket.read_some(asio::buffer(&byte, 1), ec);
        });
        EXPECT_TRUE(send(server).notRun);
        CallerRequest request(http::verb::post, "/a/1", 11);
        request.set("Id", "r2");
        std::optional<AttemptResult> result;
        const auto sent = makeAttempt(server);
        connections.send(sent, request, [&](AttemptResult it) { result = std::move(it); });
        context.restart();
        context.run_for(std::chrono::milliseconds(200));
        EXPECT_FALSE(result && result->notRun) << "refusal with \"" << idHeader << '"';
        EXPECT_TRUE(!result || result->failure == entry::AttemptProgress::Sent);
        connections.closeIdle(server.address());
        connections.cancel(sent.attempt);
    }
}

// Guards against an answer that names no request and that is passed on for a request to which it doesn't belong.
TEST_F(TargetAnswersFailure, AnswerWithoutAnIdOnAKeptConnectionIsNotPassedOn)
{
    const ScriptedServer server([](Tcp::socket& socket, int) {
        readRequest(socket);
        writeText(socket, answer("r1", "own"));
        readRequest(socket);
        writeText(socket, "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 3\r\n\r\nold");
    });
    EXPECT_EQ(send(server).answer.body(), "own");
    const auto second = send(server, "r2");
    EXPECT_EQ(second.failure, entry::AttemptProgress::Sent);
}

// Guards against a 200 with an empty body for an answer whose head was cut off.
TEST_F(TargetAnswersFailure, AnswerThatStopsInItsHeadIsAFailure)
{
    const auto whole = answer("r1", "");
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const auto& head : { whole, chunkedHead }) {
        for (std::size_t length = 0; length < head.size(); ++length) {
            const ScriptedServer server([&](Tcp::socket& socket, int) {
                readRequest(socket);
                writeText(socket, head.substr(0, length));
            });
            EXPECT_EQ(send(server).failure, entry::AttemptProgress::Sent) << head.substr(0, length);
        }
    }
}

// Guards against an informational answer that is passed on as the whole answer.
TEST_F(TargetAnswersFailure, InformationalAnswerIsNotTheAnswer)
{
    const std::string informational = "HTTP/1.1 103 Early Hints\r\nId: r1\r\nSignature: s\r\n\r\n";
    const ScriptedServer whole([&](Tcp::socket& socket, int) {
        readRequest(socket);
        writeText(socket, informational + answer("r1", "own"));
    });
    EXPECT_EQ(send(whole).answer.body(), "own");
    const ScriptedServer cut([&](Tcp::socket& socket, int) {
        readRequest(socket);
        writeText(socket, informational);
    });
    EXPECT_EQ(send(cut).failure, entry::AttemptProgress::Sent);
}

} // namespace arbutuscrank::node::test
