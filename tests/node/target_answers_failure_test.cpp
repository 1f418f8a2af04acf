#include "node/target_fixture.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <malloc.h>
#include <memory>
#include <vector>

namespace arbutuscrank::node::test {

namespace {

    struct TargetAnswersFailure : TargetFixture { };

    struct UndefinedStatusFailure : TargetFixture {
        /// Sends a request to targets that answer with each status and keep the connection open.
        void expectRefused(const std::vector<std::string>& statuses)
        {
            for (const auto& status : statuses) {
                for (const std::string body : { "own", "" }) { // with the whole body, and without any of it
                    const ScriptedServer server([&](Tcp::socket& socket, int) {
                        readRequest(socket);
                        std::string text = "HTTP/1.1 " + status;
                        text += " OK\r\nId: r1\r\nSignature: s\r\nNot-Run: 1\r\nContent-Length: 3\r\n\r\n";
                        text += body;
                        writeText(socket, text);
                        readRequest(socket);
                    });
                    const auto result = send(server);
                    connections.closeIdle(server.address()); // ends the script if the connection was kept
                    ASSERT_EQ(result.failure, entry::AttemptProgress::Sent) << status;
                    EXPECT_FALSE(result.notRun || result.hasSignature) << status;
                    EXPECT_TRUE(result.answer.body().empty()) << status;
                    const auto start = "answer: status " + (status.size() == 3 ? status : '"' + status);
                    const auto quoted = "answer: status \"" + status.substr(0, 3);
                    EXPECT_TRUE(result.detail.starts_with(start) || result.detail.starts_with(quoted)) << result.detail;
                    EXPECT_EQ(std::ranges::count(result.detail, '"') % 2, 0) << result.detail;
                }
            }
        }
    };

    std::string refusal(const std::string& idHeader)
    {
        return "HTTP/1.1 503 Busy\r\n" + idHeader + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    }

    /// A target that writes the same bytes again and again until the connection fails.
    struct EndlessTarget {
        /// Limit at which the target gives up, so that a failing test ends.
        static constexpr std::size_t maxBytes = 256U << 20U;

        explicit EndlessTarget(std::string start, std::string repeated)
            : server([this, first = std::move(start), next = std::move(repeated)](Tcp::socket& socket, int) {
                readRequest(socket);
                SystemError ec;
                writtenBytes += asio::write(socket, asio::buffer(first), ec);
                while (!ec && writtenBytes < maxBytes)
                    writtenBytes += asio::write(socket, asio::buffer(next), ec);
            })
        {
        }

        std::atomic<std::size_t> writtenBytes { 0 };
        ScriptedServer server;
    };

    /// Bytes that sockets may hold besides those that the process has read.
    constexpr std::size_t socketBufferBytes = 12U << 20U;
    constexpr std::size_t blockBytes = 16U << 10U;

    /// Bytes that are allocated on the heap.
    std::size_t allocatedBytes()
    {
        const auto info = mallinfo2();
        return info.uordblks + info.hblkhd;
    }

