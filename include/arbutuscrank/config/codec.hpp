#pragma once

#include <arbutuscrank/config/document.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Document to JSON, and to the immutable parts that the store keeps.

namespace arbutuscrank {

/// \brief Canonical JSON: keys sorted, no spaces, so that equal documents have equal text.
[[nodiscard]] std::string toJson(const Document& document);

/// \brief Indented JSON for people.
[[nodiscard]] std::string toPrettyJson(const Document& document);

/// \brief Puts accounts and services in the order of their names and client blocks in the order of their addresses.
///
/// Parts do not keep the order of these lists. parseDocument() and joinDocument() return documents in this order, so
/// that joining the parts of a parsed document gives an equal document.
void normalize(Document& document);

/// Largest part, in bytes: what one object of the store holds.
inline constexpr std::size_t maxPartBytes = 1'000'000;

/// \brief Splits a document into named parts (canonical JSON text), each at most \ref maxPartBytes.
///
/// A change to one account changes one part only.
/// \returns part name (such as "regions", "accounts/07") to text
[[nodiscard]] std::map<std::string, std::string> splitDocument(const Document& document);

/// \brief Joins parts into a document. Part names are those of \ref splitDocument.
/// \returns nullopt if a part is not valid or the whole is not
[[nodiscard]] std::optional<Document> joinDocument(const std::map<std::string, std::string>& parts);

/// \brief SHA-256 of a text, as 64 lower-case hex digits.
[[nodiscard]] std::string sha256Hex(std::string_view text);

/// \brief One difference between two documents.
struct Difference {
    std::string path; ///< for example "/accounts/acme/ratePerSecond"
    std::string before; ///< JSON text; empty if added
    std::string after; ///< JSON text; empty if removed
};

/// \brief Differences between two documents, by path. List elements are matched by name.
[[nodiscard]] std::vector<Difference> diffDocuments(const Document& before, const Document& after);

} // namespace arbutuscrank
