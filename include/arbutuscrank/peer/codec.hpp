#pragma once

#include <arbutuscrank/core/error.hpp>
#include <arbutuscrank/core/messages.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

/// \file
/// \brief Peer messages as CBOR (RFC 8949), and ledgers and manifests as JSON for the store.

namespace arbutuscrank {

/// \brief Encodes a message.
[[nodiscard]] std::vector<std::uint8_t> encodeMessage(const PeerMessage& message);

/// \brief Decodes a message. \returns Protocol if the bytes are not a message of this version
[[nodiscard]] Result<PeerMessage> decodeMessage(std::span<const std::uint8_t> bytes);

} // namespace arbutuscrank
