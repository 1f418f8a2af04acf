#include "peer/address.hpp"

#include <array>
#include <charconv>
#include <cstdint>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace arbutuscrank::peer {

namespace {

    Error makeAddressError(std::string_view text)
    {
        return { ErrorCode::InvalidArgument, "peer.address", std::string(text),
            "not an IP address with a port, 'ip:port' or '[ip6]:port'" };
    }

} // namespace

Result<SocketAddress> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return makeAddressError(text);
    const auto portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, ec] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (ec != std::errc {} || end != portText.data() + portText.size())
        return makeAddressError(text);
    SocketAddress address;
    if (text.front() == '[' && text[colon - 1] == ']') {
        const std::string host(text.substr(1, colon - 2));
        auto* ip6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
        ip6->sin6_family = AF_INET6;
        ip6->sin6_port = htons(port);
        address.length = sizeof *ip6;
        if (::inet_pton(AF_INET6, host.c_str(), &ip6->sin6_addr) != 1)
            return makeAddressError(text);
        return address;
    }
    const std::string host(text.substr(0, colon));
    auto* ip4 = reinterpret_cast<sockaddr_in*>(&address.storage);
    ip4->sin_family = AF_INET;
    ip4->sin_port = htons(port);
    address.length = sizeof *ip4;
    if (::inet_pton(AF_INET, host.c_str(), &ip4->sin_addr) != 1)
        return makeAddressError(text);
    return address;
}

std::string formatAddress(const SocketAddress& address)
{
    std::array<char, INET6_ADDRSTRLEN> text {};
    if (address.storage.ss_family == AF_INET6) {
        const auto* ip6 = reinterpret_cast<const sockaddr_in6*>(&address.storage);
        ::inet_ntop(AF_INET6, &ip6->sin6_addr, text.data(), text.size());
        return "[" + std::string(text.data()) + "]:" + std::to_string(ntohs(ip6->sin6_port));
    }
    const auto* ip4 = reinterpret_cast<const sockaddr_in*>(&address.storage);
    ::inet_ntop(AF_INET, &ip4->sin_addr, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(ntohs(ip4->sin_port));
}

void setSocketOptions(int fd)
{
    const int enable = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
    const unsigned userTimeoutMillis = 3000; // equals the time after which a member without heartbeats is suspected
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMillis, sizeof userTimeoutMillis);
}

} // namespace arbutuscrank::peer
