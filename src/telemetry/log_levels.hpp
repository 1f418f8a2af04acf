#pragma once

#include <arbutuscrank/core/log_events.hpp>

#include <spdlog/common.h>

/// \file
/// \brief Severity of each log event.

namespace arbutuscrank {

/// \brief Events about single requests and attempts; their number grows with the traffic.
[[nodiscard]] bool isPerRequest(LogEvent event);

[[nodiscard]] spdlog::level::level_enum levelOf(LogEvent event);

} // namespace arbutuscrank
