#include "node/caller_session.hpp"
#include "node/loopback.hpp"

#include <gtest/gtest.h>

namespace arbutuscrank::node::test {

namespace {

    /// A session whose requests the test answers, and the caller at its other end.
    struct Sessions : testing::Test {
        Sessions()
        {
            limits.maxBodyBytes = 8;
            handlers = {
                .nextId = [this] { return ++lastId; },
                .arrived =
                    [this](RequestId id, const auto& request, const auto& session) {
                        arrived.push_back({ id, std::string(request->target()) });
                        current = session;
                    },
                .left = [this](RequestId id) { left.push_back(id); },
                .limits = [this]() -> const entry::CallerLimits& { return limits; },
                .stopping = [this] { return stopping; },
                .log = [](const std::string&) {},
            };
            Tcp::acceptor acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
            caller.connect(acceptor.local_endpoint());
            std::make_shared<CallerSession>(acceptor.accept(), handlers)->start();
        }

        void answer(RequestId id, const std::string& body)
        {
            CallerAnswer out(http::status::ok, 11);
            out.body() = body;
            current->answer(id, std::move(out));
        }

        std::string readAvailable(std::size_t atLeast)
        {
            std::string text;
            runUntil(context, [&] {
                std::array<char, 4096> buf {};
                SystemError ec;
                caller.non_blocking(true);
                const auto n = caller.read_some(asio::buffer(buf), ec);
                text.append(buf.data(), n);
                return text.size() >= atLeast || ec == asio::error::eof;
            });
            return text;
        }

        asio::io_context context;
        CallerHandlers handlers;
        entry::CallerLimits limits;
        Tcp::socket caller { context };
        std::shared_ptr<CallerSession> current;
        std::vector<std::pair<RequestId, std::string>> arrived;
        std::vector<RequestId> left;
        RequestId lastId = 0;
        bool stopping = false;
    };

    std::string get(const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"; }

} // namespace

// Guards against pipelined requests that run one after the other, and against answers that change places.
TEST_F(Sessions, PipelinedRequestsRunTogetherAndAreAnsweredInOrder)
{
    writeText(caller, get("/1") + get("/2"));
    ASSERT_TRUE(runUntil(context, [&] { return arrived.size() == 2; }));
    answer(2, "second");
    answer(1, "first");
    const auto text = readAvailable(100);
    EXPECT_LT(text.find("first"), text.find("second"));
    EXPECT_NE(text.find("second"), std::string::npos);
}

// Guards against work that goes on after the caller has closed its connection.
TEST_F(Sessions, ClosingLeavesAllWaitingRequests)
{
    writeText(caller, get("/1") + get("/2"));
    ASSERT_TRUE(runUntil(context, [&] { return arrived.size() == 2; }));
    caller.close();
    EXPECT_TRUE(runUntil(context, [&] { return left.size() == 2; }));
}

// Guards against requests that a busy VM sends to a target after their caller has left (cacen-pool-grown trouble-1).
TEST_F(Sessions, SeesACloseThatTheEventLoopHasNotComeTo)
{
    writeText(caller, get("/1"));
    ASSERT_TRUE(runUntil(context, [&] { return arrived.size() == 1; }));
    EXPECT_FALSE(current->hasCallerClosed());
    caller.close();
    std::this_thread::sleep_for(std::chrono::milliseconds(20)); // the event loop does not run
    EXPECT_TRUE(current->hasCallerClosed());
    EXPECT_TRUE(left.empty());
}

// Guards against a stop that cuts a request, and against callers that stay on a stopping VM.
TEST_F(Sessions, StopAnswersAndThenCloses)
{
    writeText(caller, get("/1"));
    ASSERT_TRUE(runUntil(context, [&] { return arrived.size() == 1; }));
    stopping = true;
    current->closeIfIdle(); // not idle: the answer is due
    answer(1, "whole");
    const auto text = readAvailable(100000);
    EXPECT_NE(text.find("whole"), std::string::npos);
    EXPECT_NE(text.find("Connection: close"), std::string::npos);
}

// Guards against requests hidden in another one's body.
TEST_F(Sessions, AmbiguousLengthIsRefused)
{
    writeText(caller,
        "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            + get("/hidden"));
    const auto text = readAvailable(20);
    EXPECT_NE(text.find("400"), std::string::npos);
    EXPECT_TRUE(arrived.empty());
}

TEST_F(Sessions, TooLargeHeadersAndBodiesAreRefused)
{
    writeText(caller, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123456789");
    EXPECT_NE(readAvailable(20).find("413"), std::string::npos);
    EXPECT_TRUE(arrived.empty());
}

} // namespace arbutuscrank::node::test
