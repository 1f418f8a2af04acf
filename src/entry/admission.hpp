#pragma once

#include "entry/reducers.hpp"

/// \file
/// \brief Admission of a request against its account's quota, by this VM or by its coordinator.

namespace arbutuscrank::entry::admission {

/// \brief Admits the request and starts it, refuses it, or asks the coordinator.
void begin(EntryState& state, RequestId id, Request& request, TimePoint now, Effects& out);

/// \brief Gives back the token of a request that was admitted and refused before it ran.
void giveBack(EntryState& state, const Request& request, Effects& out);

} // namespace arbutuscrank::entry::admission
