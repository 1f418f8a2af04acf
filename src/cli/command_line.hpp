#pragma once

#include <iosfwd>
#include <span>
#include <string>

/// \file
/// \brief The operators' command-line tool.

namespace arbutuscrank {

/// Exit codes of the command-line tool.
enum class ExitCode : int {
    Done = 0,
    Refused = 1, ///< the daemon refused, or the answer to a question is "no"
    Usage = 2, ///< the command line is wrong
    Unreachable = 3, ///< no answer; a change may or may not have taken effect
};

/// \brief Runs one command.
/// \param arguments without the program's name
/// \param out results
/// \param err messages for people
[[nodiscard]] ExitCode runCommand(std::span<const std::string> arguments, std::ostream& out, std::ostream& err);

} // namespace arbutuscrank
