#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/beast/core/error.hpp>

#include <arbutuscrank/core/error.hpp>
#include <arbutuscrank/core/types.hpp>

#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Type aliases, address parsing and socket options that all connections of the process share.

namespace arbutuscrank::node {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;
using SystemError = boost::system::error_code;

/// \brief Limit on the bytes of a connection that are read and not parsed yet. It bounds parts of a message for which
/// the HTTP parser has no limit of its own, such as chunk extensions and trailers.
inline constexpr std::size_t maxUnparsedBytes = 128U << 10U;

/// \brief Parses "ip:port". \returns InvalidArgument with the text found
[[nodiscard]] Result<Tcp::endpoint> parseEndpoint(std::string_view text);

/// \brief Sets TCP_NODELAY, and TCP_USER_TIMEOUT so that a connection fails if sent data stay unacknowledged for
/// \p ackTimeout.
void setSocketOptions(Tcp::socket& socket, Duration ackTimeout);

/// \brief Bytes that a connection has received and the process has not read. 0 if the connection has failed.
[[nodiscard]] std::size_t unreadBytes(const Tcp::socket& socket);

/// \brief Bytes that were written to a connection and its peer has not acknowledged.
/// \returns nothing if the connection has failed or the system does not tell
[[nodiscard]] std::optional<std::size_t> unacknowledgedBytes(Tcp::socket& socket);

/// \brief Listens on an address. \returns InvalidArgument if it is not "ip:port", Unavailable with the address and the
/// cause if it cannot be opened
[[nodiscard]] Result<Tcp::acceptor> listenOn(asio::io_context& context, const std::string& address);

} // namespace arbutuscrank::node
