#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \file
/// \brief Splits JSON text into its parts without reading their values, so that one value that cannot be read does not
/// make the whole text unreadable.

namespace arbutuscrank::node {

/// \brief Greatest depth of nested objects and arrays in a value. Deeper values exhaust the stack when they are
/// written.
inline constexpr std::size_t maxJsonDepth = 64;

using JsonMember = std::pair<std::string_view, std::string_view>; ///< name without quotes, text of the value

/// \brief Splits an object into its members.
/// \returns std::nullopt if the text is not an object with balanced brackets
[[nodiscard]] std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text);

/// \brief Splits an array into its elements.
/// \returns std::nullopt if the text is not an array with balanced brackets
[[nodiscard]] std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text);

/// \brief Text of the member with a name; empty if there is none.
[[nodiscard]] std::string_view findJsonMember(const std::vector<JsonMember>& members, std::string_view name) noexcept;

/// \brief Whether objects and arrays are nested deeper than \ref maxJsonDepth.
[[nodiscard]] bool isNestedTooDeep(std::string_view text) noexcept;

} // namespace arbutuscrank::node
