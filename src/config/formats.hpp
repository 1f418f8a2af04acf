#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

/// \file
/// \brief Formats of the texts in a document.

namespace arbutuscrank::config {

/// \brief What a text of the document must look like.
enum class Format { Name, KeyId, Digest, Address, PathPrefix, OpenPath, Cidr };

/// \brief An IPv4 block: addresses from \p first to \p last, in host byte order.
struct AddressBlock {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
};

/// \brief Reads CIDR notation. \returns nullopt if malformed or if host bits are set
[[nodiscard]] std::optional<AddressBlock> parseCidr(std::string_view text);

/// \brief Whether a text has a format.
[[nodiscard]] bool hasFormat(std::string_view text, Format format);

/// \brief The rule of a format, for \ref Fault::limit.
[[nodiscard]] std::string_view describe(Format format) noexcept;

} // namespace arbutuscrank::config