    std::string repeat(const std::string& text)
    {
        std::string out;
        while (out.size() < blockBytes)
            out += text;
        return out;
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

// Guards against a limit that stops or floods a target because its value is not a usable number.
TEST_F(TargetAnswersFailure, UnusableRateLimitsAreRefused)
{
    using enum entry::RateLimitStatement::Kind;
    const std::vector<std::pair<std::string, entry::RateLimitStatement::Kind>> cases { { "", None },
        { "Limit: 2.5\r\n", Limited }, { "Limit: 0\r\n", Limited }, { "Limit: 2.5\r\nLimit: 2.5\r\n", Limited },
        { "Limit: -1\r\n", Unreadable }, { "Limit: nan\r\n", Unreadable }, { "Limit: inf\r\n", Unreadable },
        { "Limit: 1e999\r\n", Unreadable }, { "Limit: 3 a second\r\n", Unreadable }, { "Limit:\r\n", Unreadable },
        { "Limit: 2\r\nLimit: 3\r\n", Unreadable } };
    for (const auto& [header, expected] : cases) {
        const ScriptedServer server([&headerText = header](Tcp::socket& socket, int) {
            readRequest(socket);
            writeText(socket, answer("r1", "own", headerText));
        });
        const auto result = send(server);
        EXPECT_FALSE(result.failure) << header;
        EXPECT_EQ(result.rateLimit.kind, expected) << header;
    }
}

// Guards against an endless or negative pause from a value that is no number of seconds.
TEST_F(TargetAnswersFailure, UnusablePausesAreRefused)
{
    const std::vector<std::pair<std::string, std::optional<Duration>>> cases { { "0.5",
                                                                                   std::chrono::milliseconds(500) },
        { "0", Duration::zero() }, { "1e9", std::chrono::minutes(10) }, { "-1", std::nullopt }, { "nan", std::nullopt },
        { "1e999", std::nullopt }, { "Wed, 21 Oct 2026 07:28:00 GMT", std::nullopt } };
    for (const auto& [text, expected] : cases) {
        const ScriptedServer server([&value = text](Tcp::socket& socket, int) {
            readRequest(socket);
            writeText(socket,
                "HTTP/1.1 503 Busy\r\nId: r1\r\nNot-Run: 1\r\nLeaving: 1\r\nRetry-After: " + value
                    + "\r\nContent-Length: 0\r\n\r\n");
        });
        const auto result = send(server);
        EXPECT_TRUE(result.notRun) << text;
        EXPECT_TRUE(result.isLeaving) << text;
        EXPECT_EQ(result.pause, expected) << text;
        EXPECT_EQ(result.refusedValues.contains("Retry-After"), !expected) << text;
    }
}

// Guards against a choice of targets by a figure without sense, and against a load that is lost because of one.
TEST_F(TargetAnswersFailure, UnusableWorkTimesAreRefused)
{
    struct Case {
        std::string text;
        std::optional<double> percent;
        std::string unusable;
    };
    const std::vector<Case> cases { { "2,1,4", std::nullopt, "" }, { "2,1,4,250", 250, "" }, { "2,1,4, 250 ", 250, "" },
        { "2,1,4,80.5,9", 80.5, "" }, { "2,1,4,100000", 100'000, "" }, { "2,1,4,0", std::nullopt, "0" },
        { "2,1,4,-5", std::nullopt, "-5" }, { "2,1,4,nan", std::nullopt, "nan" }, { "2,1,4,inf", std::nullopt, "inf" },
        { "2,1,4,1e999", std::nullopt, "1e999" }, { "2,1,4,100001", std::nullopt, "100001" },
        { "2,1,4,fast", std::nullopt, "fast" }, { "2,1,4,", std::nullopt, "nothing" },
        { "2,1,4,,7", std::nullopt, "nothing" } };
    for (const auto& it : cases) {
        const ScriptedServer server([&](Tcp::socket& socket, int) {
            readRequest(socket);
            writeText(socket, answer("r1", "own", "Load: " + it.text + "\r\n"));
        });
        const auto result = send(server);
        ASSERT_TRUE(result.load) << it.text;
        EXPECT_EQ(result.load->running, 2U) << it.text;
        EXPECT_EQ(result.load->workTimePercent, it.percent) << it.text;
        EXPECT_EQ(result.unusableWorkTime, it.unusable) << it.text;
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

// Guards against a request that waits for its deadline after an answer that is taken for an informational one.
TEST_F(UndefinedStatusFailure, LowStatusEndsTheAttempt) { expectRefused({ "000", "001", "020", "099", "101" }); }

// Guards against an answer that is delivered with a status that callers cannot interpret.
TEST_F(UndefinedStatusFailure, HighStatusEndsTheAttempt) { expectRefused({ "600", "700", "999" }); }

// Guards against a status line whose fault the log does not name.
TEST_F(UndefinedStatusFailure, StatusThatIsNotThreeDigitsEndsTheAttempt)
{
    expectRefused({ "20", "2000", "2x0", "abc", "-20", "+20", "0200", "200\"", "" });
}

// Guards against an answer that is refused although HTTP defines its class of statuses.
TEST_F(TargetAnswersFailure, EveryStatusThatHttpDefinesIsAnAnswer)
{
    for (const unsigned status : { 200U, 299U, 308U, 418U, 499U, 500U, 599U }) {
        const ScriptedServer server([&](Tcp::socket& socket, int) {
            readRequest(socket);
            writeText(socket, "HTTP/1.1 " + std::to_string(status) + " \r\nId: r1\r\nContent-Length: 3\r\n\r\nown");
        });
        const auto result = send(server);
        EXPECT_FALSE(result.failure) << status << ": " << result.detail;
        EXPECT_EQ(result.answer.result_int(), status);
    }
}

// Guards against a target that holds a request with informational answers until the deadline.
TEST_F(TargetAnswersFailure, SlowInformationalAnswersWithoutEndEndTheAttempt)
{
    for (const std::string status : { "100 Continue", "102 Processing", "103 Early Hints", "199 Unknown" }) {
        std::atomic<int> sent { 0 };
        const ScriptedServer server([&](Tcp::socket& socket, int) {
            readRequest(socket);
            SystemError ec;
            for (; !ec && sent < 100; ++sent) {
                asio::write(socket, asio::buffer("HTTP/1.1 " + status + "\r\n\r\n"), ec);
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            }
        });
        EXPECT_EQ(send(server).failure, entry::AttemptProgress::Sent) << status;
        EXPECT_LT(sent, 50) << status;
    }
}

// Guards against memory that grows without limit while a target sends bytes without end.
TEST_F(TargetAnswersFailure, EndlessAnswerEndsWithItsConnection)
{
    struct Case {
        std::string name;
        std::string start;
        std::string repeated;
        std::size_t allowedBytes; ///< that the process may read before it closes the connection
    };
    const std::string ok = "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\n";
    constexpr std::size_t headBytes = 1U << 20U;
    constexpr std::size_t bodyBytes = 32U << 20U;
    const std::array cases {
        Case { "status line", "HTTP/1.1 200 ", repeat("O"), headBytes },
        Case { "header line", ok + "X-Long: ", repeat("x"), headBytes },
        Case { "header lines", ok, repeat("X-More: 1\r\n"), headBytes },
        Case { "no HTTP", "", repeat("garbage "), headBytes },
        Case { "chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n5;x=", repeat("x"), headBytes },
        Case { "trailer", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeat("X-More: 1\r\n"), headBytes },
        Case { "empty informational answers", "", repeat("HTTP/1.1 100 Continue\r\n\r\n"), headBytes },
        Case { "answers to other requests", "", repeat(answer("r0", "old")), headBytes },
        Case { "chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", repeat("5\r\nabcde\r\n"), 2 * bodyBytes },
        Case { "body without a length", ok + "\r\n", repeat("abcdefgh"), bodyBytes },
        Case { "body with a large length", ok + "Content-Length: 99999999999\r\n\r\n", repeat("abcdefgh"), bodyBytes },
        Case { "large length and body at once", ok + "Content-Length: 99999999999\r\n\r\n" + repeat("abcdefgh"),
            repeat("abcdefgh"), bodyBytes },
    };
    for (const auto& it : cases) {
        const EndlessTarget target(it.start, it.repeated);
        EXPECT_EQ(send(target.server).failure, entry::AttemptProgress::Sent) << it.name;
        EXPECT_LE(target.writtenBytes, it.allowedBytes + socketBufferBytes) << it.name;
    }
}

// Guards against a connection that stays open while a target sends its answer byte by byte without end.
TEST_F(TargetAnswersFailure, CancelledAttemptClosesTheConnectionOfASlowEndlessAnswer)
{
    for (const std::string start : { "HTTP/1.1 200 OK\r\nX-Long: ", "HTTP/1.1 200 OK\r\nId: r1\r\n\r\n" }) {
        std::atomic<bool> isClosed { false };
        const ScriptedServer server([&](Tcp::socket& socket, int n) {
            if (n > 0)
                return;
            readRequest(socket);
            writeText(socket, start);
            SystemError ec;
            for (int i = 0; i < 1000 && !ec; ++i) {
                asio::write(socket, asio::buffer("x", 1), ec);
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
            isClosed = static_cast<bool>(ec);
        });
        CallerRequest request(http::verb::get, "/a/1", 11);
        request.set("Id", "r1");
        const auto sent = makeAttempt(server);
        connections.send(sent, request, [](const AttemptResult&) { ADD_FAILURE() << "the attempt was cancelled"; });
        context.run_for(std::chrono::milliseconds(100));
        connections.cancel(sent.attempt);
        EXPECT_TRUE(runUntil(context, [&] { return isClosed.load(); }));
    }
}

// Guards against a VM that runs out of memory because several targets send answers without end.
TEST_F(TargetAnswersFailure, EndlessAnswersTogetherKeepToTheirMemory)
{
    constexpr std::size_t targetCount = 4;
    const std::string start = "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\n\r\n";
    std::vector<std::unique_ptr<EndlessTarget>> targets;
    std::size_t failures = 0;
    CallerRequest request(http::verb::get, "/a/1", 11);
    request.set("Id", "r1");
    for (std::size_t i = 0; i < targetCount; ++i) {
        targets.push_back(std::make_unique<EndlessTarget>(start, repeat("abcdefgh")));
        connections.send(makeAttempt(targets.back()->server), request, [&](const AttemptResult& result) {
            EXPECT_EQ(result.failure, entry::AttemptProgress::Sent);
            ++failures;
        });
    }
    ASSERT_TRUE(runUntil(context, [&] { return failures > 0; }));
    std::size_t writtenBytes = 0;
    for (const auto& target : targets)
        writtenBytes += target->writtenBytes;
    EXPECT_LE(writtenBytes, maxAnswerBytes + targetCount * socketBufferBytes);
    ASSERT_TRUE(runUntil(context, [&] { return failures == targetCount; }));
    // The memory is free again.
    const ScriptedServer sound([](Tcp::socket& socket, int) {
        readRequest(socket);
        writeText(socket, answer("r1", "own"));
    });
    EXPECT_EQ(send(sound).answer.body(), "own");
}

// Guards against a VM that runs out of memory because more is allocated for the answers of a faulty target than is
// counted, and against answers of sound targets that are given up for it.
TEST_F(TargetAnswersFailure, EndlessAnswersOfOneTargetTakeNoMoreMemoryThanAllowed)
{
    constexpr std::size_t limit = 8U << 20U;
    constexpr std::size_t answerCount = 48;
    // A string whose memory grows is copied, so that twice its bytes are allocated for a moment.
    constexpr std::size_t allowed = 2 * limit;
    const std::string ok = "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\n";
    for (const auto& start :
        { ok + "\r\n", ok + "Transfer-Encoding: chunked\r\n\r\n", ok + "Content-Length: 30000000\r\n\r\n" }) {
        AnswerMemory smallMemory(limit);
        TargetConnections smallConnections(context, makeHeaderNames(), smallMemory);
        CallerRequest request(http::verb::get, "/a/1", 11);
        request.set("Id", "r1");
        std::vector<std::unique_ptr<EndlessTarget>> faulty;
        std::size_t failures = 0;
        const auto before = allocatedBytes();
        std::size_t peak = before;
        for (std::size_t i = 0; i < answerCount; ++i) {
            faulty.push_back(
                std::make_unique<EndlessTarget>(start, repeat("400\r\n" + std::string(1024, 'x') + "\r\n")));
            auto sent = makeAttempt(faulty.back()->server);
            sent.target = "faulty";
            smallConnections.send(sent, request, [&](const AttemptResult& result) {
                EXPECT_EQ(result.failure, entry::AttemptProgress::Sent);
                ++failures;
            });
        }
        const std::string body(limit / 4, 'y');
        const ScriptedServer sound([&](Tcp::socket& socket, int) {
            if (!readRequest(socket).empty())
                writeText(socket, answer("r1", body));
        });
        std::optional<AttemptResult> own;
        smallConnections.send(makeAttempt(sound), request, [&](AttemptResult it) { own = std::move(it); });
        EXPECT_TRUE(runUntil(context, [&] {
            peak = std::max(peak, allocatedBytes());
            return failures == answerCount && own;
        }));
        EXPECT_LE(peak - before, allowed) << start;
        ASSERT_TRUE(own) << start;
        EXPECT_EQ(own->answer.body().size(), body.size()) << own->detail;
        own.reset();
        EXPECT_EQ(smallMemory.bytes(), 0U) << start;
    }
}

} // namespace arbutuscrank::node::test
