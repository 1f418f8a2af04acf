#pragma once

#include <arbutuscrank/core/types.hpp>

#include <ctime>

/// \file
/// \brief The clock that events are dated with.

namespace arbutuscrank::node {

/// \brief Time since boot. It goes on while the machine is suspended, so that ages of leases and reads stay true.
[[nodiscard]] inline TimePoint currentTime() noexcept
{
    timespec ts {};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return TimePoint(
        std::chrono::seconds(ts.tv_sec) + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(ts.tv_nsec)));
}

} // namespace arbutuscrank::node
