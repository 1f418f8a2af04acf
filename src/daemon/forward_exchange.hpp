#pragma once

#include "daemon/answer_sink.hpp"
#include "daemon/attempt_control.hpp"
#include "daemon/incoming_request.hpp"

#include <arbutuscrank/core/effects.hpp>
#include <arbutuscrank/peer/transport.hpp>

#include <functional>

/// \file
/// \brief Forwards a request to the entry that owns a target and relays its answer.

namespace arbutuscrank {

/// \brief Runs one forwarded attempt. Blocks until the answer is complete or the attempt has failed.
/// \param onAnswerStarted called before the first byte of the answer goes to \p sink
[[nodiscard]] AttemptEnded runForwardedAttempt(PeerTransport& peers, const ForwardAttempt& attempt,
    const IncomingRequest& request, AnswerSink& sink, AttemptControl& control,
    const std::function<void()>& onAnswerStarted);

} // namespace arbutuscrank
