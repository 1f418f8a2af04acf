#pragma once

#include <arbutuscrank/core/error.hpp>
#include <arbutuscrank/core/messages.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

/// \file
/// \brief Encodes and decodes the messages between daemons as CBOR (RFC 8949).

namespace arbutuscrank {

/// \brief Encodes a message as the CBOR array [format version, type tag, map of fields].
[[nodiscard]] std::vector<std::uint8_t> encodeMessage(const PeerMessage& message);

/// \brief Decodes one message from untrusted bytes; nesting, size and number of values are bounded.
/// \returns Protocol if the bytes are not a message of this format version or exceed a bound
[[nodiscard]] Result<PeerMessage> decodeMessage(std::span<const std::uint8_t> bytes);

} // namespace arbutuscrank
