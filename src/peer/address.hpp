#pragma once

#include <arbutuscrank/core/error.hpp>

#include <string>
#include <string_view>

#include <sys/socket.h>

/// \file
/// \brief Socket addresses as text: "ip:port" or "[ip6]:port". Names are never resolved.

namespace arbutuscrank::peer {

struct SocketAddress {
    sockaddr_storage storage {};
    socklen_t length = 0;

    [[nodiscard]] const sockaddr* data() const noexcept { return reinterpret_cast<const sockaddr*>(&storage); }
    [[nodiscard]] sockaddr* data() noexcept { return reinterpret_cast<sockaddr*>(&storage); }
};

/// \returns InvalidArgument if the text is not an IP number with a port
[[nodiscard]] Result<SocketAddress> parseAddress(std::string_view text);

[[nodiscard]] std::string formatAddress(const SocketAddress& address);

/// \brief Turns off Nagle's algorithm and ends a connection whose data is not acknowledged for about 3 s.
void tuneSocket(int fd);

} // namespace arbutuscrank::peer
