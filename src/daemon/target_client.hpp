#pragma once

#include "daemon/answer_sink.hpp"
#include "daemon/attempt_control.hpp"
#include "daemon/incoming_request.hpp"
#include "daemon/target_connections.hpp"

#include <arbutuscrank/core/effects.hpp>

#include <functional>

/// \file
/// \brief Sends a request to a target and passes its answer on.

namespace arbutuscrank {

/// Longest time without a byte of an answer that has started.
inline constexpr std::chrono::seconds maxAnswerStall { 10 };

/// \brief Runs one attempt on a target. Blocks until the answer is whole or the attempt failed.
class TargetClient {
public:
    /// \param answerStarted called before the first byte of the answer goes to \p sink
    [[nodiscard]] AttemptEnded run(const RunAttempt& attempt, const IncomingRequest& request, AnswerSink& sink,
        AttemptControl& control, const std::function<void()>& answerStarted);

    /// \brief Asks a target for its health. Blocks.
    [[nodiscard]] ProbeEnded probe(const ProbeTarget& effect);

    /// \brief Opens or closes idle connections. Blocks.
    void keep(const SetIdleConnections& effect);

    [[nodiscard]] const TargetConnectionTable& connections() const noexcept { return m_connections; }

private:
    TargetConnectionTable m_connections;
};

} // namespace arbutuscrank
