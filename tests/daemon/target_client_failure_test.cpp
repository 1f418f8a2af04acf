#include "daemon/target_client.hpp"

#include "daemon/core_runner.hpp"
#include "node/loopback.hpp"
#include "node/odd_messages.hpp"

#include <gtest/gtest.h>

namespace arbutuscrank::tests {

namespace {

    using node::test::readRequest;
    using node::test::ScriptedServer;
    using node::test::writeText;

    /// Records how an answer ended.
    struct RecordingSink : AnswerSink {
        bool start(int, const HeaderList&, std::optional<std::uint64_t>) override { return true; }
        bool write(std::span<const std::uint8_t>) override { return true; }
        void finish() override { isFinished = true; }
        void abort() override { }
        void refuse(const Refusal&) override { }

        bool isFinished = false;
    };

    struct TargetClientFailure : testing::Test {
        AttemptEnded run(const ScriptedServer& server)
        {
            RunAttempt attempt;
            attempt.address = server.address();
            attempt.deadline = CoreRunner::now() + std::chrono::seconds(5);
            AttemptControl control;
            return client.run(attempt, { "POST", "/a", {}, {} }, sink, control, [] {});
        }

        TargetClient client;
        RecordingSink sink;
    };

    const std::string refusal = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace

// Guards against "not run" for a request that a target runs while it repeats the refusal of an earlier request.
TEST_F(TargetClientFailure, RepeatedRefusalIsNotTheAnswerToTheNextRequest)
{
    const ScriptedServer server([](node::Tcp::socket& socket, int connection) {
        readRequest(socket);
        writeText(socket, connection == 0 ? refusal : "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        if (connection == 0 && !readRequest(socket).empty())
            writeText(socket, refusal); // and then the target runs the request
    });
    EXPECT_EQ(run(server).outcome, AttemptOutcome::NotRun);
    EXPECT_EQ(run(server).outcome, AttemptOutcome::Complete);
    client.setIdleConnections({ .address = server.address(), .idleConnections = 0 });
}

// Guards against a 200 with an empty body for an answer whose head was cut off.
TEST_F(TargetClientFailure, AnswerThatStopsInItsHeadIsAFailure)
{
    const std::string lengthHead = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const auto& head : { lengthHead, chunkedHead }) {
        for (std::size_t length = 0; length < head.size(); ++length) {
            const ScriptedServer server([&](node::Tcp::socket& socket, int) {
                readRequest(socket);
                writeText(socket, head.substr(0, length));
            });
            EXPECT_EQ(run(server).outcome, AttemptOutcome::Unknown) << head.substr(0, length);
            EXPECT_FALSE(sink.isFinished) << head.substr(0, length);
        }
    }
}

// Guards against an answer with one long part that ends the process or looks complete without its body.
TEST_F(TargetClientFailure, AnswersWithALongPartEndOnlyTheirAttempt)
{
    for (const auto part : node::test::oddParts) {
        for (const auto length : node::test::oddLengths) {
            const ScriptedServer server([&](node::Tcp::socket& socket, int) {
                readRequest(socket);
                writeText(socket, node::test::makeOddMessage("HTTP/1.1 200 OK", "", part, length));
                readRequest(socket); // until the process closes the connection
            });
            using enum node::test::OddPart;
            // CivetWeb drops trailers. Their bytes must not be read as the next answer on the connection.
            const bool isDropped = part == TrailerName || part == TrailerValue;
            for (int i = 0; i < 2; ++i) {
                sink.isFinished = false;
                EXPECT_EQ(run(server).outcome, isDropped ? AttemptOutcome::Complete : AttemptOutcome::Unknown)
                    << toString(part) << ' ' << length;
                EXPECT_EQ(sink.isFinished, isDropped) << toString(part) << ' ' << length;
            }
            client.setIdleConnections({ .address = server.address(), .idleConnections = 0 });
        }
    }
    const ScriptedServer sound([](node::Tcp::socket& socket, int) {
        readRequest(socket);
        writeText(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    EXPECT_EQ(run(sound).outcome, AttemptOutcome::Complete);
}

// Guards against memory that grows without limit while a target sends a head without end.
TEST_F(TargetClientFailure, EndlessHeadIsAFailure)
{
    constexpr std::size_t maxBytes = 32U << 20U;
    for (const std::string start : { "HTTP/1.1 200 OK\r\nX-Long: ", "HTTP/1.1 200 ", "garbage " }) {
        std::atomic<std::size_t> writtenBytes { 0 };
        const ScriptedServer server([&](node::Tcp::socket& socket, int) {
            readRequest(socket);
            writeText(socket, start);
            const std::string block(16U << 10U, 'x');
            node::SystemError ec;
            while (!ec && writtenBytes < maxBytes)
                writtenBytes += node::asio::write(socket, node::asio::buffer(block), ec);
        });
        EXPECT_EQ(run(server).outcome, AttemptOutcome::Unknown) << start;
        EXPECT_LT(writtenBytes, maxBytes) << start;
    }
}

} // namespace arbutuscrank::tests
