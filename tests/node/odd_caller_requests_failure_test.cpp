#include "node/caller_session.hpp"
#include "node/loopback.hpp"
#include "node/odd_messages.hpp"

#include <gtest/gtest.h>

namespace arbutuscrank::node::test {

namespace {

    /// Sessions that answer each request at once, but for those on the path "/held".
    struct OddCallerRequestsFailure : testing::Test {
        OddCallerRequestsFailure()
        {
            handlers = {
                .allocateId = [this] { return ++lastId; },
                .onRequest =
                    [this](RequestId id, const auto& request, const auto& session) {
                        ++receivedRequests;
                        if (request->target() != "/held")
                            answer(id, *session);
                        else
                            held.emplace_back(id, session);
                    },
                .onCallerDisconnected = [this](RequestId) { ++abandonedRequests; },
                .limits = [this]() -> const entry::CallerLimits& { return limits; },
                .isStopping = [] { return false; },
                .logUnreadableRequest = [this](const std::string& detail) { unreadable.push_back(detail); },
                .logConnectionDropped = [](const std::string&, std::size_t) {},
                .logConnectionCut = [](const ConnectionCut&) {},
            };
        }

        static void answer(RequestId id, CallerSession& session)
        {
            CallerAnswer out(http::status::ok, 11);
            out.body() = "own";
            session.answer(id, std::move(out));
        }

        Tcp::socket connect()
        {
            Tcp::socket caller(context);
            caller.connect(acceptor.local_endpoint());
            std::make_shared<CallerSession>(acceptor.accept(), handlers)->start();
            caller.non_blocking(true);
            return caller;
        }

        /// Reads until the text ends with \p end or the connection ends.
        std::string readUntil(Tcp::socket& caller, std::string_view end)
        {
            std::string text;
            EXPECT_TRUE(runUntil(context, [&] {
                std::array<char, 4096> buf {};
                SystemError ec;
                text.append(buf.data(), caller.read_some(asio::buffer(buf), ec));
                return text.ends_with(end) || (ec && ec != asio::error::would_block);
            }));
            return text;
        }

        /// Sends text on a new connection. \returns what the caller gets up to the answer to a readable request, or up
        /// to the end of the connection
        std::string exchange(const std::string& text)
        {
            auto caller = connect();
            writeText(caller, text);
            auto out = readUntil(caller, "own");
            if (out.ends_with("own"))
                return out;
            SystemError ec;
            std::array<char, 1> buf {};
            (void)caller.read_some(asio::buffer(buf), ec);
            EXPECT_EQ(ec, asio::error::eof) << out; // a reset could cost the caller the answer
            return out;
        }

        asio::io_context context;
        Tcp::acceptor acceptor { context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0) };
        CallerHandlers handlers;
        entry::CallerLimits limits;
        std::vector<std::pair<RequestId, std::shared_ptr<CallerSession>>> held;
        std::vector<std::string> unreadable;
        RequestId lastId = 0;
        int receivedRequests = 0;
        int abandonedRequests = 0;
    };

    constexpr const char* startLine = "POST /a HTTP/1.1";
    constexpr const char* fields = "Host: h\r\n";

    std::string statusLine(int status) { return "HTTP/1.1 " + std::to_string(status) + ' '; }

} // namespace

// Guards against a request that ends the process, and with it the requests of all other callers: a field name or value
// that the HTTP library's fields cannot hold made them throw.
TEST_F(OddCallerRequestsFailure, LongPartsEndOnlyTheirConnection)
{
    limits.maxHeaderBytes = 128U << 10U; // so that only the HTTP library's fields limit a field
    auto sound = connect();
    writeText(sound, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil(context, [&] { return held.size() == 1; }));
    std::size_t refused = 0;
    for (const auto part : oddParts) {
        for (const auto length : oddLengths) {
            const auto out = exchange(makeOddMessage(startLine, fields, part, length));
            const bool isTooLong = part != OddPart::ChunkExtension && length > maxFieldTextBytes;
            const int status = part == OddPart::StartLine ? 400 : isTooLong ? 431 : 200;
            EXPECT_TRUE(out.starts_with(statusLine(status))) << toString(part) << ' ' << length << ' ' << out;
            refused += status == 200 ? 0 : 1;
            EXPECT_EQ(unreadable.size(), refused) << toString(part) << ' ' << length;
        }
    }
    EXPECT_EQ(abandonedRequests, 0);
    answer(held[0].first, *held[0].second);
    EXPECT_TRUE(readUntil(sound, "own").starts_with(statusLine(200)));
}

// Guards against methods and paths that the HTTP library cannot hold.
TEST_F(OddCallerRequestsFailure, LongMethodsAndPathsAreReadWithinTheLimit)
{
    limits.maxHeaderBytes = 128U << 10U;
    for (const auto length : oddLengths) {
        const std::string text(length, 'x');
        EXPECT_TRUE(exchange("POST /" + text + " HTTP/1.1\r\nHost: h\r\n\r\n").starts_with(statusLine(200))) << length;
        EXPECT_TRUE(exchange(text + " / HTTP/1.1\r\nHost: h\r\n\r\n").starts_with(statusLine(200))) << length;
    }
    limits.maxHeaderBytes = 16U << 10U;
    EXPECT_TRUE(exchange("POST /" + std::string(70'000, 'x') + " HTTP/1.1\r\n\r\n").starts_with(statusLine(431)));
    EXPECT_EQ(unreadable, std::vector<std::string> { "header limit exceeded" });
}

// Guards against trailers without a limit: a target gets them as fields of the head.
TEST_F(OddCallerRequestsFailure, TrailersHaveTheLimitsOfAHead)
{
    limits.maxHeaderBytes = 1U << 10U;
    limits.maxHeaderFields = 20;
    const auto sendTrailer = [this](const std::string& trailer) {
        return exchange("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + trailer + "\r\n");
    };
    EXPECT_TRUE(sendTrailer("X: " + std::string(1000, 'x') + "\r\n").starts_with(statusLine(200)));
    EXPECT_TRUE(sendTrailer("X: " + std::string(1100, 'x') + "\r\n").starts_with(statusLine(431)));
    std::string many;
    for (int i = 0; i < 20; ++i)
        many += "X: 1\r\n";
    EXPECT_TRUE(sendTrailer(many).starts_with(statusLine(431)));
    EXPECT_EQ(unreadable,
        (std::vector<std::string> {
            "the trailer fields are larger than their limit", "the message has more fields than its limit" }));
}

// Guards against an odd request that costs the answer to the request before it on the same connection, and against one
// behind it that runs.
TEST_F(OddCallerRequestsFailure, TheRequestBeforeAnOddOneIsAnswered)
{
    limits.maxHeaderBytes = 128U << 10U;
    for (const auto part : { OddPart::FieldName, OddPart::FieldValue, OddPart::TrailerName, OddPart::TrailerValue }) {
        receivedRequests = 0;
        auto caller = connect();
        const std::string get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        std::string text = get;
        text += makeOddMessage(startLine, fields, part, 70'000);
        text += get;
        writeText(caller, text);
        const auto out = readUntil(caller, "no end but that of the connection");
        EXPECT_TRUE(out.starts_with(statusLine(200))) << out;
        EXPECT_NE(out.find("own" + statusLine(431)), std::string::npos) << out;
        EXPECT_EQ(receivedRequests, 1) << toString(part);
    }
}

} // namespace arbutuscrank::node::test
