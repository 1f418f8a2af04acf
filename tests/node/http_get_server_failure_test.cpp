#include "node/http_get_server.hpp"
#include "node/loopback.hpp"
#include "node/odd_messages.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace arbutuscrank::node::test {

namespace {

    /// A server that answers each request at once with "ok".
    struct HttpGetServerFailure : testing::Test {
        HttpGetServerFailure()
        {
            server.setUnreadableHandler([this](const std::string& detail) { unreadable.push_back(detail); });
        }
        void SetUp() override { ASSERT_TRUE(server.open(address)); }

        /// Sends text on a new connection. \returns what arrives up to an answer "ok" or the end of the connection
        std::string exchange(const std::string& request)
        {
            Tcp::socket socket(context);
            socket.connect(parseEndpoint(address).value());
            socket.non_blocking(true);
            writeText(socket, request);
            std::string text;
            SystemError ec;
            EXPECT_TRUE(runUntil(context, [&] {
                std::array<char, 1024> buf {};
                text.append(buf.data(), socket.read_some(asio::buffer(buf), ec));
                return text.ends_with("ok") || (ec && ec != asio::error::would_block);
            }));
            // A reset could cost the peer the answer.
            EXPECT_TRUE(text.ends_with("ok") || ec == asio::error::eof) << text << ' ' << ec.message();
            return text;
        }

        asio::io_context context;
        std::string address = freeAddress();
        HttpGetServer server { context,
            HttpGetServer::Handler([](std::string_view) { return makeAnswer(http::status::ok, "ok", "text/plain"); }) };
        std::vector<std::string> unreadable;
    };

} // namespace

// Guards against a look-up that announces a body of more bytes than there is memory and ends the process.
TEST_F(HttpGetServerFailure, AnnouncedBodyIsNotAllocated)
{
    EXPECT_TRUE(exchange("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999\r\n\r\nabcdefgh")
                    .starts_with("HTTP/1.1 413 "));
    EXPECT_EQ(unreadable, std::vector<std::string> { "body limit exceeded" });
    EXPECT_TRUE(exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n").starts_with("HTTP/1.1 200"));
}

// Guards against a request that ends the process, or whose connection closes without an answer, a log line or a count.
TEST_F(HttpGetServerFailure, RequestsWithLongPartsAreAnswered)
{
    std::size_t refused = 0;
    for (const auto part : oddParts) {
        for (const auto length : oddLengths) {
            const auto text = exchange(makeOddMessage("GET / HTTP/1.1", "Host: h\r\n", part, length));
            EXPECT_TRUE(text.starts_with("HTTP/1.1 431 ") || (part == OddPart::StartLine && text.find(" 400 ") == 8))
                << toString(part) << ' ' << length << ' ' << text;
            EXPECT_NE(text.find("Connection: close"), std::string::npos) << text;
            EXPECT_EQ(unreadable.size(), ++refused) << toString(part) << ' ' << length;
        }
    }
    const std::string overflow = "a chunk extension or the trailer does not fit the read buffer";
    EXPECT_EQ(std::ranges::count(unreadable, overflow), 12);
    EXPECT_TRUE(exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n").starts_with("HTTP/1.1 200"));
    EXPECT_EQ(unreadable.size(), refused);
}

} // namespace arbutuscrank::node::test
