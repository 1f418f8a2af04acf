#pragma once

#include <arbutuscrank/core/context.hpp>
#include <arbutuscrank/core/forward.hpp>

#include <map>
#include <optional>
#include <string>

/// \file
/// \brief Topic "draining": the graceful stop of this daemon and the drain times of targets.

namespace arbutuscrank {

/// \brief State of the topic; written only by the functions below.
struct DrainingState {
    std::optional<TimePoint> stoppingSince;
    bool stopReported = false;
};

namespace draining {

    /// Time between leaving look-ups and the end of the process, so that callers' cached look-ups run out.
    inline constexpr Duration lookupGrace = std::chrono::seconds(1);

    /// \brief Whether a graceful stop is under way.
    [[nodiscard]] bool isStopping(const State& state) noexcept;

    void onStopRequested(State& state, Context& context);
    void onTick(State& state, Context& context);

} // namespace draining

} // namespace arbutuscrank
