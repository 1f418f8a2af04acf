#pragma once

#include "cli/command_line.hpp"

#include <arbutuscrank/config/validate.hpp>

#include <optional>
#include <string_view>

/// \file
/// \brief The command that checks a configuration document before it is sent to a daemon.

namespace arbutuscrank {

/// \brief How a check reports.
struct CheckOptions {
    bool json = false; ///< JSON instead of text
    bool strict = false; ///< a warning alone changes the exit status
};

/// \brief Prints errors, warnings and the differences to the document in force.
/// \param inForce document in force, or the output of the command "show"; std::nullopt to list no differences
/// \returns \ref ExitCode::CheckErrors, \ref ExitCode::CheckWarnings or \ref ExitCode::Success
[[nodiscard]] ExitCode checkDocuments(
    std::string_view text, std::optional<std::string_view> inForce, const CheckOptions& options, std::ostream& out);

} // namespace arbutuscrank
