#pragma once

#include "entry/reducers.hpp"

#include <string_view>

/// \file
/// \brief Attempts of a request: the first attempt, retries and hedging, and the answer to the caller.

namespace arbutuscrank::entry::attempts {

/// \brief Counts an admitted request and sends its first attempt, or refuses it if no target is available.
void start(EntryState& state, RequestId id, Request& request, TimePoint now, Effects& out);

/// \brief Ends the request with an answer that this VM generates itself.
/// \param reason reason code for the caller
/// \param retryAfter value of Retry-After; zero omits it
/// \param inputs further "name=value" pairs for the log line
void answerLocally(EntryState& state, RequestId id, const Request& request, std::uint32_t status,
    std::string_view reason, Duration retryAfter, std::string_view inputs, TimePoint now, Effects& out);

/// \brief Ends the request at its deadline.
void expire(EntryState& state, RequestId id, Request& request, TimePoint now, Effects& out);

/// \brief Deadline of a request at a VM that may be shutting down: the request is answered before the process ends.
[[nodiscard]] TimePoint limitToStop(const EntryState& state, TimePoint deadline) noexcept;

/// \brief Whether a VM that shuts down may take a new request: it is certain to end before the VM does, or it may be
/// repeated, usually ends in time, and comes early in the shutdown.
[[nodiscard]] bool canEndBeforeStop(const EntryState& state, const Request& request, TimePoint now);

/// \brief Cancels the in-flight attempts and removes the request.
void finish(EntryState& state, RequestId id, TimePoint now, Effects& out);

} // namespace arbutuscrank::entry::attempts
