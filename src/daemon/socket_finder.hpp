#pragma once

#include <cstdint>
#include <set>
#include <string>

/// \file
/// \brief Finds the socket of a CivetWeb connection. CivetWeb does not expose it, and without it a waiting connection
/// can neither be watched nor interrupted.

namespace arbutuscrank {

/// \brief Socket of this process with the given peer.
/// \param localPort 0 for any
/// \param known sockets to leave out
/// \returns -1 if there is none
[[nodiscard]] int findSocket(
    const std::string& peerHost, std::uint16_t peerPort, std::uint16_t localPort, const std::set<int>& known);

} // namespace arbutuscrank
