#pragma once

#include "entry/reducers.hpp"

/// \file
/// \brief Attempts of a request: where the first one goes, when another follows, and what the caller is told.

namespace arbutuscrank::entry::attempts {

/// \brief Sends the first attempt, or refuses the request as not run.
void sendFirst(EntryState& state, RequestId id, Request& request, TimePoint now, Effects& out);

/// \brief Gives the request up at its deadline.
void expire(EntryState& state, RequestId id, Request& request, TimePoint now, Effects& out);

/// \brief Cancels what is under way and forgets the request.
void finish(EntryState& state, RequestId id, TimePoint now, Effects& out);

} // namespace arbutuscrank::entry::attempts
