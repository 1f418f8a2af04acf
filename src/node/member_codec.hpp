#pragma once

#include "node/object_store.hpp"

/// \file
/// \brief How a VM registers in the store.

namespace arbutuscrank::node {

/// \brief A registration. It stays the same when the process restarts, so that a restart needs no write.
[[nodiscard]] StoreObject encodeMember(const entry::MemberRecord& member);

/// \returns Protocol with the field that is missing or of another type
[[nodiscard]] Result<entry::MemberRecord> decodeMember(const StoreObject& object);

} // namespace arbutuscrank::node
