#pragma once

#include <arbutuscrank/core/messages.hpp>

#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Encoding of the manifest in the store, and store keys of the configuration objects.

namespace arbutuscrank {

/// Store key of the manifest.
inline constexpr std::string_view manifestKey = "config/manifest";

/// \brief Store key of an immutable part.
/// \param hash SHA-256 of the part in hex
[[nodiscard]] std::string partKey(std::string_view hash);

/// \brief Encodes a manifest as JSON.
[[nodiscard]] std::string manifestToJson(const Manifest& manifest);

/// \brief Decodes a manifest.
/// \returns nullopt if the text is not a valid manifest
[[nodiscard]] std::optional<Manifest> manifestFromJson(std::string_view json);

} // namespace arbutuscrank
