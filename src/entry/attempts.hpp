#pragma once

#include "entry/reducers.hpp"

#include <string_view>

/// \file
/// \brief Attempts of a request: where the first one goes, when another follows, and what the caller is told.

namespace arbutuscrank::entry::attempts {

/// \brief Counts an admitted request and sends its first attempt, or refuses it as not run.
void start(EntryState& state, RequestId id, Request& request, TimePoint now, Effects& out);

/// \brief Answers with a status of this VM's own and ends the request.
/// \param retryAfter told to the caller; zero means nothing is told
void answerOwn(EntryState& state, RequestId id, const Request& request, std::uint32_t status, std::string_view reason,
    Duration retryAfter, std::string_view inputs, TimePoint now, Effects& out);

/// \brief Gives the request up at its deadline.
void expire(EntryState& state, RequestId id, Request& request, TimePoint now, Effects& out);

/// \brief Cancels what is under way and forgets the request.
void finish(EntryState& state, RequestId id, TimePoint now, Effects& out);

} // namespace arbutuscrank::entry::attempts
