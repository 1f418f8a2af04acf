#pragma once

#include <cstdint>
#include <set>
#include <string>

/// \file
/// \brief Finds the socket of a CivetWeb connection. CivetWeb does not expose its sockets, but the daemon needs them to
/// poll connections for a disconnect and to interrupt blocked calls.

namespace arbutuscrank {

/// \brief Searches the open file descriptors of this process for an IPv4 socket with the given peer.
/// \param localPort local port of the socket; 0 for any
/// \param excluded sockets that are not considered
/// \returns the file descriptor, or -1 if there is none
[[nodiscard]] int findSocket(
    const std::string& peerHost, std::uint16_t peerPort, std::uint16_t localPort, const std::set<int>& excluded);

} // namespace arbutuscrank
