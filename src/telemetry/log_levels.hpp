#pragma once

#include <arbutuscrank/core/log_events.hpp>

#include <spdlog/common.h>

/// \file
/// \brief Level of each log event.

namespace arbutuscrank {

/// \brief Whether an event is about a single request or attempt. The number of such events grows with the traffic.
[[nodiscard]] bool isPerRequest(LogEvent event);

/// \brief Level of an event in NonBlockingLog. BlockingLog writes events about single requests at the level "debug"
/// instead.
[[nodiscard]] spdlog::level::level_enum levelOf(LogEvent event);

} // namespace arbutuscrank
