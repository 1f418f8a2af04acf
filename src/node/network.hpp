#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/beast/core/error.hpp>

#include <arbutuscrank/core/error.hpp>
#include <arbutuscrank/core/types.hpp>

#include <string>
#include <string_view>

/// \file
/// \brief Names and socket options shared by all connections of the process.

namespace arbutuscrank::node {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;
using SystemError = boost::system::error_code;

/// \brief Reads "ip:port". \returns InvalidArgument with the text found
[[nodiscard]] Result<Tcp::endpoint> parseEndpoint(std::string_view text);

/// \brief Sends small writes at once, and fails a connection whose peer acknowledges nothing for \p silence.
void prepareSocket(Tcp::socket& socket, Duration silence);

/// \brief Listens on an address. \returns Unavailable with the address and the cause
[[nodiscard]] Result<Tcp::acceptor> listenOn(asio::io_context& context, const std::string& address);

} // namespace arbutuscrank::node
