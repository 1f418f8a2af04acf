#pragma once

#include <arbutuscrank/entry/state.hpp>

#include <string>

/// \file
/// \brief State of the entry as JSON, for operators.

namespace arbutuscrank::node {

/// \brief Configuration, targets, members, region splits and requests of an entry. Holds no keys or digests.
[[nodiscard]] std::string dumpState(const entry::EntryState& state, TimePoint now);

} // namespace arbutuscrank::node
