#pragma once

#include <arbutuscrank/core/messages.hpp>

#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief The manifest as the store keeps it, and the names of configuration objects.

namespace arbutuscrank {

/// Store key of the manifest.
inline constexpr std::string_view manifestKey = "config/manifest";

/// \brief Store key of an immutable part. \param hash SHA-256 in hex
[[nodiscard]] std::string partKey(std::string_view hash);

/// \brief Manifest as JSON.
[[nodiscard]] std::string manifestToJson(const Manifest& manifest);

/// \brief Reads a manifest. \returns nullopt if the text is not one
[[nodiscard]] std::optional<Manifest> manifestFromJson(std::string_view json);

} // namespace arbutuscrank
