#pragma once

#include <arbutuscrank/entry/state.hpp>

#include <string>

/// \file
/// \brief Dump of an entry's state as JSON, for operators.

namespace arbutuscrank::node {

/// \brief Dumps configuration state, targets, members, region splits and the number of requests. The dump holds no API
/// keys or their digests.
[[nodiscard]] std::string dumpState(const entry::EntryState& state, TimePoint now);

} // namespace arbutuscrank::node
