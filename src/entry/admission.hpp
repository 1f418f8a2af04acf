#pragma once

#include "entry/reducers.hpp"

/// \file
/// \brief Admission control of a request by this VM or by its coordinator.

namespace arbutuscrank::entry::admission {

/// \brief Admits or refuses the request if this VM is the coordinator, and asks the coordinator otherwise. An admitted
/// request is started.
void requestAdmission(EntryState& state, RequestId id, Request& request, TimePoint now, Effects& out);

/// \brief Returns the token of a request that was admitted but refused before it ran.
void returnToken(EntryState& state, const Request& request, Effects& out);

} // namespace arbutuscrank::entry::admission
