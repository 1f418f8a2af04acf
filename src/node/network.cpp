#include "node/network.hpp"

#include <charconv>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace arbutuscrank::node {

Result<Tcp::endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    const Error error { ErrorCode::InvalidArgument, "address.parse", std::string(text), "must be ip:port" };
    if (colon == std::string_view::npos)
        return error;
    SystemError ec;
    const auto ip = asio::ip::make_address(std::string(text.substr(0, colon)), ec);
    std::uint16_t port = 0;
    const auto digits = text.substr(colon + 1);
    const auto [end, conversionError] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (ec || conversionError != std::errc() || end != digits.data() + digits.size())
        return error;
    return Tcp::endpoint(ip, port);
}

void setSocketOptions(Tcp::socket& socket, Duration ackTimeout)
{
    // Errors are ignored: a connection without these options works, but notices a dead peer later.
    SystemError ec;
    socket.set_option(Tcp::no_delay(true), ec);
    const auto ms = static_cast<int>(ackTimeout / std::chrono::milliseconds(1));
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket.set_option(UserTimeout(ms), ec);
}

std::size_t unreadBytes(const Tcp::socket& socket)
{
    SystemError ec;
    const auto n = socket.available(ec);
    return ec ? 0 : n;
}

std::optional<std::size_t> unacknowledgedBytes(Tcp::socket& socket)
{
    int n = 0;
    if (!socket.is_open() || ::ioctl(socket.native_handle(), SIOCOUTQ, &n) != 0 || n < 0)
        return std::nullopt;
    return static_cast<std::size_t>(n);
}

Result<Tcp::acceptor> listenOn(asio::io_context& context, const std::string& address)
{
    BOOST_OUTCOME_TRY(endpoint, parseEndpoint(address));
    Tcp::acceptor acceptor(context);
    SystemError ec;
    acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(endpoint, ec);
    if (!ec)
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return Error { ErrorCode::Unavailable, "listen", address, ec.message() };
    return acceptor;
}

} // namespace arbutuscrank::node
