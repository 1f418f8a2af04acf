#include "node/http_get_server.hpp"
#include "node/loopback.hpp"

#include <gtest/gtest.h>

namespace arbutuscrank::node::test {

// Guards against a look-up that announces a body of more bytes than there is memory and ends the process.
TEST(HttpGetServerFailure, AnnouncedBodyIsNotAllocated)
{
    asio::io_context context;
    const auto address = freeAddress();
    HttpGetServer server(context,
        HttpGetServer::Handler([](std::string_view) { return makeAnswer(http::status::ok, "ok", "text/plain"); }));
    ASSERT_TRUE(server.open(address));
    const auto exchange = [&](const std::string& request) {
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
        return text;
    };
    EXPECT_EQ(exchange("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999\r\n\r\nabcdefgh"), "");
    EXPECT_TRUE(exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n").starts_with("HTTP/1.1 200"));
}

} // namespace arbutuscrank::node::test
