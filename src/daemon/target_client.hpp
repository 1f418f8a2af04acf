#pragma once

#include "daemon/answer_sink.hpp"
#include "daemon/attempt_control.hpp"
#include "daemon/incoming_request.hpp"
#include "daemon/target_connections.hpp"

#include <arbutuscrank/core/effects.hpp>

#include <functional>

/// \file
/// \brief Client of targets: sends requests, relays their answers and probes health.

namespace arbutuscrank {

/// Longest time without progress after an answer has started.
inline constexpr std::chrono::seconds maxAnswerStall { 10 };

/// \brief Makes requests to targets over kept connections. Thread-safe.
class TargetClient {
public:
    /// \brief Runs one attempt on a target. Blocks until the answer is complete or the attempt has failed.
    /// \param onAnswerStarted called before the first byte of the answer goes to \p sink
    [[nodiscard]] AttemptEnded run(const RunAttempt& attempt, const IncomingRequest& request, AnswerSink& sink,
        AttemptControl& control, const std::function<void()>& onAnswerStarted);

    /// \brief Sends a health probe to a target. Blocks.
    [[nodiscard]] ProbeEnded probe(const ProbeTarget& effect);

    /// \brief Opens or closes idle connections to a target as the core requests. Blocks.
    void setIdleConnections(const SetIdleConnections& effect);

    [[nodiscard]] const TargetConnectionTable& connections() const noexcept { return m_connections; }

private:
    TargetConnectionTable m_connections;
};

} // namespace arbutuscrank
