#pragma once

#include <arbutuscrank/core/state.hpp>

#include <string>

/// \file
/// \brief State dump of the decision core for operators.

namespace arbutuscrank {

/// \brief Returns the state that the decisions of this process depend on, as indented JSON without keys of accounts.
[[nodiscard]] std::string dumpState(const State& state, TimePoint now);

} // namespace arbutuscrank
