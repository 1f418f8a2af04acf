#pragma once

#include <arbutuscrank/core/context.hpp>
#include <arbutuscrank/core/forward.hpp>

#include <map>
#include <optional>
#include <string>

/// \file
/// \brief Topic "draining": graceful shutdown of this daemon.

namespace arbutuscrank {

/// \brief State of the topic; written only by the functions below.
struct DrainingState {
    std::optional<TimePoint> stoppingSince;
    bool stopReported = false;
};

namespace draining {

    /// Shortest time between the removal from look-ups and the end of the process, in which callers' cached look-ups
    /// can expire.
    inline constexpr Duration lookupGrace = std::chrono::seconds(1);

    /// \brief Whether a graceful shutdown is in progress.
    [[nodiscard]] bool isStopping(const State& state) noexcept;

    void onStopRequested(State& state, Context& context);
    void onTick(State& state, Context& context);

} // namespace draining

} // namespace arbutuscrank
