#pragma once

#include <arbutuscrank/core/error.hpp>

#include <string>
#include <string_view>

#include <sys/socket.h>

/// \file
/// \brief Parses and formats socket addresses, "ip:port" or "[ip6]:port". Host names are never resolved.

namespace arbutuscrank::peer {

struct SocketAddress {
    sockaddr_storage storage {};
    socklen_t length = 0;

    [[nodiscard]] const sockaddr* data() const noexcept { return reinterpret_cast<const sockaddr*>(&storage); }
    [[nodiscard]] sockaddr* data() noexcept { return reinterpret_cast<sockaddr*>(&storage); }
};

/// \returns InvalidArgument if the text is not an IP address with a port
[[nodiscard]] Result<SocketAddress> parseAddress(std::string_view text);

[[nodiscard]] std::string formatAddress(const SocketAddress& address);

/// \brief Disables Nagle's algorithm and sets a TCP user timeout: unacknowledged data closes the connection after 3 s.
void setSocketOptions(int fd);

} // namespace arbutuscrank::peer
