#pragma once

#include "node/object_store.hpp"

/// \file
/// \brief Encoding of a VM's registration in the store.

namespace arbutuscrank::node {

/// \brief Encodes a registration. It does not contain the incarnation, so that a restart of the process needs no write.
[[nodiscard]] StoreObject encodeMember(const entry::MemberRecord& member);

/// \brief Decodes a registration.
/// \returns Protocol with the parser's message, which names a missing field
[[nodiscard]] Result<entry::MemberRecord> decodeMember(const StoreObject& object);

} // namespace arbutuscrank::node
