#pragma once

#include "config/faults.hpp"

#include <nlohmann/json.hpp>

#include <string_view>

/// \file
/// \brief Strict reading of JSON text.

namespace arbutuscrank::config {

/// \brief Parses JSON text. Adds a fault for text that is not JSON or not UTF-8, too long, too deeply nested or too
/// large, and for each repeated field of an object.
/// \returns the tree; discarded if the text could not be read to its end
[[nodiscard]] nlohmann::json parseJson(std::string_view text, FaultList& faults);

/// \brief A JSON value for \ref Fault::found; arrays and objects by their size only.
[[nodiscard]] std::string describeValue(const nlohmann::json& value);

} // namespace arbutuscrank::config
