#include "node/odd_messages.hpp"
#include "node/target_fixture.hpp"

namespace arbutuscrank::node::test {

namespace {

    struct OddTargetAnswersFailure : TargetFixture {
        /// Sends a request to a target that gives this answer and keeps its connection open.
        AttemptResult sendTo(const std::string& text)
        {
            const ScriptedServer server([&](Tcp::socket& socket, int) {
                readRequest(socket);
                writeText(socket, text);
                readRequest(socket); // until the process closes the connection
            });
            auto result = send(server);
            connections.closeIdle(server.address());
            return result;
        }
    };

    constexpr const char* startLine = "HTTP/1.1 200 OK";
    constexpr const char* fields = "Id: r1\r\nSignature: s\r\n";

} // namespace

// Guards against an answer that ends the process, and with it the requests at all other targets: a field name or value
// that the HTTP library's fields cannot hold made them throw.
TEST_F(OddTargetAnswersFailure, LongPartsEndOnlyTheAttempt)
{
    std::uint64_t unreadable = 0;
    for (const auto part : oddParts) {
        for (const auto length : oddLengths) {
            const auto result = sendTo(makeOddMessage(startLine, fields, part, length));
            if (part == OddPart::ChunkExtension) { // ignored, as HTTP wants it
                EXPECT_FALSE(result.failure) << length << ' ' << result.detail;
                EXPECT_EQ(result.answer.body(), "done") << length;
                continue;
            }
            ++unreadable;
            ASSERT_EQ(result.failure, entry::AttemptProgress::Sent) << toString(part) << ' ' << length;
            EXPECT_TRUE(result.detail.starts_with("answer: ")) << result.detail;
            EXPECT_TRUE(result.answer.body().empty()) << toString(part) << ' ' << length;
            EXPECT_EQ(connections.unreadableAnswers(), unreadable) << toString(part) << ' ' << length;
        }
    }
    EXPECT_EQ(sendTo(answer("r1", "own")).answer.body(), "own");
    EXPECT_EQ(connections.unreadableAnswers(), unreadable);
}

// Guards against trailers without a limit, which become fields of the answer that its caller gets.
TEST_F(OddTargetAnswersFailure, TrailersHaveTheLimitOfAHead)
{
    constexpr std::size_t limit = 8U << 10U;
    const auto send = [this](std::size_t length) {
        return sendTo(makeOddMessage(startLine, fields, OddPart::TrailerValue, length));
    };
    EXPECT_EQ(send(limit / 2).answer["X-Long"].size(), limit / 2);
    EXPECT_EQ(send(limit).detail, "answer: the trailer fields are larger than their limit");
}

} // namespace arbutuscrank::node::test
