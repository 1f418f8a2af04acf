#pragma once

#include <string>
#include <string_view>

/// \file
/// \brief Text from outside in log lines.

namespace arbutuscrank {

/// Longest detail of a log line in bytes. A longer one is cut.
inline constexpr std::size_t maxDetailBytes = 4096;

/// \brief The detail of an event as it is written to the log. Control characters are written as "\n", "\r", "\t" or
/// "\xHH", so that names from outside cannot add lines. All other bytes stay as they are.
[[nodiscard]] std::string toLogText(std::string_view detail);

} // namespace arbutuscrank
