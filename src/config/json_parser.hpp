#pragma once

#include "config/faults.hpp"

#include <nlohmann/json.hpp>

#include <string_view>

/// \file
/// \brief Strict JSON parser that reports faults.

namespace arbutuscrank::config {

/// \brief Parses JSON text.
///
/// Adds a fault if the text is not valid JSON in UTF-8, is too long, is nested too deeply or has too many values, and
/// for each repeated field of an object.
/// \returns the tree; a discarded value if the text could not be parsed to its end
[[nodiscard]] nlohmann::json parseJson(std::string_view text, FaultList& faults);

/// \brief Describes a JSON value for \ref Fault::found. Arrays and objects are described by their size.
[[nodiscard]] std::string describeValue(const nlohmann::json& value);

} // namespace arbutuscrank::config
