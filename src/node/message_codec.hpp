#pragma once

#include <arbutuscrank/core/error.hpp>
#include <arbutuscrank/entry/effects.hpp>

#include <string>
#include <string_view>

/// \file
/// \brief CBOR encoding of the datagrams between VMs. Each begins with the protocol version, so that a VM rejects
/// datagrams of another version with an error that names it.

namespace arbutuscrank::node {

/// \brief Encodes a message as a datagram.
[[nodiscard]] std::string encodeMessage(const entry::FleetMessage& message);

/// \brief Decodes a datagram. \returns Protocol with the unknown version or kind, or with the parser's message
[[nodiscard]] Result<entry::FleetMessage> decodeMessage(std::string_view bytes);

/// \brief The event that reports a received message to the reducer.
[[nodiscard]] entry::EntryEvent toEvent(entry::FleetMessage message);

} // namespace arbutuscrank::node
