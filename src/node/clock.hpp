#pragma once

#include <arbutuscrank/core/types.hpp>

#include <ctime>

/// \file
/// \brief Clock for the time stamps of events.

namespace arbutuscrank::node {

/// \brief Time since boot. It also advances while the machine is suspended, so that ages of leases and reads stay
/// correct.
[[nodiscard]] inline TimePoint currentTime() noexcept
{
    timespec ts {};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return TimePoint(
        std::chrono::seconds(ts.tv_sec) + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(ts.tv_nsec)));
}

} // namespace arbutuscrank::node
