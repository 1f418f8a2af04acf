#pragma once

#include <arbutuscrank/core/context.hpp>
#include <arbutuscrank/core/forward.hpp>

#include <map>
#include <optional>
#include <string>

/// \file
/// \brief Topic "draining": graceful shutdown of this daemon after a stop request. Other members see a stopping daemon
/// as leaving. Drains that the document orders belong to the topics routing and steering.

namespace arbutuscrank {

/// \brief State of the topic; written only by the functions below.
struct DrainingState {
    std::optional<TimePoint> stoppingSince;
    bool isExitRequested = false; ///< \ref ExitProcess was requested
};

namespace draining {

    /// Shortest time between the removal from look-ups and the end of the process. It is shorter than the default
    /// lifetime of an answer (Steering::lookupTtlSeconds, 5 s), so callers with a cached answer may still try this
    /// daemon after its end and then use the next entry of the answer.
    inline constexpr Duration lookupGrace = std::chrono::seconds(1);

    /// \brief Whether a graceful shutdown is in progress.
    [[nodiscard]] bool isStopping(const State& state) noexcept;

    void onStopRequested(State& state, Context& context);
    void onTick(State& state, Context& context);

} // namespace draining

} // namespace arbutuscrank
