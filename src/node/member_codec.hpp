#pragma once

#include "node/object_store.hpp"

#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Encoding of what VMs store: their registrations, and records of evacuations.

namespace arbutuscrank::node {

/// \brief Encodes a registration. It does not contain the incarnation, so that a restart of the process needs no write.
[[nodiscard]] StoreObject encodeMember(const entry::MemberRecord& member);

/// \brief Decodes a registration.
/// \returns Protocol with the parser's message, which names a missing field
[[nodiscard]] Result<entry::MemberRecord> decodeMember(const StoreObject& object);

/// \brief Encodes the record of an evacuation. Its name cannot be that of a VM.
[[nodiscard]] StoreObject encodeEvacuationRecord(std::string_view failureDomain);

/// \brief The failure domain whose evacuation an object records.
/// \returns std::nullopt if the object is not such a record
[[nodiscard]] std::optional<std::string> recordedEvacuation(const StoreObject& object);

} // namespace arbutuscrank::node
