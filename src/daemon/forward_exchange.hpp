#pragma once

#include "daemon/answer_sink.hpp"
#include "daemon/attempt_control.hpp"
#include "daemon/incoming_request.hpp"

#include <arbutuscrank/core/effects.hpp>
#include <arbutuscrank/peer/transport.hpp>

#include <functional>

/// \file
/// \brief Sends a request to the entry that owns a target and passes the answer on.

namespace arbutuscrank {

/// \brief Runs one forwarded attempt. Blocks until the answer is whole or the attempt failed.
[[nodiscard]] AttemptEnded runForward(PeerTransport& peers, const ForwardAttempt& attempt,
    const IncomingRequest& request, AnswerSink& sink, AttemptControl& control,
    const std::function<void()>& answerStarted);

} // namespace arbutuscrank
