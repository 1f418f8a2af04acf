#include "node/http_channel.hpp"
#include "node/loopback.hpp"
#include "node/odd_messages.hpp"

#include <boost/asio/executor_work_guard.hpp>

#include <gtest/gtest.h>

namespace arbutuscrank::node::test {

namespace {

    HttpChannel::Request get() { return { http::verb::get, "/", 11 }; }

} // namespace

// Guards against a list that is queued behind a watch on a dead connection. Requests were then sent to targets that had
// left seconds before.
TEST(HttpChannelFailure, AbandonedCallDoesNotBlockTheNext)
{
    const ScriptedServer server([](Tcp::socket& socket, int n) {
        readRequest(socket);
        if (n > 0)
            writeText(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        else
            readRequest(socket); // sends nothing until the client closes
    });
    asio::io_context context;
    const auto channel = std::make_shared<HttpChannel>(context, server.endpoint(), server.address());
    std::optional<ErrorCode> abandoned;
    std::string body;
    channel->call(get(), std::chrono::seconds(25), [&](Result<HttpChannel::Response> it) {
        if (!it)
            abandoned = it.error().code;
    });
    context.run_for(std::chrono::milliseconds(50));
    channel->abandon();
    channel->call(get(), std::chrono::seconds(5), [&](Result<HttpChannel::Response> it) {
        if (it)
            body = it.value().body();
    });
    EXPECT_TRUE(runUntil(context, [&] { return !body.empty(); }));
    EXPECT_EQ(body, "ok");
    EXPECT_EQ(abandoned, ErrorCode::Unknown);
}

// Guards against a call that waits forever for a store that accepts connections and never answers.
TEST(HttpChannelFailure, CallWithoutAnswerEndsWithATimeout)
{
    const ScriptedServer server([](Tcp::socket& socket, int) {
        readRequest(socket);
        readRequest(socket);
    });
    asio::io_context context;
    const auto channel = std::make_shared<HttpChannel>(context, server.endpoint(), server.address());
    std::optional<ErrorCode> code;
    channel->call(get(), std::chrono::milliseconds(50), [&](Result<HttpChannel::Response> it) {
        if (!it)
            code = it.error().code;
    });
    EXPECT_TRUE(runUntil(context, [&] { return code.has_value(); }));
    EXPECT_EQ(code, ErrorCode::Timeout);
}

// Guards against a server whose answer announces more bytes than there is memory and ends the process.
TEST(HttpChannelFailure, AnnouncedLengthBeyondTheLimitIsNotAllocated)
{
    const ScriptedServer server([](Tcp::socket& socket, int) {
        readRequest(socket);
        writeText(socket, "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999\r\n\r\nabcdefgh");
        readRequest(socket); // until the client closes
    });
    asio::io_context context;
    const auto channel = std::make_shared<HttpChannel>(context, server.endpoint(), server.address());
    std::optional<ErrorCode> code;
    channel->call(get(), std::chrono::seconds(5), [&](Result<HttpChannel::Response> it) {
        if (!it)
            code = it.error().code;
    });
    EXPECT_TRUE(runUntil(context, [&] { return code.has_value(); }));
    EXPECT_EQ(code, ErrorCode::Unknown);
}

// Guards against an answer of the store or of another VM that ends the process: a field name or value that the HTTP
// library's fields cannot hold made them throw.
TEST(HttpChannelFailure, AnswersWithLongPartsEndOnlyTheirCall)
{
    for (const auto part : oddParts) {
        for (const auto length : oddLengths) {
            const ScriptedServer server([&](Tcp::socket& socket, int n) {
                readRequest(socket);
                writeText(socket,
                    n == 0 ? makeOddMessage("HTTP/1.1 200 OK", "", part, length)
                           : "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                readRequest(socket); // until the client closes
            });
            asio::io_context context;
            const auto channel = std::make_shared<HttpChannel>(context, server.endpoint(), server.address());
            std::vector<std::string> outcomes;
            const auto call = [&] {
                channel->call(get(), std::chrono::seconds(5), [&](Result<HttpChannel::Response> it) {
                    outcomes.push_back(it ? it.value().body() : std::string(toString(it.error().code)));
                });
                EXPECT_TRUE(runUntil(context, [&, n = outcomes.size()] { return outcomes.size() > n; }));
            };
            call();
            const bool isRead = part == OddPart::ChunkExtension; // ignored, as HTTP wants it
            EXPECT_EQ(outcomes.back(), isRead ? "done" : toString(ErrorCode::Unknown))
                << toString(part) << ' ' << length;
            if (isRead)
                channel->abandon(); // ends the script of the connection, which is kept
            call();
            EXPECT_EQ(outcomes.back(), "ok") << toString(part) << ' ' << length;
            channel->abandon();
        }
    }
}

// Guards against use of freed memory: if a call is abandoned while its request is being sent, the write still accesses
// the request. Starting coordinators then ended with a segmentation fault.
TEST(HttpChannelFailure, AbandonDuringASendKeepsTheRequestAlive)
{
    const ScriptedServer server([](Tcp::socket& socket, int) { readRequest(socket); });
    asio::io_context context;
    const auto channel = std::make_shared<HttpChannel>(context, server.endpoint(), server.address());
    const auto work = asio::make_work_guard(context);
    int ended = 0;
    for (int steps = 0; steps < 40; ++steps) {
        HttpChannel::Request request(http::verb::put, "/", 11);
        request.body() = std::string(64U << 10U, 'x');
        request.prepare_payload();
        channel->call(std::move(request), std::chrono::seconds(5), [&](const auto&) { ++ended; });
        for (int i = 0; i < steps % 8; ++i)
            context.run_one_for(std::chrono::milliseconds(1));
        channel->abandon();
        const std::string overwritten(64U << 10U, 'y'); // reuses the memory of a request that was freed too early
        context.run_for(std::chrono::milliseconds(2));
        EXPECT_EQ(overwritten.size(), 64U << 10U);
    }
    EXPECT_EQ(ended, 40);
}

} // namespace arbutuscrank::node::test
