#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

/// \file
/// \brief Formats of the text fields in a document.

namespace arbutuscrank::config {

/// \brief Format of a text field.
enum class Format { Name, KeyId, Digest, Address, PathPrefix, OpenPathPrefix, Cidr };

/// \brief An IPv4 address block from \p first to \p last, both included, in host byte order.
struct AddressBlock {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
};

/// \brief Parses a block in CIDR notation.
/// \returns nullopt if the text is malformed or a host bit is set
[[nodiscard]] std::optional<AddressBlock> parseCidr(std::string_view text);

/// \brief Whether a text conforms to a format.
[[nodiscard]] bool hasFormat(std::string_view text, Format format);

/// \brief Description of a format, for \ref Fault::limit.
[[nodiscard]] std::string_view describe(Format format) noexcept;

} // namespace arbutuscrank::config
