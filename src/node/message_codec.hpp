#pragma once

#include <arbutuscrank/core/error.hpp>
#include <arbutuscrank/entry/effects.hpp>

#include <string>
#include <string_view>

/// \file
/// \brief Datagrams between VMs as CBOR. Each begins with the protocol's version, so that mixed fleets refuse cleanly.

namespace arbutuscrank::node {

[[nodiscard]] std::string encodeMessage(const entry::FleetMessage& message);

/// \brief Reads a datagram. \returns Protocol with the field that is missing or of another type
[[nodiscard]] Result<entry::FleetMessage> decodeMessage(std::string_view bytes);

/// \brief The event of a received datagram.
[[nodiscard]] entry::EntryEvent toEvent(entry::FleetMessage message);

} // namespace arbutuscrank::node
