#pragma once

#include <iosfwd>
#include <span>
#include <string>

/// \file
/// \brief Command-line tool for operators.

namespace arbutuscrank {

/// Exit codes of the command-line tool.
enum class ExitCode : int {
    Success = 0,
    Refused = 1, ///< the document is not valid, the daemon refused the request, or a withdrawal is not yet proven
    UsageError = 2, ///< the command line is invalid or a file cannot be read
    CheckWarnings = Refused, ///< a strict check found warnings
    CheckErrors = UsageError, ///< a check found errors
    Unreachable = 3, ///< no response, or the daemon reported a timeout (504); a change may or may not have taken effect
};

/// \brief Runs one command.
/// \param arguments command line without the program name
/// \param out receives results
/// \param err receives error messages
[[nodiscard]] ExitCode runCommand(std::span<const std::string> arguments, std::ostream& out, std::ostream& err);

} // namespace arbutuscrank
