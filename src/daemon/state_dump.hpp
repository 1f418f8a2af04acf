#pragma once

#include <arbutuscrank/core/state.hpp>

#include <string>

/// \file
/// \brief The state of the decision core as JSON, for operators.

namespace arbutuscrank {

/// \brief Everything that this process decides from, as indented JSON. Keys are left out.
[[nodiscard]] std::string dumpState(const State& state, TimePoint now);

} // namespace arbutuscrank
